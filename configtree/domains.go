package configtree

import (
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// siblingsNear and siblingsFar are the numbers of instances in the same failure domain
	// and in others that an instance may poll while its parent and control are unreachable.
	siblingsNear = 4
	siblingsFar  = 2
)

// domainTree is the tree of one failure domain.
type domainTree struct {
	// heads are the control instances that serve the failure domain, and blocks the number of
	// children of each.
	heads  []Instance
	blocks []int
	// members are the other instances of the failure domain, ordered by ID. The first ones
	// are the children of the heads; the children of member p follow from position
	// direct + fanOut*p on.
	members []Instance
	direct  int
}

// findInDomains determines the place of an instance in a fleet whose roots are the control
// instances. control has the other ones.
func findInDomains(self Instance, control, peers []Instance) Neighbours {
	all := append(slices.Clone(peers), self)
	if self.Control {
		return Neighbours{Parents: addresses(control), Children: childrenOfRoot(self.ID, controlInstances(all), all)}
	}
	tree := newDomainTree(self.FailureDomain, control, all)
	position := slices.IndexFunc(tree.members, func(m Instance) bool { return m.ID == self.ID })
	found := Neighbours{Level: tree.level(position), Children: addresses(tree.children(position))}
	parent := tree.parent(position)
	others := rotate(withoutID(control, parent.ID), position)
	near := rotate(withoutID(withoutID(tree.members, self.ID), parent.ID), position)
	siblings := slices.Concat(near[:min(siblingsNear, len(near))], membersElsewhere(&self, all, position))
	found.Parents = append([]fleetconfig.InstanceAddress{parent.InstanceAddress}, interleave(addresses(others), addresses(siblings))...)
	return found
}

// childrenOfRoot returns the children of a control instance in all failure domains.
func childrenOfRoot(id fleetconfig.InstanceID, roots, all []Instance) []fleetconfig.InstanceAddress {
	var domains []fleetconfig.FailureDomain
	for i := range all {
		if !all[i].Control {
			domains = append(domains, all[i].FailureDomain)
		}
	}
	slices.Sort(domains)
	var children []fleetconfig.InstanceAddress
	for _, domain := range slices.Compact(domains) {
		tree := newDomainTree(domain, roots, all)
		children = append(children, addresses(tree.childrenOfHead(id))...)
	}
	return children
}

// newDomainTree returns the tree of a failure domain. Each head gets an equal part of the
// members, as far as its link permits. A control instance of another failure domain gets no
// more than fanOut, since it has children in its own.
func newDomainTree(domain fleetconfig.FailureDomain, roots, all []Instance) *domainTree {
	tree := &domainTree{}
	for i := range all {
		if !all[i].Control && all[i].FailureDomain == domain {
			tree.members = append(tree.members, all[i])
		}
	}
	slices.SortFunc(tree.members, byID)
	for i := range roots {
		if roots[i].FailureDomain == domain {
			tree.heads = append(tree.heads, roots[i])
		}
	}
	isRemote := len(tree.heads) == 0
	if isRemote {
		tree.heads = roots
	}
	thinnest := thinnestLink(tree.members)
	for i := range tree.heads {
		limit := childLimit(tree.heads[i].LinkMbps, thinnest)
		if isRemote {
			limit = fanOut
		}
		headsLeft := len(tree.heads) - i
		block := min(limit, (len(tree.members)-tree.direct+headsLeft-1)/headsLeft)
		tree.blocks = append(tree.blocks, block)
		tree.direct += block
	}
	return tree
}

// thinnestLink returns the smallest capacity of the links, or 0 if that of one is not known.
func thinnestLink(instances []Instance) uint32 {
	var thinnest uint32
	for i := range instances {
		if i == 0 || instances[i].LinkMbps < thinnest {
			thinnest = instances[i].LinkMbps
		}
	}
	return thinnest
}

// childrenOfHead returns the members that a control instance serves.
func (t *domainTree) childrenOfHead(id fleetconfig.InstanceID) []Instance {
	first := 0
	for i := range t.heads {
		if t.heads[i].ID == id {
			return t.members[first : first+t.blocks[i]]
		}
		first += t.blocks[i]
	}
	return nil
}

// children returns the children of a member.
func (t *domainTree) children(position int) []Instance {
	first := min(t.direct+fanOut*position, len(t.members))
	return t.members[first:min(first+fanOut, len(t.members))]
}

// parent returns the parent of a member.
func (t *domainTree) parent(position int) Instance {
	if position >= t.direct {
		return t.members[(position-t.direct)/fanOut]
	}
	head := 0
	for position >= t.blocks[head] {
		position -= t.blocks[head]
		head++
	}
	return t.heads[head]
}

// level returns the level of a member.
func (t *domainTree) level(position int) int {
	level := 1
	for position >= t.direct {
		position = (position - t.direct) / fanOut
		level++
	}
	return level
}

// membersElsewhere returns a few instances of other failure domains that are not control
// instances. Instances at different positions get different ones.
func membersElsewhere(self *Instance, all []Instance, position int) []Instance {
	var elsewhere []Instance
	for i := range all {
		if !all[i].Control && all[i].FailureDomain != self.FailureDomain {
			elsewhere = append(elsewhere, all[i])
		}
	}
	slices.SortFunc(elsewhere, byID)
	elsewhere = rotate(elsewhere, position)
	return elsewhere[:min(siblingsFar, len(elsewhere))]
}

func withoutID(instances []Instance, id fleetconfig.InstanceID) []Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return i.ID == id })
}

// rotate returns the instances beginning at a position, modulo their number.
func rotate(instances []Instance, position int) []Instance {
	if len(instances) == 0 {
		return nil
	}
	first := position % len(instances)
	return slices.Concat(instances[first:], instances[:first])
}
