package configtree

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// findInSequence determines the place of an instance in one tree. The roots are followed by
// the other instances, ordered by failure domain, so that in a large fleet the children of one
// instance are mostly in the same failure domain. others has the control instances among the
// peers.
func findInSequence(self Instance, roots []fleetconfig.InstanceAddress, others, peers []Instance) Neighbours {
	control := addresses(others)
	order := append(slices.Clone(roots), nonRoots(self.InstanceAddress, roots, peers)...)
	position := slices.IndexFunc(order, func(a fleetconfig.InstanceAddress) bool { return a.ID == self.ID })
	found := Neighbours{Children: childrenOf(order, len(roots), position)}
	control = slices.DeleteFunc(control, func(a fleetconfig.InstanceAddress) bool { return a.ID == self.ID })
	found.Level = levelOf(len(roots), position)
	if found.Level == 0 {
		found.Parents = control
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
	found.Parents = append(parents[:1:1], interleave(control, parents[1:])...)
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

// nonRoots returns the instances that are not roots, in the order of the tree.
func nonRoots(self fleetconfig.InstanceAddress, roots []fleetconfig.InstanceAddress, peers []Instance) []fleetconfig.InstanceAddress {
	isRoot := make(map[fleetconfig.InstanceID]bool, len(roots))
	for _, root := range roots {
		isRoot[root.ID] = true
	}
	var rest []fleetconfig.InstanceAddress
	for _, peer := range append([]Instance{{InstanceAddress: self}}, peers...) {
		if !isRoot[peer.ID] {
			rest = append(rest, peer.InstanceAddress)
		}
	}
	slices.SortFunc(rest, func(a, b fleetconfig.InstanceAddress) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.ID, b.ID))
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
