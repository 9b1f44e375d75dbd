package orders

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/pipeline"
)

// DefaultMaxBodyBytes is the default size limit for the body of an order with
// an Idempotency-Key. The whole body is read into memory before the claim,
// because its digest is part of the claim.
const DefaultMaxBodyBytes = 1 << 20

// Filter claims orders with an Idempotency-Key on routes that are not
// idempotent. It must be the last filter before the forwarding filter of the
// ingress, which calls BeforeAttempt before each attempt.
type Filter struct {
	// Service claims the orders.
	Service *Service
	// MaxBodyBytes is the size limit for the body of an order.
	MaxBodyBytes int64
}

// claimedOrder is an order that has been claimed and has not ended.
type claimedOrder struct {
	claim   *Claim
	capture *ResponseCapture
}

// claimedOrderKey is the context key of the *claimedOrder.
type claimedOrderKey struct{}

func claimedOrderFrom(ctx context.Context) *claimedOrder {
	order, _ := ctx.Value(claimedOrderKey{}).(*claimedOrder)
	return order
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "idempotency" }

// Request implements pipeline.Filter. It returns pipeline.ErrAnswered after it
// has sent a stored response, and a *pipeline.Refusal if the order cannot be
// claimed.
func (f *Filter) Request(exchange *pipeline.Exchange) error {
	key := exchange.Request.Header.Get(pipeline.HeaderIdempotencyKey)
	if exchange.Idempotent || key == "" {
		return nil
	}
	if err := checkKey(exchange, key); err != nil {
		return err
	}
	var fingerprint idempotency.Fingerprint
	err := pipeline.ReadBodyByDeadline(exchange, func() (err error) {
		fingerprint, err = f.readFingerprint(exchange.Request)
		return err
	})
	if err != nil {
		return err
	}
	record := idempotency.Key{Account: exchange.Account, Service: exchange.Service, Value: key}
	result, err := f.Service.Begin(exchange.Request.Context(), record, fingerprint, exchange.Deadline)
	if err != nil {
		return err
	}
	if result.Response != nil {
		sendStoredResponse(exchange, result.Response)
		return pipeline.ErrAnswered
	}
	order := &claimedOrder{
		claim:   result.Claim,
		capture: NewResponseCapture(exchange.Writer, f.Service.config.Idempotency.MaxResponseBytes),
	}
	exchange.Writer = order.capture
	exchange.Request = exchange.Request.WithContext(context.WithValue(exchange.Request.Context(), claimedOrderKey{}, order))
	return nil
}

func checkKey(exchange *pipeline.Exchange, key string) error {
	if len(key) > idempotency.MaxKeyBytes {
		return pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusBadRequest,
			"the Idempotency-Key is longer than 255 bytes", "use a shorter key, such as a UUID", retrySoon)
	}
	if exchange.Account == "" {
		return pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusBadRequest,
			"the Idempotency-Key cannot be used because the route is open to all and the request has no client account",
			"send the request without an Idempotency-Key", retrySoon)
	}
	return nil
}

// readFingerprint reads the whole body, replaces it by a copy in memory, and
// returns the fingerprint of the request.
func (f *Filter) readFingerprint(request *http.Request) (idempotency.Fingerprint, error) {
	body, err := io.ReadAll(io.LimitReader(request.Body, f.MaxBodyBytes+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return idempotency.Fingerprint{}, errors.Wrap(err, "read the body of an order")
	}
	if err != nil {
		return idempotency.Fingerprint{}, pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusBadRequest,
			"the request body ended early", "send the request again with the same Idempotency-Key", retrySoon)
	}
	if int64(len(body)) > f.MaxBodyBytes {
		return idempotency.Fingerprint{}, pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusRequestEntityTooLarge,
			"the body is larger than allowed for an order with an Idempotency-Key", "send a smaller body", retrySoon)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return idempotency.NewFingerprint(request.Method, request.URL.RequestURI(), sha256.Sum256(body)), nil
}

func sendStoredResponse(exchange *pipeline.Exchange, response *StoredResponse) {
	exchange.Outcome = pipeline.OutcomeAnswered
	exchange.Status = response.Status
	exchange.ResponseHeader = exchange.Writer.Header()
	exchange.ResponseHeader.Set(pipeline.HeaderReplayed, "true")
	response.Write(exchange.Writer)
}

// CheckDispatch returns a refusal if the order of the request must not be sent
// any more, and nil for requests without a claim. Call it immediately before
// each attempt.
func CheckDispatch(request *http.Request, now time.Time) error {
	order := claimedOrderFrom(request.Context())
	if order == nil || order.claim.MayDispatch(now) {
		return nil
	}
	return unavailable("the claim on the order expired before the order was sent, because this instance was suspended or retried for too long",
		"send the request again with the same Idempotency-Key", retrySoon)
}

// BeforeAttempt returns the result of CheckDispatch. The forwarding filter of the
// ingress calls BeforeAttempt before each attempt.
func (*Filter) BeforeAttempt(exchange *pipeline.Exchange) error {
	return CheckDispatch(exchange.Request, clock.Now())
}

// Finish implements pipeline.Finisher. It records the outcome of the order.
func (f *Filter) Finish(exchange *pipeline.Exchange) {
	order := claimedOrderFrom(exchange.Request.Context())
	if order == nil {
		return
	}
	order.claim.Finish(outcomeOf(exchange), order.response(exchange))
}

// outcomeOf returns the outcome of the order, which is OutcomeNotRun if no
// attempt was made.
func outcomeOf(exchange *pipeline.Exchange) pipeline.Outcome {
	if exchange.Attempts == 0 {
		return pipeline.OutcomeNotRun
	}
	return exchange.Outcome
}

// response returns the complete response, or nil. A response that the backend
// server or the caller aborted is not stored.
func (o *claimedOrder) response(exchange *pipeline.Exchange) *StoredResponse {
	if exchange.Outcome != pipeline.OutcomeAnswered || exchange.Truncated || exchange.Request.Context().Err() != nil {
		return nil
	}
	return o.capture.Response(exchange.Request.Method != http.MethodHead)
}
