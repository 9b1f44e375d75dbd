package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// A load report is sent to a bounded number of live proxies, most of them in the
// sender's failure domain, and never to control instances, suspected instances or
// the sender.
func TestReportLoadsBoundedAndPrefersOwnFailureDomain(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	self := Record{ID: "self", Incarnation: 1, Address: "self", FailureDomain: "a", Proxy: true}
	state := New(Config{}, self, nil, rand.New(rand.NewPCG(1, 1)), now)
	add := func(id string, domain fleetconfig.FailureDomain, proxy bool, liveness Liveness) {
		record := Record{ID: fleetconfig.InstanceID(id), Incarnation: 1, Address: id, FailureDomain: domain, Proxy: proxy, Control: !proxy}
		state.mergeUpdate(Update{Record: record, Liveness: liveness}, now)
	}
	for i := range 30 {
		add(fmt.Sprintf("near-%d", i), "a", true, Alive)
		add(fmt.Sprintf("far-%d", i), "b", true, Alive)
		add(fmt.Sprintf("control-%d", i), "a", false, Alive)
		add(fmt.Sprintf("suspect-%d", i), "a", true, Suspect)
	}
	must.SliceEmpty(t, state.ReportLoads(nil))
	loads := make([]ServerLoad, 2*maxReportedServers)
	envelopes := state.ReportLoads(loads)
	counts := make(map[string]int)
	for _, envelope := range envelopes {
		counts[envelope.Address[:3]]++
		must.Len(t, maxReportedServers, envelope.Message.Loads)
		must.Eq(t, LoadReport, envelope.Message.Kind)
	}
	must.Eq(t, map[string]int{"nea": sameDomainReports, "far": otherDomainReports}, counts)
}
