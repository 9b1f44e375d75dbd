package ingress

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/transport"
)

// RetryPolicy says whether an attempt may be followed by another one. It is safe
// for concurrent use.
type RetryPolicy interface {
	// Started records the first attempt of an exchange.
	Started(exchange *pipeline.Exchange)
	// MayRetry reports whether the exchange may have one more attempt after one that
	// ended with the given outcome.
	MayRetry(exchange *pipeline.Exchange, outcome pipeline.Outcome) bool
}

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
	ctx, cancel := context.WithDeadline(exchange.Request.Context(), exchange.Deadline)
	defer cancel()

	f.retry.Started(exchange)
	var tried []Candidate
	var last *pipeline.Refusal
	for {
		candidate, ok := f.selector.Pick(exchange, tried)
		if !ok {
			return noCandidate(last)
		}
		tried = append(tried, candidate)
		refusal, err := f.tryCandidate(ctx, exchange, candidate, body)
		if err != nil {
			return refusedBefore(err, last)
		}
		if refusal == nil {
			return nil
		}
		if last != nil && last.Outcome != pipeline.OutcomeNotRun {
			// An earlier attempt may have run, whatever happened to this one.
			refusal.Outcome = last.Outcome
			exchange.Outcome = last.Outcome
		}
		last = refusal
		if !f.mayTryAgain(ctx, exchange, refusal, body) {
			return refusal
		}
	}
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
		f.selector.Again(candidate, exchange)
	}
}

// mayTryAgain permits another attempt only after a proved NotRun, or for an
// idempotent request.
func (f *forwardFilter) mayTryAgain(ctx context.Context, exchange *pipeline.Exchange, refusal *pipeline.Refusal, body *replayBody) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case refusal.Outcome != pipeline.OutcomeNotRun && !exchange.Idempotent:
		return false
	case refusal.Kind == pipeline.KindKeyRejected:
		return false
	case !body.rewindable():
		return false
	}
	return f.retry.MayRetry(exchange, refusal.Outcome)
}

func noCandidate(last *pipeline.Refusal) *pipeline.Refusal {
	if last != nil {
		return last
	}
	return pipeline.NotRun(pipeline.KindNoCapacity, http.StatusServiceUnavailable,
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
	started := time.Now()
	exchange.Instance = candidate.Instance
	exchange.BackendServer = candidate.Server
	exchange.Outcome = pipeline.OutcomeUnknown
	result := Attempt{Candidate: candidate, Service: exchange.Service}
	request := forwardedRequest(ctx, exchange, candidate, body, started)
	if dispatchBy := f.clocks.dispatchBy(candidate.Instance, exchange); dispatchBy != "" {
		request.Header.Set(pipeline.HeaderDispatchBy, dispatchBy)
	}

	var refusal *pipeline.Refusal
	if candidate.Address == "" {
		refusal = f.serveLocal(exchange, request, &result, started)
	} else {
		refusal = f.serveRemote(exchange, candidate, request, &result, started)
	}
	if refusal != nil {
		exchange.Outcome = refusal.Outcome
		result.Refusal = refusal.Kind
	}
	if result.Latency == 0 {
		result.Latency = time.Since(started)
	}
	result.Outcome = exchange.Outcome
	result.Canceled = exchange.Request.Context().Err() != nil
	f.selector.Done(&result)
	return refusal
}

func (f *forwardFilter) serveRemote(exchange *pipeline.Exchange, candidate Candidate, request *http.Request, result *Attempt, started time.Time) *pipeline.Refusal {
	response, err := f.remote.RoundTrip(candidate.Address, request)
	if err != nil {
		result.PathFailed = request.Context().Err() == nil
		return refuseUnreached(exchange, request, err)
	}
	defer func() { _ = response.Body.Close() }()
	result.Latency = time.Since(started)
	f.readHead(exchange, response.Header, result)
	if refusal := readRefusal(response.StatusCode, response.Header); refusal != nil {
		return refusal
	}
	result.Status = response.StatusCode
	f.deliver(exchange, response)
	return nil
}

// readHead takes in what the backend proxy says beside the answer.
func (f *forwardFilter) readHead(exchange *pipeline.Exchange, header http.Header, result *Attempt) {
	result.Load = header.Get(headerLoad)
	ago, _ := strconv.ParseInt(header.Get(pipeline.HeaderDispatchedAgo), 10, 64)
	exchange.DispatchedAgo = time.Duration(max(ago, 0)) * time.Microsecond
	f.clocks.observe(result.Candidate.Instance, header.Get(pipeline.HeaderClock), time.Now())
}

func refuseUnreached(exchange *pipeline.Exchange, request *http.Request, err error) *pipeline.Refusal {
	if errors.Is(err, transport.ErrNotSent) {
		return pipeline.NotRun(pipeline.KindNoCapacity, http.StatusServiceUnavailable,
			"the instance beside the backend server could not be reached", "send the request again", retrySoon)
	}
	refusal := &pipeline.Refusal{
		Kind:       pipeline.KindOutcomeUnknown,
		Status:     http.StatusBadGateway,
		Detail:     "the instance beside the backend server stopped answering, and the request may or may not have run",
		Remedy:     "look whether the request took effect before sending it again, or send it with an Idempotency-Key",
		RetryAfter: retrySoon,
		Outcome:    pipeline.OutcomeUnknown,
	}
	if request.Context().Err() != nil && exchange.Remaining(time.Now()) <= 0 {
		refusal.Status = http.StatusGatewayTimeout
		refusal.Detail = "the request's time ran out while it was at the backend server, and it may or may not have run"
	}
	return refusal
}
