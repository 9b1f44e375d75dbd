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

// A request whose key is withdrawn, or whose dispatch deadline passes, while it waits for
// a slot must not reach the backend server. A configuration older than the one that the
// ingress used must not reject the key.
func TestRunFilterChecksKeyAndDispatchDeadlineBeforeDispatch(t *testing.T) {
	hash := fleetconfig.HashKey("key")
	withKey := fleetconfig.NewView(&fleetconfig.Document{Version: 5, Keys: []fleetconfig.Key{{Hash: hash, Account: "acme"}}})
	withoutKey := fleetconfig.NewView(&fleetconfig.Document{Version: 5})
	cases := []struct {
		view                 *fleetconfig.View
		configurationVersion uint64
		dispatchWithin       time.Duration
		refusal              pipeline.RefusalKind
	}{
		{withKey, 5, time.Minute, ""},
		{withoutKey, 5, time.Minute, pipeline.KindKeyRejected},
		{withoutKey, 6, time.Minute, ""},
		{withKey, 5, 0, pipeline.KindBusy},
	}
	for _, c := range cases {
		filter := &runFilter{pauseDetector: processpause.NewDetector(), keys: &keyChecker{view: func() *fleetconfig.View { return c.view }}}
		now := time.Now()
		exchange := &pipeline.Exchange{
			Request:              httptest.NewRequest(http.MethodGet, "/", nil),
			Account:              "acme",
			KeyID:                hash.ID(),
			Deadline:             now.Add(time.Minute),
			DispatchBy:           now.Add(c.dispatchWithin),
			ConfigurationVersion: c.configurationVersion,
		}
		err := filter.checkBeforeDispatch(exchange, now)
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
