package backendproxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/internal/httpheader"
	"github.com/hemlockring/hemlockring/internal/processpause"
	"github.com/hemlockring/hemlockring/internal/strictresponse"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quarantine"
	"github.com/hemlockring/hemlockring/quota"
)

// runFilter sends the request to the backend server and streams the response back.
type runFilter struct {
	dispatcher    *dispatcher
	quarantined   *quarantineFilter
	evacuation    *evacuationFilter
	crashes       *crashDetector
	runs          *RunTracker
	repeats       *repeatFilter
	keys          *keyChecker
	pauseDetector *processpause.Detector
	monitor       HealthMonitor
	loadReporter  *loadReporter
	status        *statusObserver
	clock         quota.DispatchClock
}

func (*runFilter) Name() string { return "run" }

func (f *runFilter) Request(exchange *pipeline.Exchange) error {
	// The request may have been quarantined while it waited for a slot.
	if err := f.quarantined.Request(exchange); err != nil {
		return err
	}
	now := clock.Now()
	if err := f.checkBeforeDispatch(exchange, now); err != nil {
		return err
	}
	slot := stateOf(exchange).slot
	observation, admitted := f.monitor.Begin(exchange.BackendServer, attemptOf(exchange), now)
	if !admitted {
		return refuseSuspect()
	}
	if err := f.repeats.beginDispatch(exchange, now); err != nil {
		observation.End(health.ResultCanceled, now)
		return err
	}
	ctx, cancel := clock.WithDeadline(exchange.Request.Context(), exchange.Deadline)
	defer cancel()
	exchange.Hasher = f.quarantined.newHasher(exchange)
	run := f.crashes.begin(exchange, slot)
	defer run.end()
	endRun, completed := f.runs.begin(exchange), false
	defer func() { endRun(completed) }()
	response, dispatched, err := f.dispatcher.dispatch(ctx, exchange, slot.Address, exchange.DispatchBy)
	exchange.Outcome = dispatched.outcome
	if dispatched.verdict == VerdictInvalid {
		return refuseUnusable(exchange, observation, err)
	}
	if err != nil {
		stateOf(exchange).cause = err
		result := resultOfError(exchange, err)
		if result == health.ResultFailed && dispatched.outcome == pipeline.OutcomeUnknown {
			if evidence, crashed := run.serverCrashed(); crashed {
				// A crash says more about the requests under way than about the server, whose
				// next process starts anew.
				observation.End(health.ResultCanceled, clock.Now())
				return f.refuseCrashed(exchange, evidence)
			}
		}
		observation.End(result, clock.Now())
		return refuseFailedDispatch(exchange, dispatched.outcome, err)
	}
	defer func() { _ = response.Body.Close() }()
	if dispatched.verdict == VerdictAnswered || dispatched.verdict == VerdictNotRun {
		f.status.observe(exchange, response.Header)
	}
	if err := f.checkResponse(exchange, dispatched.verdict, response.Header, observation); err != nil {
		return err
	}
	result := f.resultOfRun(exchange, response)
	observation.End(result, clock.Now())
	if result == health.ResultOK {
		slot.recordResponse(exchange.DispatchAge, exchange.ServiceTime)
	}
	f.loadReporter.setHeader(exchange)
	header := exchange.Writer.Header()
	header.Set(pipeline.HeaderDispatchAge, strconv.FormatInt(exchange.DispatchAge.Microseconds(), 10))
	header.Set(pipeline.HeaderClock, FormatClockReading(f.clock.Reading(clock.Now())))
	if cause := writeResponse(exchange, response); cause != nil {
		f.recordTruncation(exchange, cause, run)
	} else if response.StatusCode < http.StatusInternalServerError {
		completed = true
		run.complete()
	}
	return nil
}

// checkResponse returns nil when the response is the backend server's answer to the
// request. Otherwise it records the result of the request and returns a refusal.
func (f *runFilter) checkResponse(exchange *pipeline.Exchange, verdict Verdict, header http.Header, observation Observation) error {
	switch verdict {
	case VerdictNotRun:
		observation.End(health.ResultShed, clock.Now())
		exchange.Outcome = pipeline.OutcomeNotRun
		return markReached(pipeline.NewNotRunRefusal(pipeline.KindBusy, http.StatusServiceUnavailable,
			"the backend server has not run the request", "retry the request", statedRetryAfter(header)))
	case VerdictMisdirected:
		observation.End(health.ResultCanceled, clock.Now())
		exchange.Outcome = pipeline.OutcomeNotRun
		return markReached(pipeline.NewNotRunRefusal(pipeline.KindNoCapacity, http.StatusServiceUnavailable,
			"another backend server uses the address now", "retry the request", retryElsewhere))
	case VerdictMismatched:
		return refuseUnusable(exchange, observation, errMismatchedResponse)
	case VerdictNotFinal:
		return refuseUnusable(exchange, observation, errNotFinalResponse)
	}
	return nil
}

// refuseUnusable records a failure of the backend server and returns the refusal of a request
// that got a response which is not its answer.
func refuseUnusable(exchange *pipeline.Exchange, observation Observation, cause error) error {
	observation.End(health.ResultFailed, clock.Now())
	exchange.Outcome = pipeline.OutcomeUnknown
	stateOf(exchange).cause = cause
	return refuseFailedDispatch(exchange, pipeline.OutcomeUnknown, cause)
}

// markReached marks a refusal of a request that reached the backend server.
func markReached(refusal *pipeline.Refusal) *pipeline.Refusal {
	refusal.ReachedServer = true
	return refusal
}

// Causes of refusals after a response that is not the answer to the request.
var (
	errMismatchedResponse = errors.New("the response belongs to another request")
	errNotFinalResponse   = errors.New("the status of the response can not answer a request")
)

// recordTruncation records one more failed request when the backend server ended the
// response early without having crashed. It records nothing when the response could not be
// written to the ingress or the context of the incoming request has ended, for example because
// the caller disconnected: that says nothing about the server.
func (f *runFilter) recordTruncation(exchange *pipeline.Exchange, cause error, run *serverRun) {
	stateOf(exchange).cause = cause
	if errors.Is(cause, httpheader.ErrWrite) || exchange.Request.Context().Err() != nil {
		return
	}
	if _, crashed := run.serverCrashed(); crashed {
		return
	}
	now := clock.Now()
	if observation, admitted := f.monitor.Begin(exchange.BackendServer, Attempt{Account: exchange.Account, Deadline: exchange.Deadline, LastResort: true}, now); admitted {
		observation.End(health.ResultFailed, now)
	}
}

// resultOfRun returns the result that the health monitor records for the response to a run. A
// server that could not complete the run because it lost a call has not failed.
func (f *runFilter) resultOfRun(exchange *pipeline.Exchange, response *http.Response) health.Result {
	result := resultOfResponse(response)
	if result == health.ResultServerError && f.runs.lostCall(exchange.RequestID) {
		return health.ResultCanceled
	}
	return result
}

// resultOfResponse returns the result that the health monitor records for a response. A
// 503 with Retry-After is load shedding, not a failure.
func resultOfResponse(response *http.Response) health.Result {
	switch {
	case response.StatusCode < http.StatusInternalServerError:
		return health.ResultOK
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "":
		return health.ResultShed
	default:
		return health.ResultServerError
	}
}

// resultOfError returns the result that the health monitor records for an attempt that
// ended without a response.
func resultOfError(exchange *pipeline.Exchange, err error) health.Result {
	switch {
	case errors.Is(err, errDispatchDeadline):
		return health.ResultCanceled
	case deadlinePassed(exchange):
		return health.ResultTimedOut
	case exchange.Request.Context().Err() != nil:
		return health.ResultCanceled
	default:
		return health.ResultFailed
	}
}

// checkBeforeDispatch checks again, right before the request is sent, that it may still
// run. It refuses a request whose context has ended, whose deadline or dispatch deadline
// has passed, whose key has been withdrawn, whose failure domain is evacuated, or that may have been delayed by a pause of
// the process.
func (f *runFilter) checkBeforeDispatch(exchange *pipeline.Exchange, now time.Time) error {
	switch {
	case exchange.Request.Context().Err() != nil:
		return refuseCanceled()
	case f.pauseDetector.MayBeDelayed(now) || !now.Before(exchange.Deadline):
		return pipeline.NewNotRunRefusal(pipeline.KindDeadlinePassed, http.StatusGatewayTimeout,
			"the deadline passed, or may have passed while the process was paused, before the request was dispatched", "retry the request", retryOverloaded)
	case !now.Before(exchange.DispatchBy):
		return refuseDispatchExpired()
	}
	// The failure domain may have been evacuated, and the key withdrawn, while the request
	// waited for a slot.
	if err := f.evacuation.Request(exchange); err != nil {
		return err
	}
	return f.keys.check(exchange)
}

// deadlinePassed reports whether the deadline of the request has passed. An ingress in
// the same process has a slightly earlier deadline, which ends the request's context.
func deadlinePassed(exchange *pipeline.Exchange) bool {
	return exchange.Remaining(clock.Now()) <= 0 || errors.Is(exchange.Request.Context().Err(), context.DeadlineExceeded)
}

// refuseFailedDispatch returns the refusal for a request whose dispatch failed with err, or
// whose response belongs to another request.
func refuseFailedDispatch(exchange *pipeline.Exchange, outcome pipeline.Outcome, err error) error {
	if outcome == pipeline.OutcomeNotRun {
		detail := "the backend server could not be reached"
		if errors.Is(err, errDispatchDeadline) {
			detail = "the dispatch deadline passed before the request was written"
		}
		return pipeline.NewNotRunRefusal(pipeline.KindNoCapacity, http.StatusServiceUnavailable, detail, "retry the request", retryElsewhere)
	}
	status := http.StatusBadGateway
	if deadlinePassed(exchange) {
		status = http.StatusGatewayTimeout
	}
	return &pipeline.Refusal{
		Kind:          pipeline.KindOutcomeUnknown,
		ReachedServer: true,
		Status:        status,
		Detail:        "the backend server did not answer, and may or may not have run the request",
		Remedy:        "check whether the request took effect before retrying it, or send it with an Idempotency-Key",
		RetryAfter:    retryElsewhere,
		Outcome:       pipeline.OutcomeUnknown,
	}
}

// refuseCrashed returns the refusal for a request that was under way in a backend server when
// it crashed. evidence, unless it is nil, is sent to the ingress.
func (f *runFilter) refuseCrashed(exchange *pipeline.Exchange, evidence *quarantine.Entry) error {
	if evidence != nil {
		text, err := FormatEvidence(evidence)
		if err != nil {
			f.crashes.logLine("evidence of a crash not sent to the ingress", "request", exchange.RequestID, "error", err)
		} else {
			exchange.Writer.Header().Set(pipeline.HeaderCrash, text)
		}
	}
	return &pipeline.Refusal{
		Kind:          pipeline.KindServerCrashed,
		ReachedServer: true,
		Status:        http.StatusBadGateway,
		Detail:        "the backend server crashed while the request was under way",
		Remedy:        "check whether the request took effect before retrying it, or send it with an Idempotency-Key",
		RetryAfter:    retryElsewhere,
		Outcome:       pipeline.OutcomeUnknown,
	}
}

// writeResponse streams the response to the ingress. When the body cannot be read or
// written to its end, or its trailer is not valid, writeResponse marks the exchange as truncated and returns the cause.
// ServeHTTP then panics with http.ErrAbortHandler, which resets the stream, so that the
// caller does not mistake a truncated body for a complete one.
func writeResponse(exchange *pipeline.Exchange, response *http.Response) error {
	trailer := response.Trailer
	header := exchange.Writer.Header()
	httpheader.RemoveHopByHop(response.Header)
	httpheader.RemoveInternal(response.Header)
	httpheader.Copy(header, response.Header)
	header.Set(pipeline.HeaderOutcome, pipeline.OutcomeAnswered.String())
	if response.ContentLength >= 0 && header.Get("Content-Length") == "" {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	exchange.Status = response.StatusCode
	exchange.RunResponseFilters()
	exchange.Writer.WriteHeader(response.StatusCode)
	streamed := response.ContentLength < 0
	if streamed {
		_ = http.NewResponseController(exchange.Writer).Flush()
	}
	err := httpheader.CopyBody(exchange.Writer, response.Body, streamed)
	if err == nil {
		err = strictresponse.CheckTrailer(response.Trailer)
	}
	if err != nil {
		exchange.Truncated = true
		return err
	}
	httpheader.CopyTrailer(header, trailer)
	return nil
}
