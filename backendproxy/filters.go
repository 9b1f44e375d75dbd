package backendproxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/freeze"
	"github.com/hemlockring/hemlockring/internal/httpheader"
	"github.com/hemlockring/hemlockring/pipeline"
)

// Waits that refusals tell the caller.
const (
	retryOverloaded = time.Second
	retryFrozen     = time.Second
	retryElsewhere  = time.Second
)

// verifyFilter checks what the ingress has sent: the deadline, the life of the
// quota token and, a second time, that the key is still given out.
type verifyFilter struct {
	view   func() *fleetconfig.View
	freeze *freeze.Detector
}

func (*verifyFilter) Name() string { return "verify" }

func (f *verifyFilter) Request(exchange *pipeline.Exchange) error {
	now := exchange.Received
	if f.freeze.Suspect(now) {
		return pipeline.NotRun(pipeline.KindDeadline, http.StatusServiceUnavailable,
			"the process beside the backend server stood still and the request may be late",
			"send the request again", retryFrozen)
	}
	if err := f.readDeadline(exchange); err != nil {
		return err
	}
	if exchange.KeyID == "" {
		return nil
	}
	key := f.view().KeyByID(exchange.KeyID)
	if key == nil || key.Account != exchange.Account {
		return pipeline.NotRun(pipeline.KindKeyRejected, http.StatusUnauthorized,
			"the key was withdrawn", "ask the operator for a new key", retryElsewhere)
	}
	return nil
}

func (f *verifyFilter) readDeadline(exchange *pipeline.Exchange) error {
	header := exchange.Request.Header
	left, err := strconv.ParseInt(header.Get(pipeline.HeaderDeadline), 10, 64)
	if err != nil || left <= 0 {
		return pipeline.NotRun(pipeline.KindDeadline, http.StatusGatewayTimeout,
			"the request's time had run out before it reached the backend server",
			"send the request again", retryElsewhere)
	}
	exchange.Deadline = exchange.Received.Add(time.Duration(left) * time.Millisecond)
	text := header.Get(pipeline.HeaderTokenLife)
	if text == "" {
		return nil
	}
	life, err := strconv.ParseInt(text, 10, 64)
	if err != nil || life <= 0 {
		return tokenExpired()
	}
	exchange.TokenExpires = exchange.Received.Add(time.Duration(life) * time.Millisecond)
	return nil
}

func tokenExpired() *pipeline.Refusal {
	return pipeline.NotRun(pipeline.KindBusy, http.StatusServiceUnavailable,
		"the request waited longer than its share of the account's rate lasts",
		"send the request again", retryOverloaded)
}

// drainFilter refuses new work while the instance stops.
type drainFilter struct {
	draining *atomic.Bool
}

func (*drainFilter) Name() string { return "drain" }

func (f *drainFilter) Request(*pipeline.Exchange) error {
	if f.draining.Load() {
		return refuseDraining()
	}
	return nil
}

func refuseDraining() *pipeline.Refusal {
	return pipeline.NotRun(pipeline.KindDraining, http.StatusServiceUnavailable,
		"the backend server is leaving and takes no new work",
		"send the request again; other backend servers take it", retryElsewhere)
}

// queueFilter holds a slot of the backend server for the length of the exchange.
type queueFilter struct {
	registry *Registry
}

func (*queueFilter) Name() string { return "queue" }

func (f *queueFilter) Request(exchange *pipeline.Exchange) error {
	service := fleetconfig.ServiceName(exchange.Request.Header.Get(pipeline.HeaderService))
	slot, result := f.registry.acquire(exchange.BackendServer, service, time.Now())
	switch result {
	case acquired:
		slotOf(exchange).slot = slot
		return nil
	case drainingServer:
		return refuseDraining()
	case busyServer:
		return pipeline.NotRun(pipeline.KindBusy, http.StatusServiceUnavailable,
			"every slot of the backend server is in use", "send the request again", retryOverloaded)
	default:
		return pipeline.NotRun(pipeline.KindNoCapacity, http.StatusServiceUnavailable,
			"the backend server is no longer beside this instance", "send the request again", retryElsewhere)
	}
}

// Finish implements pipeline.Finisher.
func (f *queueFilter) Finish(exchange *pipeline.Exchange) {
	slotOf(exchange).slot.Release()
}

// runFilter hands the request to the backend server and streams the answer back.
type runFilter struct {
	dispatcher *dispatcher
	freeze     *freeze.Detector
}

func (*runFilter) Name() string { return "run" }

func (f *runFilter) Request(exchange *pipeline.Exchange) error {
	now := time.Now()
	if err := f.checkTime(exchange, now); err != nil {
		return err
	}
	slot := &slotOf(exchange).slot
	limit := exchange.Deadline
	if !exchange.TokenExpires.IsZero() && exchange.TokenExpires.Before(limit) {
		limit = exchange.TokenExpires
	}
	response, outcome, err := f.dispatcher.dispatch(exchange, slot.Address, limit)
	exchange.Outcome = outcome
	if err != nil {
		return refuseFailed(exchange, outcome, err)
	}
	defer func() { _ = response.Body.Close() }()
	writeAnswer(exchange, slot.Load, response)
	return nil
}

// checkTime is the last look before the request is handed over: a request whose
// caller is gone, whose time is up or that was frozen with the process is not
// dispatched.
func (f *runFilter) checkTime(exchange *pipeline.Exchange, now time.Time) error {
	switch {
	case exchange.Request.Context().Err() != nil:
		return pipeline.NotRun(pipeline.KindCanceled, http.StatusServiceUnavailable,
			"the caller gave the request up", "send the request again if it is still wanted", retryElsewhere)
	case f.freeze.Suspect(now) || !now.Before(exchange.Deadline):
		return pipeline.NotRun(pipeline.KindDeadline, http.StatusGatewayTimeout,
			"the request's time had run out before a slot was free", "send the request again", retryOverloaded)
	case !exchange.TokenExpires.IsZero() && !now.Before(exchange.TokenExpires):
		return tokenExpired()
	}
	return nil
}

func refuseFailed(exchange *pipeline.Exchange, outcome pipeline.Outcome, err error) error {
	if outcome == pipeline.OutcomeNotRun {
		detail := "the backend server could not be reached"
		if errors.Is(err, errTooLate) {
			detail = "the request's time had run out before its first byte left"
		}
		return pipeline.NotRun(pipeline.KindNoCapacity, http.StatusServiceUnavailable, detail, "send the request again", retryElsewhere)
	}
	status := http.StatusBadGateway
	if exchange.Remaining(time.Now()) <= 0 {
		status = http.StatusGatewayTimeout
	}
	return &pipeline.Refusal{
		Kind:       pipeline.KindOutcomeUnknown,
		Status:     status,
		Detail:     "the backend server did not answer, and may or may not have run the request",
		Remedy:     "look whether the request took effect before sending it again, or send it with an Idempotency-Key",
		RetryAfter: retryElsewhere,
		Outcome:    pipeline.OutcomeUnknown,
	}
}

// writeAnswer streams the answer. An answer that breaks off ends the exchange by
// a panic with http.ErrAbortHandler, which resets the stream, so that the caller
// never takes a short body for a whole one.
func writeAnswer(exchange *pipeline.Exchange, load Load, response *http.Response) {
	announced := response.Trailer
	header := exchange.Writer.Header()
	httpheader.RemoveHopByHop(response.Header)
	httpheader.RemoveInternal(response.Header)
	httpheader.Copy(header, response.Header)
	header.Set(pipeline.HeaderOutcome, pipeline.OutcomeAnswered.String())
	header.Set(HeaderLoad, load.String())
	if response.ContentLength >= 0 && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	exchange.Status = response.StatusCode
	exchange.Respond()
	exchange.Writer.WriteHeader(response.StatusCode)
	streamed := response.ContentLength < 0
	if streamed {
		_ = http.NewResponseController(exchange.Writer).Flush()
	}
	if err := httpheader.CopyBody(exchange.Writer, response.Body, streamed); err != nil {
		exchange.Truncated = true
		return
	}
	httpheader.CopyTrailer(header, announced)
}
