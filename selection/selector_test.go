package selection

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
)

const testSlots = 8

// twoDomains returns a selector on instance near-0 of a fleet with backend servers in
// two failure domains, as many in each.
func twoDomains(each int) *Selector {
	var members []membership.Member
	for _, domain := range []string{"near", "far"} {
		for i := range each {
			id := fmt.Sprintf("%s-%d", domain, i)
			members = append(members, membership.Member{Record: membership.Record{
				ID: fleetconfig.InstanceID(id), Address: "192.0.2.1:7000", FailureDomain: fleetconfig.FailureDomain(domain), Proxy: true,
				Servers: []membership.Server{{ID: fleetconfig.BackendServerID(id), Service: "catalogue", Slots: testSlots}},
			}})
		}
	}
	snapshot := gossip.NewSnapshot("near-0", members)
	view := fleetconfig.NewView(fleetconfig.NewDocument())
	return New(Config{Members: func() *gossip.Snapshot { return snapshot }, View: func() *fleetconfig.View { return view }})
}

// share returns the part of requests that goes to a failure domain, each of which has
// ended before the next one.
func share(t *testing.T, selector *Selector, prefix string) float64 {
	t.Helper()
	const requests = 500
	there := 0
	for range requests {
		candidate, ok := selector.Pick(&pipeline.Exchange{Service: "catalogue"}, nil)
		must.True(t, ok)
		if string(candidate.Instance)[:len(prefix)] == prefix {
			there++
		}
		selector.Done(&ingress.Attempt{Candidate: candidate, Service: "catalogue"})
	}
	return float64(there) / requests
}

// report lets all backend servers of a failure domain say how they fare.
func report(selector *Selector, domain string, each int, load membership.ServerLoad) {
	for i := range each {
		id := fmt.Sprintf("%s-%d", domain, i)
		load.Server = fleetconfig.BackendServerID(id)
		selector.HandleLoadReports(fleetconfig.InstanceID(id), []membership.ServerLoad{load})
	}
}

// Requests stay in the failure domain of their ingress while its backend servers have
// room and are not in doubt.
func TestRequestsStayNearWhileThereIsRoom(t *testing.T) {
	const each = 4
	idle := membership.ServerLoad{WeightPercent: 100}
	selector := twoDomains(each)
	must.Greater(t, 0.95, share(t, selector, "near"))

	full := membership.ServerLoad{WeightPercent: 100, InFlight: 2 * testSlots}
	report(selector, "near", each, full)
	report(selector, "far", each, idle)
	must.Greater(t, 0.9, share(t, selector, "far"))

	report(selector, "near", each, idle)
	must.Greater(t, 0.95, share(t, selector, "near"))

	report(selector, "near", each, membership.ServerLoad{WeightPercent: 100, FailureProbabilityPercent: 99})
	must.Greater(t, 0.9, share(t, selector, "far"))
}

// A candidate that was tried is not picked again.
func TestTriedCandidatesAreNotPickedAgain(t *testing.T) {
	const each = 3
	selector := twoDomains(each)
	var tried []ingress.Candidate
	for range 2 * each {
		candidate, ok := selector.Pick(&pipeline.Exchange{Service: "catalogue"}, tried)
		must.True(t, ok)
		must.SliceNotContains(t, tried, candidate)
		tried = append(tried, candidate)
	}
	_, ok := selector.Pick(&pipeline.Exchange{Service: "catalogue"}, tried)
	must.False(t, ok)
}
