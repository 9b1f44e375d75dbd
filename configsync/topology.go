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
	order = append(order, others(self, roots, peers)...)
	own := slices.IndexFunc(order, func(a fleetconfig.InstanceAddress) bool { return a.ID == self.ID })
	found := neighbours{children: childrenOf(order, len(roots), own)}
	if own >= len(roots) {
		found.parents = parentsOf(order, len(roots), own)
	}
	found.parents = append(found.parents, control...)
	found.parents = slices.DeleteFunc(found.parents, func(a fleetconfig.InstanceAddress) bool { return a.ID == self.ID })
	return found
}

func byID(a, b fleetconfig.InstanceAddress) int { return cmp.Compare(a.ID, b.ID) }

// others returns the instances that are no roots, in the order of the tree.
func others(self fleetconfig.InstanceAddress, roots []fleetconfig.InstanceAddress, peers []Peer) []fleetconfig.InstanceAddress {
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

// nearest returns whom an instance polls that starts and knows no tree yet: all
// others, those of its failure domain first, control last, or first if wanted. Within each it begins
// after its own ID, so that instances that start together ask different ones.
func nearest(self fleetconfig.InstanceAddress, peers []Peer, controlFirst bool) []fleetconfig.InstanceAddress {
	distance := func(peer Peer) int {
		switch {
		case peer.Control && controlFirst:
			return -1
		case peer.Control:
			return 2
		case peer.FailureDomain != self.FailureDomain:
			return 1
		}
		return 0
	}
	wrapped := func(peer Peer) int {
		if peer.ID < self.ID {
			return 1
		}
		return 0
	}
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Peer) int {
		return cmp.Or(distance(a)-distance(b), wrapped(a)-wrapped(b), byID(a.InstanceAddress, b.InstanceAddress))
	})
	addresses := make([]fleetconfig.InstanceAddress, len(sorted))
	for i, peer := range sorted {
		addresses[i] = peer.InstanceAddress
	}
	return addresses
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
