package ingress

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/transport"
)

// RetryPolicy decides whether an exchange may have another attempt. It is safe for
// concurrent use.
type RetryPolicy interface {
	// RequestStarted records the first attempt of an exchange.
	RequestStarted(exchange *pipeline.Exchange)
	// MayRetry reports whether the exchange may have another attempt after one that
	// ended with the given outcome. If so, it charges the attempt to the retry
	// budget.
	MayRetry(exchange *pipeline.Exchange, outcome pipeline.Outcome) bool
	// RetryRefused records that the exchange ends because backend proxies refused it: their
	// servers may receive no more repeats now.
	RetryRefused(exchange *pipeline.Exchange)
}

// Runs knows the requests that the backend servers of this instance run. It is safe for
// concurrent use.
type Runs interface {
	// IsRepeatedCall reports whether a repeated run sends the exchange's request.
	IsRepeatedCall(exchange *pipeline.Exchange) bool
	// RecordFailedCall records that the exchange's request, which names the run that sends it,
	// is about to fail.
	RecordFailedCall(exchange *pipeline.Exchange)
	// RecordCall returns the urgency of the exchange's request if a run sends it, otherwise
	// zero, and adds it to the calls of that run.
	RecordCall(exchange *pipeline.Exchange) fleetconfig.Urgency
}

const (
	// maxAttemptsIfUnreached limits the attempts of an exchange. An attempt that has
	// not reached a backend server is followed by another one only if the exchange
	// has made fewer attempts than this. Attempts count whether or not they have
	// reached a backend server.
	maxAttemptsIfUnreached = 12
	// maxSuspectRefusals is how many refusals a request may receive because the
	// backend server of the attempt is suspected of failure. After that many, the
	// request is marked as last resort (Exchange.LastResort): the service itself is
	// probably failing, and one of its backend servers is as good as another.
	maxSuspectRefusals = 4
	// maxRetryRefusals is how many backend proxies may refuse a request because their
	// servers may receive no more repeats now, before it is given up.
	maxRetryRefusals = 8
	// maxCalledServiceRefusals is how many backend proxies may refuse a request because a
	// service that its run would call has no room, before it is given up. All of them call the
	// same service, but the news of one may be old.
	maxCalledServiceRefusals = 2
)

// forwardFilter selects backend servers and sends the request to their backend
// proxies until one responds or the outcome permits no further attempt.
type forwardFilter struct {
	remote   Remote
	local    http.Handler
	selector Selector
	retry    RetryPolicy
	runs     Runs
	guards   []AttemptGuard
	clocks   *peerClocks

	quarantine   Quarantine
	logger       *slog.Logger
	presentation Presentation
}

// Name implements pipeline.Filter.
func (*forwardFilter) Name() string { return "forward" }

// Request implements pipeline.Filter.
func (f *forwardFilter) Request(exchange *pipeline.Exchange) error {
	body := newReplayBody(exchange.Request)
	ctx, cancel := clock.WithDeadline(exchange.Request.Context(), exchange.Deadline)
	defer cancel()

	if f.runs != nil {
		exchange.RepeatedCall = f.runs.IsRepeatedCall(exchange)
		if exchange.View.ActivePreset().CallPrecedence {
			exchange.CallUrgency = f.runs.RecordCall(exchange)
		}
	}
	f.retry.RequestStarted(exchange)
	attempts := &attemptTracker{}
	for {
		if refusal := f.refuseWithoutRoom(exchange, attempts); refusal != nil {
			return refusal
		}
		candidate, ok := f.selector.Pick(exchange, attempts.tried)
		if !ok && attempts.startLastResort(exchange) {
			continue
		}
		if !ok {
			if attempts.lastRefusedAsRepeat {
				f.retry.RetryRefused(exchange)
			}
			return f.noCandidateRefusal(exchange, attempts.lastRefusal)
		}
		refusal, err := f.tryCandidate(ctx, exchange, candidate, body)
		if err != nil {
			return guardRefusal(err, attempts.lastRefusal)
		}
		if refusal == nil {
			return nil
		}
		attempts.add(exchange, candidate, refusal)
		if attempts.calledServiceRefusals >= maxCalledServiceRefusals {
			return refusal
		}
		if attempts.retryRefusals >= maxRetryRefusals {
			f.retry.RetryRefused(exchange)
			return refusal
		}
		if !f.mayRetry(ctx, exchange, refusal, body) {
			return refusal
		}
	}
}

// refuseWithoutRoom returns the refusal of a request for which no backend server has room, as
// far as is known, or nil. If an earlier attempt may have run, that attempt's refusal is
// returned.
func (f *forwardFilter) refuseWithoutRoom(exchange *pipeline.Exchange, attempts *attemptTracker) *pipeline.Refusal {
	if exchange.LastResort || !exchange.View.ActivePreset().AdmissionByRoom {
		return nil
	}
	retryAfter, room := f.selector.Room(exchange, attempts.tried, attempts.busyRefusals)
	if room {
		return nil
	}
	if last := attempts.lastRefusal; last != nil && (last.Outcome != pipeline.OutcomeNotRun || last.ReachedServer) {
		return last
	}
	return pipeline.NewNotRunRefusal(pipeline.KindBusy, http.StatusServiceUnavailable,
		"no backend server of the service can run the request in time", "send the request again", retryAfter)
}

// attemptTracker tracks the attempts of one exchange.
type attemptTracker struct {
	tried []Candidate
	// reached are the candidates in tried that may have received the request.
	reached     []Candidate
	lastRefusal *pipeline.Refusal
	// suspectRefusals counts the attempts that were refused because the backend
	// server is suspected of failure.
	suspectRefusals int
	// busyRefusals counts the attempts that were refused for want of room.
	busyRefusals int
	// retryRefusals counts the attempts that were refused because the backend server may
	// receive no more repeats now.
	retryRefusals int
	// calledServiceRefusals counts the attempts that were refused because a service that the
	// run would call has no room.
	calledServiceRefusals int
	// lastRefusedAsRepeat says that the last attempt was refused so.
	lastRefusedAsRepeat bool
	// lastResortStarted says that startLastResort has permitted further attempts,
	// which it does once for each exchange.
	lastResortStarted bool
}

func (t *attemptTracker) add(exchange *pipeline.Exchange, candidate Candidate, refusal *pipeline.Refusal) {
	if t.lastRefusal != nil && t.lastRefusal.Outcome != pipeline.OutcomeNotRun && refusal.Outcome == pipeline.OutcomeNotRun {
		// An earlier attempt may have run, so the result of the exchange stays
		// unknown even though this attempt did not run.
		refusal.Outcome = t.lastRefusal.Outcome
		refusal.Status = t.lastRefusal.Status
		exchange.Outcome = t.lastRefusal.Outcome
	}
	if refusal.Kind == pipeline.KindServerUnregistered {
		refusal.Kind = pipeline.KindNoCapacity
	}
	t.lastRefusal = refusal
	t.tried = append(t.tried, candidate)
	t.lastRefusedAsRepeat = refusal.Kind == pipeline.KindRetryBudget
	if t.lastRefusedAsRepeat {
		t.retryRefusals++
	}
	if refusal.Kind == pipeline.KindCalledServiceBusy {
		t.calledServiceRefusals++
	}
	if refusal.Kind == pipeline.KindBusy && !refusal.ReachedServer {
		t.busyRefusals++
	}
	if refusal.Kind == pipeline.KindServerSuspect {
		t.suspectRefusals++
		exchange.LastResort = exchange.LastResort || t.suspectRefusals >= maxSuspectRefusals
	}
	if refusal.ReachedServer {
		t.reached = append(t.reached, candidate)
		exchange.ReachedAttempts++
	}
}

// startLastResort permits one more attempt at each of the backend servers that have
// not received the request, if attempts were refused because the backend server is
// suspected of failure. When no other backend server is left, a suspect one is better
// than none.
func (t *attemptTracker) startLastResort(exchange *pipeline.Exchange) bool {
	if t.suspectRefusals == 0 || t.lastResortStarted {
		return false
	}
	t.lastResortStarted = true
	exchange.LastResort = true
	t.tried = slices.Clone(t.reached)
	return true
}

// tryCandidate sends the request to one candidate. While the clock of the instance
// is unknown, before the first request to it and after its restart, the backend proxy
// refuses the request and returns a clock reading; the request is then sent a second
// time.
func (f *forwardFilter) tryCandidate(ctx context.Context, exchange *pipeline.Exchange, candidate Candidate, body *replayBody) (*pipeline.Refusal, error) {
	for clockRequested := false; ; clockRequested = true {
		for _, guard := range f.guards {
			if err := guard.BeforeAttempt(exchange); err != nil {
				f.selector.Done(&Attempt{Candidate: candidate, Service: exchange.Service, Canceled: true})
				return nil, err
			}
		}
		exchange.Attempts++
		refusal := f.attempt(ctx, exchange, candidate, body)
		clockUnknown := refusal != nil && refusal.Kind == pipeline.KindClockUnknown
		if !clockUnknown || clockRequested || !body.canReplay() || ctx.Err() != nil {
			return refusal, nil
		}
		exchange.Attempts--
		f.selector.Repeat(candidate, exchange)
	}
}

// mayRetry permits another attempt only if the request is proved not to have run or
// is idempotent. Attempts that no backend server received do not use the retry
// budget.
func (f *forwardFilter) mayRetry(ctx context.Context, exchange *pipeline.Exchange, refusal *pipeline.Refusal, body *replayBody) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case refusal.Outcome != pipeline.OutcomeNotRun && !exchange.Idempotent:
		return false
	case refusal.Kind == pipeline.KindKeyRejected:
		return false
	case !body.canReplay() || body.readError() != nil:
		return false
	case refusal.Kind == pipeline.KindServerError:
		// The retry budget was charged when the response was discarded.
		return true
	case !refusal.ReachedServer:
		return exchange.Attempts < maxAttemptsIfUnreached
	}
	return attemptsLeft(exchange, 0) && f.retry.MayRetry(exchange, refusal.Outcome)
}

// attemptsLeft reports whether the route permits one more attempt that reaches a
// backend server. uncounted is the number of such attempts that
// exchange.ReachedAttempts does not include yet.
func attemptsLeft(exchange *pipeline.Exchange, uncounted int) bool {
	limit := int(exchange.Route.MaxAttempts)
	return limit == 0 || exchange.ReachedAttempts+uncounted < limit
}

// shouldRetryResponse reports whether to discard a response and retry: the backend
// server returned a server error, the request can be repeated, and the retry budget
// permits it. If so, it charges the retry to the budget.
func (f *forwardFilter) shouldRetryResponse(exchange *pipeline.Exchange, status int, body *replayBody) bool {
	return status >= http.StatusInternalServerError &&
		exchange.Idempotent &&
		body.canReplay() &&
		exchange.Remaining(clock.Now()) > 0 &&
		attemptsLeft(exchange, 1) &&
		f.retry.MayRetry(exchange, pipeline.OutcomeAnswered)
}

func serverErrorRefusal(status int) *pipeline.Refusal {
	return &pipeline.Refusal{
		Kind:          pipeline.KindServerError,
		Status:        http.StatusBadGateway,
		Detail:        "the backend server responded with status " + strconv.Itoa(status),
		Remedy:        "send the request again",
		RetryAfter:    retryAfterTransient,
		Outcome:       pipeline.OutcomeUnknown,
		ReachedServer: true,
	}
}

// noCandidateRefusal returns the refusal of a request for which no backend server is left.
// last is the refusal of the last attempt, or nil. A request that only advertised rates
// keep from running may return when the first of them admits it.
func (f *forwardFilter) noCandidateRefusal(exchange *pipeline.Exchange, last *pipeline.Refusal) *pipeline.Refusal {
	rateLimited := last == nil || (last.Kind == pipeline.KindServerRateLimited && last.Outcome == pipeline.OutcomeNotRun)
	if wait, found := f.selector.RateWait(exchange.Service); found && rateLimited {
		return pipeline.NewNotRunRefusal(pipeline.KindServerRateLimited, http.StatusServiceUnavailable,
			"each available backend server of the service is at the rate that it advertises", "send the request again",
			max(wait, retryAfterTransient))
	}
	if last != nil {
		return last
	}
	return pipeline.NewNotRunRefusal(pipeline.KindNoCapacity, http.StatusServiceUnavailable,
		"no backend server of the service is available", "send the request again", retryAfterTransient)
}

// guardRefusal returns err, the refusal of a guard. If an earlier attempt may have
// run, it returns the last refusal instead, so that the caller is not told that the
// request did not run.
func guardRefusal(err error, last *pipeline.Refusal) error {
	if last != nil && last.Outcome != pipeline.OutcomeNotRun {
		return last
	}
	return err
}

// attempt sends the request to one candidate once. It returns nil when a response
// was passed to the caller.
func (f *forwardFilter) attempt(ctx context.Context, exchange *pipeline.Exchange, candidate Candidate, body *replayBody) *pipeline.Refusal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := clock.Now()
	exchange.Instance = candidate.Instance
	exchange.BackendServer = candidate.Server
	exchange.Outcome = pipeline.OutcomeUnknown
	result := Attempt{Candidate: candidate, Service: exchange.Service, Route: exchange.Route.ID}
	dispatchBy := f.clocks.peerDispatchDeadline(candidate.Instance, exchange, started)
	request := newProxyRequest(ctx, exchange, candidate, body, dispatchBy, started)

	var refusal *pipeline.Refusal
	if candidate.Address == "" {
		refusal = f.serveLocal(exchange, request, body, &result, started)
	} else {
		refusal = f.serveRemote(exchange, candidate, request, body, &result, started)
	}
	if refusal != nil {
		exchange.Outcome = refusal.Outcome
		result.Refusal = refusal.Kind
	}
	if result.Latency == 0 {
		result.Latency = clock.Since(started)
	}
	result.Outcome = exchange.Outcome
	result.Canceled = result.Canceled || exchange.Request.Context().Err() != nil
	f.selector.Done(&result)
	exchange.AttemptHistory = append(exchange.AttemptHistory, pipeline.AttemptRecord{
		Instance:      candidate.Instance,
		BackendServer: candidate.Server,
		Outcome:       result.Outcome,
		Status:        result.Status,
		Refusal:       result.Refusal,
		Duration:      clock.Since(started),
	})
	return refusal
}

func (f *forwardFilter) serveRemote(exchange *pipeline.Exchange, candidate Candidate, request *http.Request, body *replayBody, result *Attempt, started time.Time) *pipeline.Refusal {
	response, err := f.remote.RoundTrip(candidate.Address, request, connectionClass(exchange.Route))
	if cause := body.readError(); err != nil && cause != nil {
		result.Canceled = true
		return bodyReadRefusal(cause)
	}
	if err != nil {
		result.PathFailed = request.Context().Err() == nil
		result.Unanswered = !result.PathFailed
		result.ConnectFailed = errors.Is(err, transport.ErrNotSent)
		return transportRefusal(exchange, request, err)
	}
	defer func() { _ = response.Body.Close() }()
	result.Latency = clock.Since(started)
	f.readInternalHeaders(exchange, response.Header, result)
	if refusal := readRefusal(response.StatusCode, response.Header); refusal != nil {
		return refusal
	}
	result.Status = response.StatusCode
	if f.shouldRetryResponse(exchange, response.StatusCode, body) {
		return serverErrorRefusal(response.StatusCode)
	}
	f.streamResponse(exchange, response)
	return nil
}

func connectionClass(route *fleetconfig.Route) transport.ConnectionClass {
	if route.LargeResponses {
		return transport.ClassLarge
	}
	return transport.ClassSmall
}

// readInternalHeaders reads the headers that the backend proxy adds to a response:
// load, time since dispatch, clock reading and evidence of a crash.
func (f *forwardFilter) readInternalHeaders(exchange *pipeline.Exchange, header http.Header, result *Attempt) {
	f.observeCrash(exchange, header)
	result.Load = header.Get(headerLoad)
	result.ServerStatus = header.Get(backendproxy.HeaderServerStatus)
	dispatchAge, _ := strconv.ParseInt(header.Get(pipeline.HeaderDispatchAge), 10, 64)
	exchange.DispatchAge = time.Duration(max(dispatchAge, 0)) * time.Microsecond
	result.ServiceTime = exchange.DispatchAge
	f.clocks.observe(result.Candidate.Instance, header.Get(pipeline.HeaderClock), clock.Now())
}

// bodyReadRefusal returns the refusal for a request whose body could not be read to
// its end. A part of the body may already have reached the backend server.
func bodyReadRefusal(cause error) *pipeline.Refusal {
	refusal := &pipeline.Refusal{
		Kind:          pipeline.KindBadRequest,
		Status:        http.StatusBadRequest,
		Detail:        "the request body could not be read to its end: " + cause.Error(),
		Remedy:        "send the complete body",
		RetryAfter:    retryAfterTransient,
		Outcome:       pipeline.OutcomeUnknown,
		ReachedServer: true,
	}
	var tooLarge *http.MaxBytesError
	if errors.As(cause, &tooLarge) {
		refusal.Kind = pipeline.KindTooLarge
		refusal.Status = http.StatusRequestEntityTooLarge
		refusal.Remedy = "send a smaller body"
	}
	return refusal
}

func transportRefusal(exchange *pipeline.Exchange, request *http.Request, err error) *pipeline.Refusal {
	if errors.Is(err, transport.ErrNotSent) {
		return pipeline.NewNotRunRefusal(pipeline.KindNoCapacity, http.StatusServiceUnavailable,
			"the instance of the backend server is unreachable", "send the request again", retryAfterTransient)
	}
	refusal := &pipeline.Refusal{
		Kind:          pipeline.KindOutcomeUnknown,
		ReachedServer: true,
		Status:        http.StatusBadGateway,
		Detail:        "the instance of the backend server did not send a response; the request may or may not have run",
		Remedy:        "check whether the request took effect before sending it again, or send it with an Idempotency-Key",
		RetryAfter:    retryAfterTransient,
		Outcome:       pipeline.OutcomeUnknown,
	}
	if request.Context().Err() != nil && exchange.Remaining(clock.Now()) <= 0 {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Detail = "the request deadline passed before the backend server responded; the request may or may not have run"
	}
	return refusal
}
