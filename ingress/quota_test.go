package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quota"
)

// fakeTokens counts what becomes of tokens.
type fakeTokens struct {
	acquired, spent, returned int
	spentAgo                  time.Duration
	// missing is how many times the owner can not be reached.
	missing int
}

func (f *fakeTokens) Acquire(_ context.Context, account fleetconfig.AccountID) (quota.Token, error) {
	f.acquired++
	if f.acquired <= f.missing {
		return quota.Token{}, &quota.Refusal{Account: account, Cause: quota.CauseOwnerUnreachable}
	}
	return quota.Token{Account: account, Expires: time.Now().Add(time.Minute)}, nil
}

func (f *fakeTokens) MarkSpent(_ quota.Token, ago time.Duration) {
	f.spent++
	f.spentAgo = ago
}

func (f *fakeTokens) Return(quota.Token) { f.returned++ }

// A token goes back only when the request was not run, and counts as spent only
// when an answer proves that it was dispatched. One that may still be dispatched
// is left to expire, so that its place in the burst stays taken.
func TestWhatBecomesOfATokenDependsOnTheOutcome(t *testing.T) {
	cases := []struct {
		outcome         pipeline.Outcome
		attempts        int
		spent, returned int
	}{
		{pipeline.OutcomeAnswered, 1, 1, 0},
		{pipeline.OutcomeNotRun, 1, 0, 1},
		{pipeline.OutcomeAnswered, 0, 0, 1}, // A stored answer to a repeat.
		{pipeline.OutcomeUnknown, 1, 0, 0},
	}
	for _, c := range cases {
		tokens := &fakeTokens{}
		filter := NewQuotaFilter(tokens)
		exchange := &pipeline.Exchange{
			Request:  httptest.NewRequest(http.MethodGet, "/", nil),
			Account:  "acme",
			Deadline: time.Now().Add(time.Minute),
		}
		must.NoError(t, filter.Request(exchange))
		exchange.Outcome, exchange.Attempts, exchange.DispatchAge = c.outcome, c.attempts, time.Second
		filter.Finish(exchange)
		filter.Finish(exchange)
		must.Eq(t, c.spent, tokens.spent, must.Sprintf("%v", c))
		must.Eq(t, c.returned, tokens.returned, must.Sprintf("%v", c))
		if c.spent > 0 {
			must.Eq(t, time.Second, tokens.spentAgo)
		}
	}
}

// An attempt after one that may have run needs a token of its own.
func TestARetryAfterAnUnknownOutcomeNeedsAnotherToken(t *testing.T) {
	tokens := &fakeTokens{}
	filter := NewQuotaFilter(tokens)
	exchange := &pipeline.Exchange{
		Request:  httptest.NewRequest(http.MethodGet, "/", nil),
		Account:  "acme",
		Deadline: time.Now().Add(time.Minute),
	}
	must.NoError(t, filter.Request(exchange))
	must.NoError(t, filter.BeforeAttempt(exchange))
	must.Eq(t, 1, tokens.acquired)
	exchange.Attempts, exchange.Outcome = 1, pipeline.OutcomeNotRun
	must.NoError(t, filter.BeforeAttempt(exchange))
	must.Eq(t, 1, tokens.acquired)
	exchange.Attempts, exchange.Outcome = 2, pipeline.OutcomeUnknown
	must.NoError(t, filter.BeforeAttempt(exchange))
	must.Eq(t, 2, tokens.acquired)
}

// A request whose account has no owner for a moment is placed when the owner is back,
// as long as its answer can still come within its objective. One that would be late is
// refused, as not run, after a part of its objective.
func TestARequestWaitsForTheOwnerOfItsAccount(t *testing.T) {
	const objective = 1500 * time.Millisecond
	cases := []struct {
		name      string
		objective time.Duration
		missing   int
		served    bool
	}{
		{"owner is back soon", objective, 3, true},
		{"owner stays away", objective, 1000, false},
		{"no objective", 0, 1, false},
	}
	for _, c := range cases {
		tokens := &fakeTokens{missing: c.missing}
		began := time.Now()
		exchange := &pipeline.Exchange{
			Request:  httptest.NewRequest(http.MethodGet, "/", nil),
			Account:  "acme",
			Route:    &fleetconfig.Route{LatencyTarget: c.objective},
			Received: began,
			Deadline: began.Add(time.Minute),
		}
		err := NewQuotaFilter(tokens).Request(exchange)
		took := time.Since(began)
		if c.served {
			must.NoError(t, err, must.Sprint(c.name))
			continue
		}
		var refusal *pipeline.Refusal
		must.True(t, errors.As(err, &refusal), must.Sprint(c.name))
		must.Eq(t, pipeline.KindQuotaUnavailable, refusal.Kind)
		must.Eq(t, pipeline.OutcomeNotRun, refusal.Outcome)
		must.LessEq(t, c.objective/2+100*time.Millisecond, took, must.Sprint(c.name))
	}
}
