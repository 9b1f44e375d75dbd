package orders

import (
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/pipeline"
)

// KindResponseNotStored is the refusal of a repeat whose order ran, but whose answer
// was too large to keep or broke off.
const KindResponseNotStored pipeline.RefusalKind = "order-ran-answer-not-kept"

// Waits that refusals tell the caller.
const (
	retrySoon   = time.Second
	retryLater  = 30 * time.Second
	retryOnFull = time.Minute
)

// refusalOf turns a verdict into what the caller hears. It returns nil for
// VerdictClaimed and VerdictAnswered.
func refusalOf(verdict idempotency.ClaimResult) *pipeline.Refusal {
	switch verdict.Kind {
	case idempotency.ResultClaimed, idempotency.ResultResponseStored:
		return nil
	case idempotency.ResultInProgress:
		return &pipeline.Refusal{
			Kind:       pipeline.KindOrderInProgress,
			Status:     http.StatusConflict,
			Detail:     "an order with this Idempotency-Key is in progress",
			Remedy:     "send the request again with the same Idempotency-Key to hear its answer",
			RetryAfter: retrySoon,
		}
	case idempotency.ResultResponseNotStored:
		return &pipeline.Refusal{
			Kind:       KindResponseNotStored,
			Status:     http.StatusGone,
			Detail:     "the order with this Idempotency-Key ran, and its answer is not kept",
			Remedy:     "do not send the order again; look up its result at the service",
			RetryAfter: retryLater,
			Outcome:    pipeline.OutcomeAnswered,
		}
	case idempotency.ResultKeyReused:
		return pipeline.NewNotRunRefusal(pipeline.KindIdempotencyKeyReused, http.StatusUnprocessableEntity,
			"this Idempotency-Key belongs to a request with another method, path or body",
			"use a new Idempotency-Key for each order", retrySoon)
	case idempotency.ResultNotRun:
		return notRun(verdict.Cause)
	}
	return &pipeline.Refusal{
		Kind:       pipeline.KindOrderOutcomeUnknown,
		Status:     http.StatusBadGateway,
		Detail:     "an earlier request with this Idempotency-Key ended without an answer, and may or may not have run",
		Remedy:     "look at the service whether the order took effect; if it did not, send it with a new Idempotency-Key",
		RetryAfter: retryLater,
	}
}

func notRun(cause idempotency.Cause) *pipeline.Refusal {
	const sameKey = "send the request again with the same Idempotency-Key"
	switch cause {
	case idempotency.CauseFull:
		return unavailable("the fleet has no room for another order's record", sameKey, retryOnFull)
	case idempotency.CauseNotReady:
		return unavailable("instances that lost their records are still recovering", sameKey, retryLater)
	case idempotency.CauseEpochMismatch:
		return unavailable("the placement of the records is changing", sameKey, retrySoon)
	case idempotency.CauseInvalidDeadline:
		return unavailable("the route's timeout is longer than orders may take",
			"ask the operator to lower the route's timeout", retryLater)
	default:
		return unavailable("too few instances that keep the order's record could be reached", sameKey, retrySoon)
	}
}

// unavailable speaks of this request only: an earlier one with the same key may
// have run, which is why the remedy is to keep the key.
func unavailable(detail, remedy string, retryAfter time.Duration) *pipeline.Refusal {
	return pipeline.NewNotRunRefusal(pipeline.KindIdempotencyUnavailable, http.StatusServiceUnavailable, detail, remedy, retryAfter)
}
