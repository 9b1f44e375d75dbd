package backendproxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/pipeline"
)

// The backend proxy counts the remaining time of a request from when it received the
// request, so the deadline of an ingress in the same process is slightly earlier than that
// of the backend proxy. When the deadline of the ingress ends the context, the caller and
// the health monitor must see a timeout. A request canceled by its caller is not a timeout.
func TestFailedDispatchDistinguishesTimeoutFromCancel(t *testing.T) {
	failure := errors.New("the dispatch failed")
	for _, test := range []struct {
		name string
		// newContext makes the context of the request.
		newContext func(context.Context) (context.Context, context.CancelFunc)
		deadline   time.Duration
		status     int
		result     health.Result
	}{
		{"deadline of the ingress passed", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 0)
		}, time.Minute, http.StatusGatewayTimeout, health.ResultTimedOut},
		{"deadline of the proxy passed", context.WithCancel, 0, http.StatusGatewayTimeout, health.ResultTimedOut},
		{"caller canceled the request", func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			cancel()
			return ctx, cancel
		}, time.Minute, http.StatusBadGateway, health.ResultCanceled},
		{"server closed the connection", context.WithCancel, time.Minute, http.StatusBadGateway, health.ResultFailed},
	} {
		ctx, cancel := test.newContext(t.Context())
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
		exchange := &pipeline.Exchange{Request: request, Deadline: clock.Now().Add(test.deadline)}
		var refusal *pipeline.Refusal
		must.True(t, errors.As(refuseFailedDispatch(exchange, pipeline.OutcomeUnknown, failure), &refusal))
		must.Eq(t, test.status, refusal.Status, must.Sprint(test.name))
		must.Eq(t, test.result, resultOfError(exchange, failure), must.Sprint(test.name))
		cancel()
	}
}
