package configtree

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// StartupCandidates returns the instances to poll while an instance starts and has no
// configuration, and therefore no tree: control instances and other instances
// alternately. After a restart of the whole fleet only control has the configuration; at
// other times the other instances have it too, even while control is unreachable. Among
// the other instances, those in the same failure domain come first. The control instances,
// the others in the same failure domain and the rest are each ordered by ID, beginning
// after the instance's own ID, so that instances that start together poll different ones.
func StartupCandidates(self fleetconfig.InstanceAddress, peers []Instance, controlFirst bool) []fleetconfig.InstanceAddress {
	domainRank := func(peer Instance) int {
		if !peer.Control && peer.FailureDomain != self.FailureDomain {
			return 1
		}
		return 0
	}
	wrapRank := func(peer Instance) int {
		if peer.ID < self.ID {
			return 1
		}
		return 0
	}
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Instance) int {
		return cmp.Or(domainRank(a)-domainRank(b), wrapRank(a)-wrapRank(b), byID(a, b))
	})
	var control, others []fleetconfig.InstanceAddress
	for _, peer := range sorted {
		if peer.Control {
			control = append(control, peer.InstanceAddress)
		} else {
			others = append(others, peer.InstanceAddress)
		}
	}
	if controlFirst {
		return interleave(control, others)
	}
	return interleave(others, control)
}

// interleave returns elements of first and second alternately. The shorter list is
// repeated until the longer one ends.
func interleave(first, second []fleetconfig.InstanceAddress) []fleetconfig.InstanceAddress {
	if len(first) == 0 || len(second) == 0 {
		return append(first, second...)
	}
	var interleaved []fleetconfig.InstanceAddress
	for i := range max(len(first), len(second)) {
		interleaved = append(interleaved, first[i%len(first)], second[i%len(second)])
	}
	return interleaved
}
