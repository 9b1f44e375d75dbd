package configsync

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// fanOut is how many children an instance has in the tree. With seven holders,
// 820 instances are four levels.
const fanOut = 8

// neighbours are the instances that one instance has to do with.
type neighbours struct {
	// parents are whom to poll, the best first.
	parents []fleetconfig.InstanceAddress
	// children are whom to offer news, at most fanOut.
	children []fleetconfig.InstanceAddress
	// level is 0 for the roots and control, 1 for the children of the roots, and so on.
	level int
}

// findNeighbours places an instance in the tree. The holders are the roots, or
// the control instances while there are no holders; the others follow, ordered by
// failure domain so that most links stay in one. Instances that know of different
// peers may disagree on the tree, which costs speed only.
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
	// Control is asked by turns with the neighbours of the parent: after a cut within
	// the fleet those may know no more than the parent. Each instance begins with
	// another control instance.
	if len(control) > 0 {
		first := position % len(control)
		control = slices.Concat(control[first:], control[:first])
	}
	found.parents = append(parents[:1:1], interleave(control, parents[1:])...)
	return found
}

// levelOf returns the level of a position. Without roots the first position is one.
func levelOf(roots, position int) int {
	level := 0
	for position >= max(1, roots) {
		position = (position - roots) / fanOut
		level++
	}
	return level
}

func byID(a, b fleetconfig.InstanceAddress) int { return cmp.Compare(a.ID, b.ID) }

// nonRoots returns the instances that are no roots, in the order of the tree.
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

// childrenOf returns the children of a position. Position p of the roots and of
// all that follow has the positions roots + fanOut*p and the next ones.
func childrenOf(order []fleetconfig.InstanceAddress, roots, position int) []fleetconfig.InstanceAddress {
	if position < 0 {
		return nil
	}
	first := min(roots+fanOut*position, len(order))
	return order[first:min(first+fanOut, len(order))]
}

// startupCandidates returns whom an instance polls that starts and knows no tree yet: control
// and its neighbours by turns, since after a restart of the whole fleet only control
// knows anything, and neighbours help while control is out of reach. Neighbours of its
// failure domain come first. Within each it begins after its own ID, so that instances
// that start together ask different ones.
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
	var control, neighbours []fleetconfig.InstanceAddress
	for _, peer := range sorted {
		if peer.Control {
			control = append(control, peer.InstanceAddress)
		} else {
			neighbours = append(neighbours, peer.InstanceAddress)
		}
	}
	if controlFirst {
		return interleave(control, neighbours)
	}
	return interleave(neighbours, control)
}

// interleave returns an element of first and one of second by turns. The shorter one
// begins anew until the longer one is through.
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

// parentsOf returns the parent of a position, and then the two instances before
// and after it on its level, as replacements.
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
