package configsync

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// fanOut is the maximum number of children of an instance in the tree. With seven
// holders, 820 instances form four levels.
const fanOut = 8

// neighbours are the instances with which an instance exchanges the configuration.
type neighbours struct {
	// parents are the instances to poll, in order of preference.
	parents []fleetconfig.InstanceAddress
	// children are the instances to send offers to, at most fanOut.
	children []fleetconfig.InstanceAddress
	// level is 0 for the roots, 1 for the children of the roots, and so on.
	level int
}

// findNeighbours determines the place of an instance in the tree. The roots are the
// holders or, as long as there are none, the control instances. The other instances
// follow, ordered by failure domain, so that in a large fleet the children of one
// instance are mostly in the same failure domain. Instances that know different peers
// may compute different trees, which only makes the distribution slower.
func findNeighbours(self fleetconfig.InstanceAddress, isControl bool, holders []fleetconfig.InstanceAddress, peers []Peer) neighbours {
	var control []fleetconfig.InstanceAddress
	for _, peer := range peers {
		if peer.Control {
			control = append(control, peer.InstanceAddress)
		}
	}
	slices.SortFunc(control, byID)
	roots := holders
	if len(roots) == 0 {
		roots = control
		if isControl {
			roots = append(slices.Clone(control), self)
		}
	}
	order := slices.Clone(roots)
	order = append(order, nonRoots(self, roots, peers)...)
	position := slices.IndexFunc(order, func(a fleetconfig.InstanceAddress) bool { return a.ID == self.ID })
	found := neighbours{children: childrenOf(order, len(roots), position)}
	control = slices.DeleteFunc(control, func(a fleetconfig.InstanceAddress) bool { return a.ID == self.ID })
	found.level = levelOf(len(roots), position)
	if found.level == 0 {
		found.parents = control
		return found
	}
	parents := parentsOf(order, len(roots), position)
	// Control instances alternate with the neighbours of the parent, because during a
	// partition within the fleet those neighbours may have no more recent state than
	// the parent. Each instance starts with a different control instance.
	if len(control) > 0 {
		first := position % len(control)
		control = slices.Concat(control[first:], control[:first])
	}
	found.parents = append(parents[:1:1], interleave(control, parents[1:])...)
	return found
}

// levelOf returns the level of a position. If there are no roots, the first position is
// treated as a root.
func levelOf(roots, position int) int {
	level := 0
	for position >= max(1, roots) {
		position = (position - roots) / fanOut
		level++
	}
	return level
}

func byID(a, b fleetconfig.InstanceAddress) int { return cmp.Compare(a.ID, b.ID) }

// nonRoots returns the instances that are not roots, in the order of the tree.
func nonRoots(self fleetconfig.InstanceAddress, roots []fleetconfig.InstanceAddress, peers []Peer) []fleetconfig.InstanceAddress {
	isRoot := make(map[fleetconfig.InstanceID]bool, len(roots))
	for _, root := range roots {
		isRoot[root.ID] = true
	}
	var rest []fleetconfig.InstanceAddress
	for _, peer := range append([]Peer{{InstanceAddress: self}}, peers...) {
		if !isRoot[peer.ID] {
			rest = append(rest, peer.InstanceAddress)
		}
	}
	slices.SortFunc(rest, func(a, b fleetconfig.InstanceAddress) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), byID(a, b))
	})
	return rest
}

// childrenOf returns the children of a position. The roots and the other instances form
// one sequence; the children of position p start at position roots + fanOut*p.
func childrenOf(order []fleetconfig.InstanceAddress, roots, position int) []fleetconfig.InstanceAddress {
	if position < 0 {
		return nil
	}
	first := min(roots+fanOut*position, len(order))
	return order[first:min(first+fanOut, len(order))]
}

// startupCandidates returns the instances to poll while an instance starts and has no
// configuration, and therefore no tree: control instances and other instances
// alternately. After a restart of the whole fleet only control has the configuration; at
// other times the other instances have it too, even while control is unreachable. Among
// the other instances, those in the same failure domain come first. The control instances,
// the others in the same failure domain and the rest are each ordered by ID, beginning
// after the instance's own ID, so that instances that start together poll different ones.
func startupCandidates(self fleetconfig.InstanceAddress, peers []Peer, controlFirst bool) []fleetconfig.InstanceAddress {
	domainRank := func(peer Peer) int {
		if !peer.Control && peer.FailureDomain != self.FailureDomain {
			return 1
		}
		return 0
	}
	wrapRank := func(peer Peer) int {
		if peer.ID < self.ID {
			return 1
		}
		return 0
	}
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Peer) int {
		return cmp.Or(domainRank(a)-domainRank(b), wrapRank(a)-wrapRank(b), byID(a.InstanceAddress, b.InstanceAddress))
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

// parentsOf returns the parent of the instance at a position, followed by its possible
// replacements: the instances at up to two positions before and after the parent.
func parentsOf(order []fleetconfig.InstanceAddress, roots, position int) []fleetconfig.InstanceAddress {
	parent := (position - roots) / fanOut
	candidates := []fleetconfig.InstanceAddress{order[parent]}
	for distance := 1; distance <= 2; distance++ {
		if parent-distance >= 0 {
			candidates = append(candidates, order[parent-distance])
		}
		if parent+distance < min(position, max(roots, parent+fanOut)) {
			candidates = append(candidates, order[parent+distance])
		}
	}
	return candidates
}
