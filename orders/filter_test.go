package orders

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// fakeForward is a forwarding filter that counts executions. It responds with
// the body of the request.
type fakeForward struct {
	executions int
	dispatchAt func() time.Time
	outcome    pipeline.Outcome
	truncated  bool
}

func (*fakeForward) Name() string { return "forward" }

func (f *fakeForward) Request(exchange *pipeline.Exchange) error {
	if err := CheckDispatch(exchange.Request, f.dispatchAt()); err != nil {
		return err
	}
	exchange.Attempts++
	exchange.Outcome = f.outcome
	if f.outcome == pipeline.OutcomeNotRun {
		return unavailable("refused", "again", 0)
	}
	f.executions++
	if f.outcome == pipeline.OutcomeUnknown {
		return &pipeline.Refusal{Kind: pipeline.KindOutcomeUnknown, Status: http.StatusBadGateway}
	}
	body, _ := io.ReadAll(exchange.Request.Body)
	exchange.Writer.Header().Set("Location", "/orders/1")
	exchange.Writer.WriteHeader(http.StatusCreated)
	_, _ = exchange.Writer.Write(body)
	exchange.Writer.Header().Set(http.TrailerPrefix+"Sum", "7")
	exchange.Truncated = f.truncated
	return nil
}

// TestFilterRunsOrderOnce sends requests through the filter and checks when an
// order runs, when a stored response is returned and when a request is refused.
func TestFilterRunsOrderOnce(t *testing.T) {
	fleet := newTestFleet(t, 3)
	forward := &fakeForward{dispatchAt: time.Now}
	send := func(key, body string) (*httptest.ResponseRecorder, pipeline.Refusal) {
		must.NoError(t, fleet.services[0].Drain(t.Context()))
		recorder := httptest.NewRecorder()
		exchange := &pipeline.Exchange{
			Request:  httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(body)),
			Writer:   recorder,
			Deadline: time.Now().Add(testParameters.ClaimTimeout * 2),
			Route:    &fleetconfig.Route{Service: "s"},
			Account:  "a",
			Outcome:  pipeline.OutcomeNotRun,
		}
		exchange.Request.Header.Set(pipeline.HeaderIdempotencyKey, key)
		chain := pipeline.NewChain(&Filter{Service: fleet.services[0], MaxBodyBytes: 1 << 10}, forward)
		var refusal *pipeline.Refusal
		err := chain.Serve(exchange)
		if err != nil && !errors.As(err, &refusal) {
			must.ErrorIs(t, err, pipeline.ErrAnswered)
		}
		if refusal == nil {
			return recorder, pipeline.Refusal{}
		}
		return recorder, *refusal
	}

	// The order has not run, so the same key can be used again.
	forward.outcome = pipeline.OutcomeNotRun
	_, refusal := send("k", "body")
	must.Eq(t, pipeline.KindIdempotencyUnavailable, refusal.Kind)
	must.Eq(t, pipeline.OutcomeNotRun, refusal.Outcome)
	// The instance is suspended between claim and dispatch, so that the claim
	// expires.
	forward.outcome = pipeline.OutcomeAnswered
	forward.dispatchAt = func() time.Time { return time.Now().Add(testParameters.ClaimTimeout) }
	_, refusal = send("k", "body")
	must.Eq(t, pipeline.KindIdempotencyUnavailable, refusal.Kind)
	must.Eq(t, 0, forward.executions)
	forward.dispatchAt = time.Now
	first, refusal := send("k", "body")
	must.Eq(t, pipeline.Refusal{}, refusal)
	duplicate, refusal := send("k", "body")
	must.Eq(t, pipeline.Refusal{}, refusal)
	must.Eq(t, 1, forward.executions)
	must.Eq(t, "true", duplicate.Header().Get(pipeline.HeaderReplayed))
	must.Eq(t, first.Code, duplicate.Code)
	must.Eq(t, first.Body.String(), duplicate.Body.String())
	must.Eq(t, "/orders/1", duplicate.Result().Header.Get("Location"))
	must.Eq(t, "7", duplicate.Result().Trailer.Get("Sum"))
	_, refusal = send("k", "other body")
	must.Eq(t, pipeline.KindIdempotencyKeyReused, refusal.Kind)

	forward.truncated = true
	_, _ = send("truncated", "body")
	_, refusal = send("truncated", "body")
	must.Eq(t, KindResponseNotStored, refusal.Kind)
	forward.truncated = false
	// The body is within the limit of the capture, but the encoded response is
	// larger than MaxResponseBytes.
	_, _ = send("large", strings.Repeat("x", 1020))
	_, refusal = send("large", strings.Repeat("x", 1020))
	must.Eq(t, KindResponseNotStored, refusal.Kind)
	forward.outcome = pipeline.OutcomeUnknown
	_, _ = send("unknown", "body")
	_, refusal = send("unknown", "body")
	must.Eq(t, pipeline.KindOrderOutcomeUnknown, refusal.Kind)
	must.Eq(t, 4, forward.executions)
	// The request body is larger than MaxBodyBytes.
	_, refusal = send("too-large", strings.Repeat("x", 2000))
	must.Eq(t, http.StatusRequestEntityTooLarge, refusal.Status)
	must.Eq(t, 4, forward.executions)
}
