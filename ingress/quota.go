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

// TokenSource grants quota tokens of client accounts. It is safe for concurrent use.
type TokenSource interface {
	// Acquire returns a token for one request. The error is a *quota.Refusal or the
	// error of ctx.
	Acquire(ctx context.Context, account fleetconfig.AccountID) (quota.Token, error)
	// MarkSpent records that the request of the token was dispatched to a backend
	// server. The parameter ago is a lower bound of the time since the dispatch.
	MarkSpent(token quota.Token, ago time.Duration)
	// Return returns the token of a request that did not run.
	Return(token quota.Token)
}

// AttemptGuard permits or refuses each attempt of an exchange.
type AttemptGuard interface {
	// BeforeAttempt is called immediately before each attempt. An error ends the
	// exchange.
	BeforeAttempt(exchange *pipeline.Exchange) error
}

// QuotaFilter enforces the rate and burst of each client account across all
// instances. Each attempt that may reach a backend server needs a token of the
// account.
type QuotaFilter struct {
	source TokenSource
}

// NewQuotaFilter returns a QuotaFilter that acquires its tokens from source.
func NewQuotaFilter(source TokenSource) *QuotaFilter { return &QuotaFilter{source: source} }

// heldToken is the token of the current attempt, if held is true.
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

// ownerRetryInterval is the time between tries to acquire a token while the owner of
// the account, the instance that grants its tokens, is unavailable.
const ownerRetryInterval = 100 * time.Millisecond

func (f *QuotaFilter) acquire(exchange *pipeline.Exchange) error {
	ctx, cancel := clock.WithDeadline(exchange.Request.Context(), exchange.Deadline)
	defer cancel()
	token, err := f.source.Acquire(ctx, exchange.Account)
	for ownerUnavailable(err) && mayWaitForOwner(exchange) && sleep(ctx, ownerRetryInterval) {
		token, err = f.source.Acquire(ctx, exchange.Account)
	}
	if err != nil {
		return quotaRefusal(exchange, err)
	}
	*exchangeToken(exchange) = heldToken{token: token, held: true}
	exchange.TokenExpires = token.Expires
	return nil
}

func ownerUnavailable(err error) bool {
	var refusal *quota.Refusal
	return errors.As(err, &refusal) && refusal.OwnerUnavailable()
}

// mayWaitForOwner reports whether another try to reach the owner can finish in time.
// If not, the request is refused now, since a response would come too late for the
// latency target of the route, or for its timeout if it has no target.
func mayWaitForOwner(exchange *pipeline.Exchange) bool {
	if exchange.Route == nil {
		return false
	}
	timeout := exchange.Deadline.Sub(exchange.Received)
	until := exchange.Received.Add(quota.MaxOwnerWait(exchange.Route.LatencyTarget, timeout))
	return clock.Now().Add(ownerRetryInterval).Before(until)
}

// sleep waits for the duration and reports whether it passed before ctx ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// BeforeAttempt implements AttemptGuard. It acquires another token if an earlier
// attempt may have run or if the token has expired.
func (f *QuotaFilter) BeforeAttempt(exchange *pipeline.Exchange) error {
	if exchange.Account == "" {
		return nil
	}
	held := exchangeToken(exchange)
	mayHaveRun := exchange.Attempts > 0 && exchange.Outcome != pipeline.OutcomeNotRun
	if held.held && !mayHaveRun && clock.Now().Before(held.token.Expires) {
		return nil
	}
	f.settleToken(exchange)
	return f.acquire(exchange)
}

// Response implements pipeline.ResponseFilter. A response header proves that the
// request was dispatched, so the token is settled at once.
func (f *QuotaFilter) Response(exchange *pipeline.Exchange) {
	f.settleToken(exchange)
}

// Finish implements pipeline.Finisher.
func (f *QuotaFilter) Finish(exchange *pipeline.Exchange) {
	f.settleToken(exchange)
}

// settleToken marks the token as spent if a backend server responded, and returns it
// if there was no attempt or the attempt did not run. If the outcome is unknown, the
// token is left to expire: the request may still be dispatched until then, so the
// token must still count against the burst.
func (f *QuotaFilter) settleToken(exchange *pipeline.Exchange) {
	held := exchangeToken(exchange)
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

func quotaRefusal(exchange *pipeline.Exchange, err error) error {
	var refusal *quota.Refusal
	if !errors.As(err, &refusal) {
		return pipeline.NewNotRunRefusal(pipeline.KindCanceled, http.StatusServiceUnavailable,
			"the request was canceled or its deadline passed while it waited for a quota token of the client account", "send the request again", retryAfterTransient)
	}
	if refusal.Cause == quota.CauseOverRate {
		limits := quota.LimitsOf(exchange.View, exchange.Account)
		return pipeline.NewNotRunRefusal(pipeline.KindOverRate, http.StatusTooManyRequests,
			fmt.Sprintf("the client account exceeded its rate of %g requests/s with a burst of %d", limits.RatePerSecond, limits.Burst),
			"wait for the time in Retry-After, or ask the operator for a higher rate", refusal.RetryAfter)
	}
	return pipeline.NewNotRunRefusal(pipeline.KindQuotaUnavailable, http.StatusServiceUnavailable,
		"the quota of the client account is unavailable: "+refusal.Cause.String(), "send the request again", refusal.RetryAfter)
}
