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

// fakeForward is the forwarding filter with an execution counter. It runs before
// it answers with the body that it was sent.
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

// TestFilterRunsAnOrderOnce walks requests through the filter.
func TestFilterRunsAnOrderOnce(t *testing.T) {
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

	// Proved not run: the same key may try again.
	forward.outcome = pipeline.OutcomeNotRun
	_, refusal := send("k", "body")
	must.Eq(t, pipeline.KindIdempotencyUnavailable, refusal.Kind)
	must.Eq(t, pipeline.OutcomeNotRun, refusal.Outcome)
	// Frozen between claim and dispatch: the claim time has run out.
	forward.outcome = pipeline.OutcomeAnswered
	forward.dispatchAt = func() time.Time { return time.Now().Add(testParameters.ClaimTimeout) }
	_, refusal = send("k", "body")
	must.Eq(t, pipeline.KindIdempotencyUnavailable, refusal.Kind)
	must.Eq(t, 0, forward.executions)
	forward.dispatchAt = time.Now
	first, refusal := send("k", "body")
	must.Eq(t, pipeline.Refusal{}, refusal)
	repeat, refusal := send("k", "body")
	must.Eq(t, pipeline.Refusal{}, refusal)
	must.Eq(t, 1, forward.executions)
	must.Eq(t, "true", repeat.Header().Get(pipeline.HeaderReplayed))
	must.Eq(t, first.Code, repeat.Code)
	must.Eq(t, first.Body.String(), repeat.Body.String())
	must.Eq(t, "/orders/1", repeat.Result().Header.Get("Location"))
	must.Eq(t, "7", repeat.Result().Trailer.Get("Sum"))
	_, refusal = send("k", "other body")
	must.Eq(t, pipeline.KindIdempotencyKeyReused, refusal.Kind)

	forward.truncated = true
	_, _ = send("truncated", "body")
	_, refusal = send("truncated", "body")
	must.Eq(t, KindResponseNotStored, refusal.Kind)
	forward.truncated = false
	_, _ = send("large", strings.Repeat("x", 1020))
	_, refusal = send("large", strings.Repeat("x", 1020))
	must.Eq(t, KindResponseNotStored, refusal.Kind)
	forward.outcome = pipeline.OutcomeUnknown
	_, _ = send("unknown", "body")
	_, refusal = send("unknown", "body")
	must.Eq(t, pipeline.KindOrderOutcomeUnknown, refusal.Kind)
	must.Eq(t, 4, forward.executions)
	_, refusal = send("too-large", strings.Repeat("x", 2000))
	must.Eq(t, http.StatusRequestEntityTooLarge, refusal.Status)
	must.Eq(t, 4, forward.executions)
}
