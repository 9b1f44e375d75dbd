package configtree

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// startupPeers returns the other instances of a fleet that has just started.
func startupPeers(controls, others int) []Instance {
	var peers []Instance
	for i := range controls + others {
		peers = append(peers, Instance{Control: i < controls, InstanceAddress: fleetconfig.InstanceAddress{
			ID:            fleetconfig.InstanceID(fmt.Sprintf("i%03d", i)),
			FailureDomain: fleetconfig.FailureDomain(fmt.Sprintf("fd%d", i%4)),
		}})
	}
	return peers
}

// After a restart of the whole fleet only control has the configuration, and control
// itself needs a while to restore it. So an instance must poll control at least every
// second time, whatever the number of other instances, and each control instance in
// turn.
func TestStartupCandidatesAlternateWithControl(t *testing.T) {
	const controls, others = 5, 90
	self := fleetconfig.InstanceAddress{ID: "i050", FailureDomain: "fd2"}
	peers := startupPeers(controls, others)
	isControl := make(map[fleetconfig.InstanceID]bool)
	for _, peer := range peers {
		isControl[peer.ID] = peer.Control
	}
	for _, controlFirst := range []bool{true, false} {
		candidates := StartupCandidates(self, peers, controlFirst)
		polled := make(map[fleetconfig.InstanceID]int)
		for i, candidate := range candidates {
			must.Eq(t, (i%2 == 0) == controlFirst, isControl[candidate.ID])
			polled[candidate.ID]++
		}
		must.MapLen(t, len(peers), polled)
		for id, times := range polled {
			if isControl[id] {
				must.GreaterEq(t, others/controls, times)
			} else {
				must.Eq(t, 1, times)
			}
		}
	}
}

// Other instances in the same failure domain come first.
func TestStartupCandidatesPreferOwnFailureDomain(t *testing.T) {
	self := fleetconfig.InstanceAddress{ID: "i050", FailureDomain: "fd2"}
	candidates := StartupCandidates(self, startupPeers(0, 40), false)
	must.SliceLen(t, 40, candidates)
	for i, candidate := range candidates {
		must.Eq(t, i < 10, candidate.FailureDomain == "fd2")
	}
}

// In a fleet of control instances only, each is polled once. Without peers there are no
// candidates.
func TestStartupCandidatesControlOnly(t *testing.T) {
	must.SliceLen(t, 5, StartupCandidates(fleetconfig.InstanceAddress{ID: "i050"}, startupPeers(5, 0), true))
	must.SliceEmpty(t, StartupCandidates(fleetconfig.InstanceAddress{ID: "i050"}, nil, true))
}
