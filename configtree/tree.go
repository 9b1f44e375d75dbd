package configtree

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// fanOut is the maximum number of children of an instance whose link is not known to
	// carry more than those of its children. With seven holders, 820 instances form four
	// levels.
	fanOut = 8
	// maxFanOut is the maximum number of children of any instance. Each costs a connection
	// and two polls per second.
	maxFanOut = 64
)

// Instance is an instance with what decides its place in the tree.
type Instance struct {
	fleetconfig.InstanceAddress
	// Control reports whether the instance has the role control.
	Control bool
	// LinkMbps is the capacity of the instance's link in Mbit/s, or 0 if it is not known.
	LinkMbps uint32
}

// Neighbours are the instances with which an instance exchanges the configuration.
type Neighbours struct {
	// Parents are the instances to poll, in order of preference.
	Parents []fleetconfig.InstanceAddress
	// Children are the instances to send offers to.
	Children []fleetconfig.InstanceAddress
	// Level is 0 for the roots, 1 for the children of the roots, and so on.
	Level int
}

// Find determines the place of an instance in the tree of a fleet with the given holders and
// peers, which are the other instances. Instances that know different peers may compute
// different trees, which only makes the distribution slower.
func Find(self Instance, holders []fleetconfig.InstanceAddress, peers []Instance) Neighbours {
	control := controlInstances(peers)
	if len(holders) > 0 || len(control) == 0 && !self.Control {
		return findInSequence(self, holders, control, peers)
	}
	return findInDomains(self, control, peers)
}

// controlInstances returns the control instances among the peers, ordered by ID.
func controlInstances(peers []Instance) []Instance {
	var control []Instance
	for _, peer := range peers {
		if peer.Control {
			control = append(control, peer)
		}
	}
	slices.SortFunc(control, byID)
	return control
}

func byID(a, b Instance) int { return cmp.Compare(a.ID, b.ID) }

// addresses returns the addresses of instances.
func addresses(instances []Instance) []fleetconfig.InstanceAddress {
	result := make([]fleetconfig.InstanceAddress, 0, len(instances))
	for i := range instances {
		result = append(result, instances[i].InstanceAddress)
	}
	return result
}

// childLimit returns the maximum number of children of an instance with a link, given the
// thinnest link of the instances that may be its children. A link of 0 is not known.
func childLimit(link, thinnest uint32) int {
	if thinnest == 0 {
		return fanOut
	}
	return int(min(max(link/thinnest, fanOut), maxFanOut))
}
