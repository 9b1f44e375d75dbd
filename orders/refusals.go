package orders

import (
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/pipeline"
)

// KindResponseNotStored is the kind of refusal for a duplicate request whose
// order has run, but whose response was too large or incomplete and therefore
// not stored.
const KindResponseNotStored pipeline.RefusalKind = "order-ran-answer-not-kept"

// Values of pipeline.Refusal.RetryAfter.
const (
	retrySoon     = time.Second
	retryLater    = 30 * time.Second
	retryWhenFull = time.Minute
)

// refusalFor returns the refusal for the result of a claim, or nil for
// ResultClaimed and ResultResponseStored.
func refusalFor(result idempotency.ClaimResult) *pipeline.Refusal {
	switch result.Kind {
	case idempotency.ResultClaimed, idempotency.ResultResponseStored:
		return nil
	case idempotency.ResultInProgress:
		return &pipeline.Refusal{
			Kind:       pipeline.KindOrderInProgress,
			Status:     http.StatusConflict,
			Detail:     "an order with this Idempotency-Key is in progress",
			Remedy:     "send the request again with the same Idempotency-Key to get its response",
			RetryAfter: retrySoon,
		}
	case idempotency.ResultResponseNotStored:
		return &pipeline.Refusal{
			Kind:       KindResponseNotStored,
			Status:     http.StatusGone,
			Detail:     "the order with this Idempotency-Key has run, and its response was not stored",
			Remedy:     "do not send the order again; look up its result at the service",
			RetryAfter: retryLater,
			Outcome:    pipeline.OutcomeAnswered,
		}
	case idempotency.ResultKeyReused:
		return pipeline.NewNotRunRefusal(pipeline.KindIdempotencyKeyReused, http.StatusUnprocessableEntity,
			"this Idempotency-Key belongs to a request with another method, path or body",
			"use a new Idempotency-Key for each order", retrySoon)
	case idempotency.ResultNotRun:
		return notRun(result.Cause)
	}
	return &pipeline.Refusal{
		Kind:       pipeline.KindOrderOutcomeUnknown,
		Status:     http.StatusBadGateway,
		Detail:     "an earlier request with this Idempotency-Key ended without a response, and may or may not have run",
		Remedy:     "check with the service whether the order took effect; if it did not, send it with a new Idempotency-Key",
		RetryAfter: retryLater,
	}
}

func notRun(cause idempotency.Cause) *pipeline.Refusal {
	const sameKey = "send the request again with the same Idempotency-Key"
	switch cause {
	case idempotency.CauseFull:
		return unavailable("the instances that hold the order's record have no memory left for another record", sameKey, retryWhenFull)
	case idempotency.CauseNotReady:
		return unavailable("too few instances that hold the order's record are ready; recovery is in progress", sameKey, retryLater)
	case idempotency.CauseEpochMismatch:
		return unavailable("the shard map of the order records is changing", sameKey, retrySoon)
	case idempotency.CauseInvalidDeadline:
		return unavailable("the route's timeout is longer than allowed for orders with an Idempotency-Key",
			"ask the operator to lower the route's timeout", retryLater)
	default:
		return unavailable("too few instances that hold the order's record are reachable", sameKey, retrySoon)
	}
}

// unavailable returns a refusal that states only that this request has not run
// the order. An earlier request with the same key may have run it, so a retry
// must use the same key.
func unavailable(detail, remedy string, retryAfter time.Duration) *pipeline.Refusal {
	return pipeline.NewNotRunRefusal(pipeline.KindIdempotencyUnavailable, http.StatusServiceUnavailable, detail, remedy, retryAfter)
}
