package ingress

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quota"
)

// TokenSource grants the right to run requests of client accounts. It is safe for
// concurrent use.
type TokenSource interface {
	// Acquire returns a token for one request. The error is a *quota.Refusal, or the
	// context's.
	Acquire(ctx context.Context, account fleetconfig.AccountID) (quota.Token, error)
	// MarkSpent records that the request was dispatched at least ago before now.
	MarkSpent(token quota.Token, ago time.Duration)
	// Return takes a token back whose request was not run.
	Return(token quota.Token)
}

// AttemptGuard permits or refuses each attempt of an exchange.
type AttemptGuard interface {
	// BeforeAttempt is asked immediately before each attempt.
	BeforeAttempt(exchange *pipeline.Exchange) error
}

// QuotaFilter keeps each client account within its rate and burst, counted over
// all instances together: each attempt that may reach a backend server needs a
// token of the account.
type QuotaFilter struct {
	source TokenSource
}

// NewQuotaFilter returns a filter that takes its tokens from source.
func NewQuotaFilter(source TokenSource) *QuotaFilter { return &QuotaFilter{source: source} }

// heldToken is the token of the present attempt.
type heldToken struct {
	token quota.Token
	held  bool
}

// Name implements pipeline.Filter.
func (*QuotaFilter) Name() string { return "quota" }

// Request implements pipeline.Filter.
func (f *QuotaFilter) Request(exchange *pipeline.Exchange) error {
	if exchange.Account == "" {
		return nil
	}
	return f.acquire(exchange)
}

// ownerRetry is how often a request looks for the owner of its account while it waits
// for one.
const ownerRetry = 100 * time.Millisecond

func (f *QuotaFilter) acquire(exchange *pipeline.Exchange) error {
	ctx, cancel := clock.WithDeadline(exchange.Request.Context(), exchange.Deadline)
	defer cancel()
	token, err := f.source.Acquire(ctx, exchange.Account)
	for ownerMissing(err) && mayWaitForOwner(exchange) && pause(ctx, ownerRetry) {
		token, err = f.source.Acquire(ctx, exchange.Account)
	}
	if err != nil {
		return refuseQuota(exchange, err)
	}
	*tokenOf(exchange) = heldToken{token: token, held: true}
	exchange.TokenExpires = token.Expires
	return nil
}

func ownerMissing(err error) bool {
	var refusal *quota.Refusal
	return errors.As(err, &refusal) && refusal.OwnerUnavailable()
}

// mayWaitForOwner reports whether one more look for the owner is worth it: a request
// that will not be placed in time is refused now.
func mayWaitForOwner(exchange *pipeline.Exchange) bool {
	if exchange.Route == nil {
		return false
	}
	until := exchange.Received.Add(quota.MaxOwnerWait(exchange.Route.LatencyTarget))
	return clock.Now().Add(ownerRetry).Before(until)
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// BeforeAttempt implements AttemptGuard. An attempt after one that may have run
// needs a token of its own, and so does one whose token has run out.
func (f *QuotaFilter) BeforeAttempt(exchange *pipeline.Exchange) error {
	if exchange.Account == "" {
		return nil
	}
	held := tokenOf(exchange)
	mayHaveRun := exchange.Attempts > 0 && exchange.Outcome != pipeline.OutcomeNotRun
	if held.held && !mayHaveRun && clock.Now().Before(held.token.Expires) {
		return nil
	}
	f.settle(exchange)
	return f.acquire(exchange)
}

// Response implements pipeline.ResponseFilter: the head of an answer proves that
// the request was dispatched.
func (f *QuotaFilter) Response(exchange *pipeline.Exchange) {
	f.settle(exchange)
}

// Finish implements pipeline.Finisher.
func (f *QuotaFilter) Finish(exchange *pipeline.Exchange) {
	f.settle(exchange)
}

// settle spends the token, or returns it when the attempt was not run. The token of
// an attempt that may still run is left to expire: until then its place in the
// burst must stay taken.
func (f *QuotaFilter) settle(exchange *pipeline.Exchange) {
	held := tokenOf(exchange)
	if !held.held {
		return
	}
	held.held = false
	switch {
	case exchange.Outcome == pipeline.OutcomeNotRun || exchange.Attempts == 0:
		f.source.Return(held.token)
	case exchange.Outcome == pipeline.OutcomeAnswered:
		f.source.MarkSpent(held.token, exchange.DispatchAge)
	}
}

func refuseQuota(exchange *pipeline.Exchange, err error) error {
	var refusal *quota.Refusal
	if !errors.As(err, &refusal) {
		return pipeline.NewNotRunRefusal(pipeline.KindCanceled, http.StatusServiceUnavailable,
			"the request's time ran out while it waited for its share of the account's rate", "send the request again", retrySoon)
	}
	if refusal.Cause == quota.CauseOverRate {
		limits := quota.LimitsOf(exchange.View, exchange.Account)
		return pipeline.NewNotRunRefusal(pipeline.KindOverRate, http.StatusTooManyRequests,
			fmt.Sprintf("the client account is over its rate of %g requests/s with a burst of %d", limits.RatePerSecond, limits.Burst),
			"wait as Retry-After says, or ask the operator for a higher rate", refusal.RetryAfter)
	}
	return pipeline.NewNotRunRefusal(pipeline.KindQuotaUnavailable, http.StatusServiceUnavailable,
		"the client account's rate can not be counted now: "+refusal.Cause.String(), "send the request again", refusal.RetryAfter)
}
