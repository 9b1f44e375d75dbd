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

// The ingress in the same process gives a request up a little before the proxy does,
// whose deadline counts from when it got the request. That is a timeout all the same,
// for the caller and for the judgement of the backend server; a caller that went away
// is none.
func TestATimeoutAtTheIngressIsATimeout(t *testing.T) {
	failure := errors.New("the request was given up")
	for _, test := range []struct {
		name     string
		ended    func(context.Context) (context.Context, context.CancelFunc)
		deadline time.Duration
		status   int
		result   health.Result
	}{
		{"the ingress gave it up", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 0)
		}, time.Minute, http.StatusGatewayTimeout, health.ResultTimedOut},
		{"its time is up here", context.WithCancel, 0, http.StatusGatewayTimeout, health.ResultTimedOut},
		{"the caller went away", func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			cancel()
			return ctx, cancel
		}, time.Minute, http.StatusBadGateway, health.ResultCanceled},
		{"the server broke the connection off", context.WithCancel, time.Minute, http.StatusBadGateway, health.ResultFailed},
	} {
		ctx, cancel := test.ended(t.Context())
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil)
		exchange := &pipeline.Exchange{Request: request, Deadline: clock.Now().Add(test.deadline)}
		var refusal *pipeline.Refusal
		must.True(t, errors.As(refuseFailed(exchange, pipeline.OutcomeUnknown, failure), &refusal))
		must.Eq(t, test.status, refusal.Status, must.Sprint(test.name))
		must.Eq(t, test.result, resultOfError(exchange, failure), must.Sprint(test.name))
		cancel()
	}
}
