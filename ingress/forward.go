package ingress

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/transport"
)

// RetryPolicy says whether an attempt may be followed by another one. It is safe
// for concurrent use.
type RetryPolicy interface {
	// RequestStarted records the first attempt of an exchange.
	RequestStarted(exchange *pipeline.Exchange)
	// MayRetry reports whether the exchange may have one more attempt after one that
	// ended with the given outcome.
	MayRetry(exchange *pipeline.Exchange, outcome pipeline.Outcome) bool
}

const (
	// maxHops bounds how many instances one request is sent to.
	maxHops = 12
	// maxDoubtful is how many backend servers may be passed over for their failures
	// until the request insists: when so many in a row fail, the service does, and
	// one of its servers is as good as another.
	maxDoubtful = 4
)

// forwardFilter chooses backend servers and sends the request to the proxies
// beside them until one has answered, or the outcome forbids another attempt.
type forwardFilter struct {
	remote   Remote
	local    http.Handler
	selector Selector
	retry    RetryPolicy
	guards   []AttemptGuard
	clocks   *peerClocks

	presentation Presentation
}

// Name implements pipeline.Filter.
func (*forwardFilter) Name() string { return "forward" }

// Request implements pipeline.Filter.
func (f *forwardFilter) Request(exchange *pipeline.Exchange) error {
	body := newReplayBody(exchange.Request)
	ctx, cancel := clock.WithDeadline(exchange.Request.Context(), exchange.Deadline)
	defer cancel()

	f.retry.RequestStarted(exchange)
	attempts := &attemptList{}
	for {
		candidate, ok := f.selector.Pick(exchange, attempts.tried)
		if !ok && attempts.mayInsist(exchange) {
			continue
		}
		if !ok {
			return noCandidate(attempts.last)
		}
		refusal, err := f.tryCandidate(ctx, exchange, candidate, body)
		if err != nil {
			return refusedBefore(err, attempts.last)
		}
		if refusal == nil {
			return nil
		}
		attempts.add(exchange, candidate, refusal)
		if !f.mayTryAgain(ctx, exchange, refusal, body) {
			return refusal
		}
	}
}

// attemptList is what has become of the attempts of an exchange so far.
type attemptList struct {
	tried []Candidate
	// reached are those of tried that may have seen the request.
	reached []Candidate
	last    *pipeline.Refusal
	// doubtful counts the backend servers that were passed over only for their
	// failures.
	doubtful int
	insisted bool
}

func (l *attemptList) add(exchange *pipeline.Exchange, candidate Candidate, refusal *pipeline.Refusal) {
	if l.last != nil && l.last.Outcome != pipeline.OutcomeNotRun && refusal.Outcome == pipeline.OutcomeNotRun {
		// An earlier attempt may have run, whatever happened to this one.
		refusal.Outcome = l.last.Outcome
		refusal.Status = l.last.Status
		exchange.Outcome = l.last.Outcome
	}
	l.last = refusal
	l.tried = append(l.tried, candidate)
	if refusal.Kind == pipeline.KindServerSuspect {
		l.doubtful++
		exchange.LastResort = exchange.LastResort || l.doubtful >= maxDoubtful
	}
	if refusal.ReachedServer {
		l.reached = append(l.reached, candidate)
		exchange.ReachedAttempts++
	}
}

// mayInsist permits one more round over the backend servers that have not seen the
// request when all that is left was passed over for its failures: a doubtful server
// is better than none.
func (l *attemptList) mayInsist(exchange *pipeline.Exchange) bool {
	if l.doubtful == 0 || l.insisted {
		return false
	}
	l.insisted = true
	exchange.LastResort = true
	l.tried = slices.Clone(l.reached)
	return true
}

// tryCandidate sends the request to one candidate. The first request to an
// instance, and the first after its restart, only fetches the reading of its
// clock and is sent once more.
func (f *forwardFilter) tryCandidate(ctx context.Context, exchange *pipeline.Exchange, candidate Candidate, body *replayBody) (*pipeline.Refusal, error) {
	for asked := false; ; asked = true {
		for _, guard := range f.guards {
			if err := guard.BeforeAttempt(exchange); err != nil {
				f.selector.Done(&Attempt{Candidate: candidate, Service: exchange.Service, Canceled: true})
				return nil, err
			}
		}
		exchange.Attempts++
		refusal := f.attempt(ctx, exchange, candidate, body)
		clockUnknown := refusal != nil && refusal.Kind == pipeline.KindClockUnknown
		if !clockUnknown || asked || !body.rewindable() || ctx.Err() != nil {
			return refusal, nil
		}
		exchange.Attempts--
		f.selector.Repeat(candidate, exchange)
	}
}

// mayTryAgain permits another attempt only after a proved NotRun, or for an
// idempotent request. An attempt that no backend server has seen costs the retry
// budget nothing.
func (f *forwardFilter) mayTryAgain(ctx context.Context, exchange *pipeline.Exchange, refusal *pipeline.Refusal, body *replayBody) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case refusal.Outcome != pipeline.OutcomeNotRun && !exchange.Idempotent:
		return false
	case refusal.Kind == pipeline.KindKeyRejected:
		return false
	case !body.rewindable() || body.failure() != nil:
		return false
	case refusal.Kind == pipeline.KindServerError:
		// It was paid for when the answer was passed over.
		return true
	case !refusal.ReachedServer:
		return exchange.Attempts < maxHops
	}
	return attemptsLeft(exchange, 0) && f.retry.MayRetry(exchange, refusal.Outcome)
}

// attemptsLeft reports whether the route lets the request reach one more backend
// server, besides those that are not counted yet.
func attemptsLeft(exchange *pipeline.Exchange, uncounted int) bool {
	most := int(exchange.Route.MaxAttempts)
	return most == 0 || exchange.ReachedAttempts+uncounted < most
}

// passOver reports whether an answer is passed over in favour of another attempt:
// the backend server failed, the request can be repeated, and the retry budget pays.
func (f *forwardFilter) passOver(exchange *pipeline.Exchange, status int, body *replayBody) bool {
	return status >= http.StatusInternalServerError &&
		exchange.Idempotent &&
		body.rewindable() &&
		exchange.Remaining(clock.Now()) > 0 &&
		attemptsLeft(exchange, 1) &&
		f.retry.MayRetry(exchange, pipeline.OutcomeAnswered)
}

func refuseServerError(status int) *pipeline.Refusal {
	return &pipeline.Refusal{
		Kind:          pipeline.KindServerError,
		Status:        http.StatusBadGateway,
		Detail:        "the backend server failed with status " + strconv.Itoa(status),
		Remedy:        "send the request again",
		RetryAfter:    retrySoon,
		Outcome:       pipeline.OutcomeUnknown,
		ReachedServer: true,
	}
}

func noCandidate(last *pipeline.Refusal) *pipeline.Refusal {
	if last != nil {
		return last
	}
	return pipeline.NewNotRunRefusal(pipeline.KindNoCapacity, http.StatusServiceUnavailable,
		"no backend server of the service takes work now", "send the request again", retrySoon)
}

// refusedBefore returns the refusal of a guard, unless an earlier attempt may have
// run: then nothing may say that the request was not run.
func refusedBefore(err error, last *pipeline.Refusal) error {
	if last != nil && last.Outcome != pipeline.OutcomeNotRun {
		return last
	}
	return err
}

// attempt sends the request to one candidate once. It returns nil when an answer
// was delivered to the caller.
func (f *forwardFilter) attempt(ctx context.Context, exchange *pipeline.Exchange, candidate Candidate, body *replayBody) *pipeline.Refusal {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := clock.Now()
	exchange.Instance = candidate.Instance
	exchange.BackendServer = candidate.Server
	exchange.Outcome = pipeline.OutcomeUnknown
	result := Attempt{Candidate: candidate, Service: exchange.Service}
	dispatchBy := f.clocks.dispatchBy(candidate.Instance, exchange)
	request := forwardedRequest(ctx, exchange, candidate, body, dispatchBy, started)

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
	response, err := f.remote.RoundTrip(candidate.Address, request, laneOf(exchange.Route))
	if cause := body.failure(); err != nil && cause != nil {
		result.Canceled = true
		return refuseBody(cause)
	}
	if err != nil {
		result.PathFailed = request.Context().Err() == nil
		result.ConnectFailed = errors.Is(err, transport.ErrNotSent)
		return refuseUnreached(exchange, request, err)
	}
	defer func() { _ = response.Body.Close() }()
	result.Latency = clock.Since(started)
	f.readHead(exchange, response.Header, result)
	if refusal := readRefusal(response.StatusCode, response.Header); refusal != nil {
		return refusal
	}
	result.Status = response.StatusCode
	if f.passOver(exchange, response.StatusCode, body) {
		return refuseServerError(response.StatusCode)
	}
	f.deliver(exchange, response)
	return nil
}

func laneOf(route *fleetconfig.Route) transport.ConnectionClass {
	if route.LargeResponses {
		return transport.ClassLarge
	}
	return transport.ClassSmall
}

// readHead takes in what the backend proxy says beside the answer.
func (f *forwardFilter) readHead(exchange *pipeline.Exchange, header http.Header, result *Attempt) {
	result.Load = header.Get(headerLoad)
	ago, _ := strconv.ParseInt(header.Get(pipeline.HeaderDispatchAge), 10, 64)
	exchange.DispatchAge = time.Duration(max(ago, 0)) * time.Microsecond
	f.clocks.observe(result.Candidate.Instance, header.Get(pipeline.HeaderClock), clock.Now())
}

// refuseBody answers a request whose body its caller did not send to the end. A part
// of it may have reached the backend server.
func refuseBody(cause error) *pipeline.Refusal {
	refusal := &pipeline.Refusal{
		Kind:          pipeline.KindBadRequest,
		Status:        http.StatusBadRequest,
		Detail:        "the body could not be read to its end: " + cause.Error(),
		Remedy:        "send the whole body",
		RetryAfter:    retrySoon,
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

func refuseUnreached(exchange *pipeline.Exchange, request *http.Request, err error) *pipeline.Refusal {
	if errors.Is(err, transport.ErrNotSent) {
		return pipeline.NewNotRunRefusal(pipeline.KindNoCapacity, http.StatusServiceUnavailable,
			"the instance beside the backend server could not be reached", "send the request again", retrySoon)
	}
	refusal := &pipeline.Refusal{
		Kind:          pipeline.KindOutcomeUnknown,
		ReachedServer: true,
		Status:        http.StatusBadGateway,
		Detail:        "the instance beside the backend server stopped answering, and the request may or may not have run",
		Remedy:        "look whether the request took effect before sending it again, or send it with an Idempotency-Key",
		RetryAfter:    retrySoon,
		Outcome:       pipeline.OutcomeUnknown,
	}
	if request.Context().Err() != nil && exchange.Remaining(clock.Now()) <= 0 {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Detail = "the request's time ran out while it was at the backend server, and it may or may not have run"
	}
	return refusal
}
