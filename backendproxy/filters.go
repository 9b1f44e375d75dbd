package backendproxy

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/internal/freeze"
	"github.com/hemlockring/hemlockring/internal/httpheader"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/queue"
	"github.com/hemlockring/hemlockring/quota"
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
	keys   *keyCheck
	freeze *freeze.Detector
	clock  quota.DispatchClock
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
	return f.keys.check(exchange)
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
	return f.readDispatchBy(exchange)
}

// readDispatchBy reads until when the request may be dispatched. The ingress says
// it as a reading of this process's own clock, so that neither a slow network nor
// a frozen process lengthens the time.
func (f *verifyFilter) readDispatchBy(exchange *pipeline.Exchange) error {
	present := f.clock.Reading(exchange.Received)
	by, ok := ParseReading(exchange.Request.Header.Get(pipeline.HeaderDispatchBy))
	if !ok || by.Incarnation != present.Incarnation {
		return pipeline.NotRun(pipeline.KindClockUnknown, http.StatusServiceUnavailable,
			"the ingress does not know the clock of this instance", "send the request again", retryElsewhere)
	}
	if by.Elapsed <= present.Elapsed {
		return tokenExpired()
	}
	exchange.DispatchBy = exchange.Received.Add(by.Elapsed - present.Elapsed)
	return nil
}

func tokenExpired() *pipeline.Refusal {
	return pipeline.NotRun(pipeline.KindBusy, http.StatusServiceUnavailable,
		"the request waited longer than its share of the account's rate, or its own time, lasts",
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

// Watch judges backend servers by how their requests go. It is safe for
// concurrent use.
type Watch interface {
	// Begin records that a request is about to be sent to a backend server. It
	// returns false when the server is ejected and takes no request now.
	Begin(server fleetconfig.BackendServerID, arrival Arrival, now time.Time) (Observation, bool)
	// Welcomes reports whether Begin would admit a request now.
	Welcomes(server fleetconfig.BackendServerID, arrival Arrival, now time.Time) bool
	// WeightPercent returns the share of its full load that a backend server should
	// get now.
	WeightPercent(server fleetconfig.BackendServerID, now time.Time) int
	// DoubtPercent returns how likely it is that the backend server fails most
	// requests now.
	DoubtPercent(server fleetconfig.BackendServerID, now time.Time) int
}

// Arrival is a request that is about to be sent to a backend server.
type Arrival struct {
	// Account is its client account.
	Account fleetconfig.AccountID
	// Deadline is when it is given up.
	Deadline time.Time
	// Idempotent says that it can be repeated elsewhere.
	Idempotent bool
	// LastResort says that no other backend server is left for it.
	LastResort bool
}

func arrivalOf(exchange *pipeline.Exchange) Arrival {
	return Arrival{
		Account:    exchange.Account,
		Deadline:   exchange.Deadline,
		Idempotent: exchange.Idempotent,
		LastResort: exchange.LastResort,
	}
}

// Observation is one request that a Watch has begun.
type Observation interface {
	// End records how the request ended. Only the first call counts.
	End(result health.Result, now time.Time)
}

// doubtFilter sends a request elsewhere before it waits for a slot, when the
// backend server would not be tried with it anyway.
type doubtFilter struct {
	watch Watch
}

func (*doubtFilter) Name() string { return "doubt" }

func (f *doubtFilter) Request(exchange *pipeline.Exchange) error {
	if f.watch.Welcomes(exchange.BackendServer, arrivalOf(exchange), clock.Now()) {
		return nil
	}
	return refuseDoubtful()
}

func refuseDoubtful() *pipeline.Refusal {
	return pipeline.NotRun(pipeline.KindDoubtful, http.StatusServiceUnavailable,
		"the backend server fails requests now", "send the request to another one", retryElsewhere)
}

// queueFilter holds a slot of the backend server for the length of the exchange.
type queueFilter struct {
	registry *Registry
}

func (*queueFilter) Name() string { return "queue" }

func (f *queueFilter) Request(exchange *pipeline.Exchange) error {
	item := queue.Item{Account: exchange.Account, Urgency: exchange.Urgency, Deadline: exchange.Deadline, StartBy: exchange.DispatchBy}
	slot, refuse := f.registry.acquire(exchange.Request.Context(), exchange.BackendServer, exchange.Service, item)
	switch {
	case refuse != nil:
		return refuseQueued(refuse)
	case slot == nil:
		return pipeline.NotRun(pipeline.KindNoCapacity, http.StatusServiceUnavailable,
			"the backend server is no longer beside this instance", "send the request again", retryElsewhere)
	}
	slotOf(exchange).slot = slot
	return nil
}

func refuseQueued(refuse *queue.Refuse) *pipeline.Refusal {
	switch refuse.Reason {
	case queue.ReasonDraining:
		return refuseDraining()
	case queue.ReasonCanceled:
		return refuseCanceled()
	case queue.ReasonDeadline:
		return pipeline.NotRun(pipeline.KindBusy, http.StatusServiceUnavailable,
			"the request would not get a slot of the backend server in its time",
			"send the request again", max(refuse.RetryAfter, retryOverloaded))
	default:
		return pipeline.NotRun(pipeline.KindBusy, http.StatusServiceUnavailable,
			"every slot of the backend server is in use and its queue is full",
			"send the request again", max(refuse.RetryAfter, retryOverloaded))
	}
}

func refuseCanceled() *pipeline.Refusal {
	return pipeline.NotRun(pipeline.KindCanceled, http.StatusServiceUnavailable,
		"the caller gave the request up", "send the request again if it is still wanted", retryElsewhere)
}

// Finish implements pipeline.Finisher.
func (f *queueFilter) Finish(exchange *pipeline.Exchange) {
	if slot := slotOf(exchange).slot; slot != nil {
		slot.Release()
	}
}

// runFilter hands the request to the backend server and streams the answer back.
type runFilter struct {
	dispatcher *dispatcher
	keys       *keyCheck
	freeze     *freeze.Detector
	watch      Watch
	load       *loadReporter
	clock      quota.DispatchClock
}

func (*runFilter) Name() string { return "run" }

func (f *runFilter) Request(exchange *pipeline.Exchange) error {
	now := clock.Now()
	if err := f.mayDispatch(exchange, now); err != nil {
		return err
	}
	slot := slotOf(exchange).slot
	observation, admitted := f.watch.Begin(exchange.BackendServer, arrivalOf(exchange), now)
	if !admitted {
		return refuseDoubtful()
	}
	ctx, cancel := clock.WithDeadline(exchange.Request.Context(), exchange.Deadline)
	defer cancel()
	response, outcome, err := f.dispatcher.dispatch(ctx, exchange, slot.Address, exchange.DispatchBy)
	exchange.Outcome = outcome
	if err != nil {
		observation.End(resultOfError(exchange, err), clock.Now())
		return refuseFailed(exchange, outcome, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := f.judge(exchange, response, observation); err != nil {
		return err
	}
	observation.End(resultOfResponse(response), clock.Now())
	f.load.report(exchange)
	header := exchange.Writer.Header()
	header.Set(pipeline.HeaderDispatchedAgo, strconv.FormatInt(exchange.DispatchedAgo.Microseconds(), 10))
	header.Set(pipeline.HeaderClock, FormatReading(f.clock.Reading(clock.Now())))
	if cause := writeAnswer(exchange, response); cause != nil {
		f.observeBreak(exchange, cause)
	}
	return nil
}

// judge returns a refusal when the response is not the answer to the request.
func (f *runFilter) judge(exchange *pipeline.Exchange, response *http.Response, observation Observation) error {
	switch f.dispatcher.dialect.Judge(response, exchange) {
	case VerdictNotRun:
		observation.End(health.ResultShed, clock.Now())
		exchange.Outcome = pipeline.OutcomeNotRun
		return reached(pipeline.NotRun(pipeline.KindBusy, http.StatusServiceUnavailable,
			"the backend server has not run the request", "send the request again", retryElsewhere))
	case VerdictElsewhere:
		observation.End(health.ResultCanceled, clock.Now())
		exchange.Outcome = pipeline.OutcomeNotRun
		return reached(pipeline.NotRun(pipeline.KindNoCapacity, http.StatusServiceUnavailable,
			"another backend server has the address now", "send the request again", retryElsewhere))
	case VerdictForeign:
		observation.End(health.ResultFailed, clock.Now())
		exchange.Outcome = pipeline.OutcomeUnknown
		return refuseFailed(exchange, pipeline.OutcomeUnknown, errForeignAnswer)
	}
	return nil
}

// reached marks a refusal of a request that the backend server has seen.
func reached(refusal *pipeline.Refusal) *pipeline.Refusal {
	refusal.Reached = true
	return refusal
}

// errForeignAnswer says that the backend server answered another request.
var errForeignAnswer = errors.New("the backend server's answer belongs to another request")

// observeBreak counts an answer that the backend server broke off as one more
// failed request. A caller that went away is no evidence.
func (f *runFilter) observeBreak(exchange *pipeline.Exchange, cause error) {
	if errors.Is(cause, httpheader.ErrWrite) || exchange.Request.Context().Err() != nil {
		return
	}
	now := clock.Now()
	if observation, admitted := f.watch.Begin(exchange.BackendServer, Arrival{Account: exchange.Account, Deadline: exchange.Deadline, LastResort: true}, now); admitted {
		observation.End(health.ResultFailed, now)
	}
}

// resultOfResponse judges an answer. A busy server that says so has not failed.
func resultOfResponse(response *http.Response) health.Result {
	switch {
	case response.StatusCode < http.StatusInternalServerError:
		return health.ResultOK
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "":
		return health.ResultShed
	default:
		return health.ResultFailed
	}
}

// resultOfError judges an attempt that ended without an answer.
func resultOfError(exchange *pipeline.Exchange, err error) health.Result {
	switch {
	case errors.Is(err, errTooLate):
		return health.ResultCanceled
	case timeIsUp(exchange):
		return health.ResultTimedOut
	case exchange.Request.Context().Err() != nil:
		return health.ResultCanceled
	default:
		return health.ResultFailed
	}
}

// mayDispatch is the last look before the request is handed over: a request whose
// caller is gone, whose time is up or that was frozen with the process is not
// dispatched.
func (f *runFilter) mayDispatch(exchange *pipeline.Exchange, now time.Time) error {
	switch {
	case exchange.Request.Context().Err() != nil:
		return refuseCanceled()
	case f.freeze.Suspect(now) || !now.Before(exchange.Deadline):
		return pipeline.NotRun(pipeline.KindDeadline, http.StatusGatewayTimeout,
			"the request's time had run out before a slot was free", "send the request again", retryOverloaded)
	case !now.Before(exchange.DispatchBy):
		return tokenExpired()
	}
	// The key may have been withdrawn while the request waited for its slot.
	return f.keys.check(exchange)
}

// timeIsUp reports whether the request's time has run out, here or at an ingress in the
// same process, whose deadline is a little earlier.
func timeIsUp(exchange *pipeline.Exchange) bool {
	return exchange.Remaining(clock.Now()) <= 0 || errors.Is(exchange.Request.Context().Err(), context.DeadlineExceeded)
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
	if timeIsUp(exchange) {
		status = http.StatusGatewayTimeout
	}
	return &pipeline.Refusal{
		Kind:       pipeline.KindOutcomeUnknown,
		Reached:    true,
		Status:     status,
		Detail:     "the backend server did not answer, and may or may not have run the request",
		Remedy:     "look whether the request took effect before sending it again, or send it with an Idempotency-Key",
		RetryAfter: retryElsewhere,
		Outcome:    pipeline.OutcomeUnknown,
	}
}

// writeAnswer streams the answer. An answer that breaks off ends the exchange by
// a panic with http.ErrAbortHandler, which resets the stream, so that the caller
// never takes a short body for a whole one; the cause is returned.
func writeAnswer(exchange *pipeline.Exchange, response *http.Response) error {
	announced := response.Trailer
	header := exchange.Writer.Header()
	httpheader.RemoveHopByHop(response.Header)
	httpheader.RemoveInternal(response.Header)
	httpheader.Copy(header, response.Header)
	header.Set(pipeline.HeaderOutcome, pipeline.OutcomeAnswered.String())
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
		return err
	}
	httpheader.CopyTrailer(header, announced)
	return nil
}
