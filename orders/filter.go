package orders

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/pipeline"
)

// DefaultMaxBodyBytes is the largest body of an order with an Idempotency-Key.
// It is read whole before the claim, because its digest is part of the claim.
const DefaultMaxBodyBytes = 1 << 20

// Filter claims orders with an Idempotency-Key on routes that are not
// idempotent. It stands last before the filter that forwards, and is a guard of
// that filter's attempts.
type Filter struct {
	// Service claims the orders.
	Service *Service
	// MaxBodyBytes bounds the body of an order.
	MaxBodyBytes int64
}

// running is an order between claim and end.
type running struct {
	claim   *Claim
	capture *ResponseCapture
}

// runningKey is the context key of running.
type runningKey struct{}

func runningOf(ctx context.Context) *running {
	order, _ := ctx.Value(runningKey{}).(*running)
	return order
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "idempotency" }

// Request implements pipeline.Filter. It returns pipeline.ErrAnswered after it
// has sent a stored answer, and a *pipeline.Refusal for a repeat without one.
func (f *Filter) Request(exchange *pipeline.Exchange) error {
	key := exchange.Request.Header.Get(pipeline.HeaderIdempotencyKey)
	if exchange.Idempotent || key == "" {
		return nil
	}
	if err := checkKey(exchange, key); err != nil {
		return err
	}
	fingerprint, err := f.readFingerprint(exchange.Request)
	if err != nil {
		return err
	}
	record := idempotency.Key{Account: exchange.Account, Service: exchange.Service, Value: key}
	begun, err := f.Service.Begin(exchange.Request.Context(), record, fingerprint, exchange.Deadline)
	if err != nil {
		return err
	}
	if begun.Response != nil {
		replay(exchange, begun.Response)
		return pipeline.ErrAnswered
	}
	order := &running{
		claim:   begun.Claim,
		capture: NewResponseCapture(exchange.Writer, f.Service.config.Idempotency.MaxResponseBytes),
	}
	exchange.Writer = order.capture
	exchange.Request = exchange.Request.WithContext(context.WithValue(exchange.Request.Context(), runningKey{}, order))
	return nil
}

func checkKey(exchange *pipeline.Exchange, key string) error {
	if len(key) > idempotency.MaxKeyBytes {
		return pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusBadRequest,
			"the Idempotency-Key is longer than 255 bytes", "send a shorter one, such as a UUID", retrySoon)
	}
	if exchange.Account == "" {
		return pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusBadRequest,
			"the route is open to all and has no client account to keep an Idempotency-Key for",
			"send the request without an Idempotency-Key", retrySoon)
	}
	return nil
}

// readFingerprint reads the whole body and puts it back.
func (f *Filter) readFingerprint(request *http.Request) (idempotency.Fingerprint, error) {
	body, err := io.ReadAll(io.LimitReader(request.Body, f.MaxBodyBytes+1))
	if err != nil {
		return idempotency.Fingerprint{}, pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusBadRequest,
			"the body of the request broke off", "send the request again with the same Idempotency-Key", retrySoon)
	}
	if int64(len(body)) > f.MaxBodyBytes {
		return idempotency.Fingerprint{}, pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusRequestEntityTooLarge,
			"the body is larger than an order with an Idempotency-Key may be", "send a smaller body", retrySoon)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return idempotency.NewFingerprint(request.Method, request.URL.RequestURI(), sha256.Sum256(body)), nil
}

func replay(exchange *pipeline.Exchange, answer *StoredResponse) {
	exchange.Outcome = pipeline.OutcomeAnswered
	exchange.Status = answer.Status
	exchange.ResponseHeader = exchange.Writer.Header()
	exchange.ResponseHeader.Set(pipeline.HeaderReplayed, "true")
	answer.Write(exchange.Writer)
}

// CheckDispatch returns a refusal when the order of the request may no longer be
// sent. It returns nil for requests without a claim. Ask it immediately before
// each attempt.
func CheckDispatch(request *http.Request, now time.Time) error {
	order := runningOf(request.Context())
	if order == nil || order.claim.MayDispatch(now) {
		return nil
	}
	return unavailable("the claim on the order ran out before it was sent, because this instance stood still or retried for long",
		"send the request again with the same Idempotency-Key", retrySoon)
}

// BeforeAttempt implements the ingress's guard of attempts by CheckDispatch.
func (*Filter) BeforeAttempt(exchange *pipeline.Exchange) error {
	return CheckDispatch(exchange.Request, clock.Now())
}

// Finish implements pipeline.Finisher. It records how the order ended.
func (f *Filter) Finish(exchange *pipeline.Exchange) {
	order := runningOf(exchange.Request.Context())
	if order == nil {
		return
	}
	order.claim.Finish(endOf(exchange), order.answer(exchange))
}

// endOf says what is known about the order. Without an attempt it was not run.
func endOf(exchange *pipeline.Exchange) pipeline.Outcome {
	if exchange.Attempts == 0 {
		return pipeline.OutcomeNotRun
	}
	return exchange.Outcome
}

// answer returns the whole answer, or nil. An answer that broke off, on either
// side, is not kept.
func (o *running) answer(exchange *pipeline.Exchange) *StoredResponse {
	if exchange.Outcome != pipeline.OutcomeAnswered || exchange.Truncated || exchange.Request.Context().Err() != nil {
		return nil
	}
	return o.capture.Response(exchange.Request.Method != http.MethodHead)
}
