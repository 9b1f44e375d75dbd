package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quota"
)

// fakeTokens counts what becomes of tokens.
type fakeTokens struct {
	acquired, spent, returned int
	spentAgo                  time.Duration
}

func (f *fakeTokens) Acquire(_ context.Context, account fleetconfig.AccountID) (quota.Token, error) {
	f.acquired++
	return quota.Token{Account: account, Expires: time.Now().Add(time.Minute)}, nil
}

func (f *fakeTokens) Spent(_ quota.Token, ago time.Duration) {
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
		exchange.Outcome, exchange.Attempts, exchange.DispatchedAgo = c.outcome, c.attempts, time.Second
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
