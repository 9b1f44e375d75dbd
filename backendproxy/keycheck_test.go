package backendproxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/processpause"
	"github.com/hemlockring/hemlockring/pipeline"
)

// A key that is withdrawn, or that the ingress no longer vouches for, while its
// request waits for a slot does not reach the backend server. An older configuration
// than the ingress's withdraws nothing.
func TestAKeyIsCheckedAgainRightBeforeTheDispatch(t *testing.T) {
	hash := fleetconfig.HashKey("key")
	given := fleetconfig.NewView(&fleetconfig.Document{Version: 5, Keys: []fleetconfig.Key{{Hash: hash, Account: "acme"}}})
	withdrawn := fleetconfig.NewView(&fleetconfig.Document{Version: 5})
	cases := []struct {
		view       *fleetconfig.View
		judgedBy   uint64
		vouchedFor time.Duration
		refusal    pipeline.RefusalKind
	}{
		{given, 5, time.Minute, ""},
		{withdrawn, 5, time.Minute, pipeline.KindKeyRejected},
		{withdrawn, 6, time.Minute, ""},
		{given, 5, 0, pipeline.KindBusy},
	}
	for _, c := range cases {
		filter := &runFilter{freeze: processpause.NewDetector(), keys: &keyCheck{view: func() *fleetconfig.View { return c.view }}}
		now := time.Now()
		exchange := &pipeline.Exchange{
			Request:    httptest.NewRequest(http.MethodGet, "/", nil),
			Account:    "acme",
			KeyID:      hash.ID(),
			Deadline:   now.Add(time.Minute),
			DispatchBy: now.Add(c.vouchedFor),
			JudgedBy:   c.judgedBy,
		}
		err := filter.mayDispatch(exchange, now)
		if c.refusal == "" {
			must.NoError(t, err)
			continue
		}
		var refusal *pipeline.Refusal
		must.True(t, errors.As(err, &refusal))
		must.Eq(t, c.refusal, refusal.Kind)
		must.Eq(t, pipeline.OutcomeNotRun, refusal.Outcome)
	}
}
