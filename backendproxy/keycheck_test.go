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

// A request whose key is withdrawn, whose dispatch deadline passes, or whose failure domain is
// evacuated, while it waits for a slot must not reach the backend server. A configuration older
// than the one that the ingress used must neither reject the key nor evacuate the domain.
func TestRunFilterChecksKeyAndDispatchDeadlineBeforeDispatch(t *testing.T) {
	hash := fleetconfig.HashKey("key")
	withKey := fleetconfig.NewView(&fleetconfig.Document{Version: 5, Keys: []fleetconfig.Key{{Hash: hash, Account: "acme"}}})
	withoutKey := fleetconfig.NewView(&fleetconfig.Document{Version: 5})
	evacuated := func(domain fleetconfig.FailureDomain) *fleetconfig.View {
		document := *withKey.Document()
		document.EvacuatedDomains = []fleetconfig.FailureDomain{domain}
		return fleetconfig.NewView(&document)
	}
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
		{evacuated("fd1"), 5, time.Minute, pipeline.KindEvacuated},
		{evacuated("fd1"), 4, time.Minute, pipeline.KindEvacuated},
		{evacuated("fd1"), 6, time.Minute, ""},
		{evacuated("fd2"), 5, time.Minute, ""},
	}
	for _, c := range cases {
		view := func() *fleetconfig.View { return c.view }
		filter := &runFilter{pauseDetector: processpause.NewDetector(), keys: &keyChecker{view: view}, evacuation: &evacuationFilter{view: view, domain: "fd1"}}
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
