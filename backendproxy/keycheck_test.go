package backendproxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/freeze"
	"github.com/hemlockring/hemlockring/pipeline"
)

// A key that is withdrawn, or that nobody vouches for any more, while its request
// waits for a slot does not reach the backend server.
func TestAKeyIsCheckedAgainRightBeforeTheDispatch(t *testing.T) {
	hash := fleetconfig.HashKey("key")
	given := fleetconfig.NewView(&fleetconfig.Document{Keys: []fleetconfig.Key{{Hash: hash, Account: "acme"}}})
	withdrawn := fleetconfig.NewView(&fleetconfig.Document{})
	cases := []struct {
		view    *fleetconfig.View
		current bool
		refusal pipeline.RefusalKind
	}{
		{given, true, ""},
		{withdrawn, true, pipeline.KindKeyRejected},
		{given, false, pipeline.KindNotCurrent},
	}
	for _, c := range cases {
		filter := &runFilter{freeze: freeze.NewDetector(), keys: &keyCheck{
			view:    func() *fleetconfig.View { return c.view },
			current: func(time.Time) (bool, time.Duration) { return c.current, time.Second },
		}}
		now := time.Now()
		exchange := &pipeline.Exchange{
			Request:    httptest.NewRequest(http.MethodGet, "/", nil),
			Account:    "acme",
			KeyID:      hash.ID(),
			Deadline:   now.Add(time.Minute),
			DispatchBy: now.Add(time.Minute),
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
