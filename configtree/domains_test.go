package configtree

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// fleet returns instances in a number of failure domains; the first ones are control instances.
func fleet(controls, others, domains int, controlMbps, otherMbps uint32) []Instance {
	var all []Instance
	for i := range controls + others {
		instance := Instance{Control: i < controls, LinkMbps: otherMbps, InstanceAddress: fleetconfig.InstanceAddress{
			ID: fleetconfig.InstanceID(fmt.Sprintf("i%03d", (i*7919)%(controls+others))), FailureDomain: fleetconfig.FailureDomain(fmt.Sprintf("fd%d", i%domains)),
		}}
		if instance.Control {
			instance.LinkMbps = controlMbps
		}
		all = append(all, instance)
	}
	return all
}

// findAll returns the neighbours of all instances, each of which knows all others.
func findAll(all []Instance) map[fleetconfig.InstanceID]Neighbours {
	found := make(map[fleetconfig.InstanceID]Neighbours)
	for i, self := range all {
		found[self.ID] = Find(self, nil, slices.Delete(slices.Clone(all), i, i+1))
	}
	return found
}

func drawFleet(t *rapid.T) []Instance {
	links := rapid.SampledFrom([]uint32{0, 1, 2, 7, 100, 1000})
	all := fleet(rapid.IntRange(1, 7).Draw(t, "controls"), rapid.IntRange(0, 150).Draw(t, "others"), rapid.IntRange(1, 5).Draw(t, "domains"),
		links.Draw(t, "control link"), links.Draw(t, "other link"))
	if rapid.Bool().Draw(t, "uneven") {
		for i := range all {
			all[i].LinkMbps = links.Draw(t, "link")
		}
	}
	return all
}

// Every instance is the child of its parent and of no other, one level below it, within its
// failure domain if that has a control instance. The number of children is limited.
func TestDomainTreesReachEveryInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawFleet(t)
		found := findAll(all)
		served, domains := make(map[fleetconfig.FailureDomain]bool), make(map[fleetconfig.FailureDomain]bool)
		for _, instance := range all {
			served[instance.FailureDomain] = served[instance.FailureDomain] || instance.Control
			domains[instance.FailureDomain] = true
		}
		offered := make(map[fleetconfig.InstanceID]int)
		for _, instance := range all {
			near := found[instance.ID]
			limit := fanOut
			if instance.Control {
				limit = maxFanOut + fanOut*(len(domains)-1)
			}
			must.LessEq(t, limit, len(near.Children))
			for _, child := range near.Children {
				offered[child.ID]++
				must.Eq(t, instance.ID, found[child.ID].Parents[0].ID)
				must.Eq(t, near.Level+1, found[child.ID].Level)
				if served[child.FailureDomain] {
					must.Eq(t, instance.FailureDomain, child.FailureDomain)
				}
			}
		}
		for _, instance := range all {
			if !instance.Control {
				must.Eq(t, 1, offered[instance.ID], must.Sprint(instance.ID))
			}
		}
	})
}

// Instances that know different peers have parents that form no cycle: the parent is a control
// instance or has a lower ID in the same failure domain. Every control instance that an instance
// knows is among the instances to poll, and it never polls itself.
func TestParentsFormNoCycleWithDifferentPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawFleet(t)
		for i, self := range all {
			seed := rapid.Uint64().Draw(t, "known")
			var peers []Instance
			for j, peer := range all {
				if j != i && (j == (i+1)%len(all) || seed>>(uint(j)%64)&1 == 1) {
					peers = append(peers, peer)
				}
			}
			control := controlInstances(peers)
			if len(control) == 0 {
				continue
			}
			near := Find(self, nil, peers)
			polled := make(map[fleetconfig.InstanceID]bool)
			for _, parent := range near.Parents {
				polled[parent.ID] = true
			}
			must.False(t, polled[self.ID])
			for _, instance := range control {
				must.True(t, polled[instance.ID])
			}
			parent := near.Parents[0]
			isControl := slices.ContainsFunc(control, func(c Instance) bool { return c.ID == parent.ID })
			must.True(t, isControl || parent.FailureDomain == self.FailureDomain && parent.ID < self.ID)
		}
	})
}

// While control is unreachable, an instance polls others in its failure domain and elsewhere.
func TestInstancesPollSiblings(t *testing.T) {
	for id, near := range findAll(fleet(5, 100, 3, 1000, 2)) {
		if near.Level == 0 {
			continue
		}
		domains := make(map[fleetconfig.FailureDomain]int)
		polled := make(map[fleetconfig.InstanceID]bool)
		for _, parent := range near.Parents {
			if !polled[parent.ID] {
				polled[parent.ID] = true
				domains[parent.FailureDomain]++
			}
		}
		must.MapLen(t, 5+siblingsNear+siblingsFar, polled, must.Sprint(id))
		must.MapLen(t, 3, domains)
	}
}

// timeToAll returns when the last instance has received a version of a size that the control
// instances have at the start. A parent sends to all children at the same time; the links
// carry nothing else, and the instances take no time.
func timeToAll(t *testing.T, all []Instance, found func(self Instance) Neighbours, bytes int) time.Duration {
	const bytesPerMbit = 125_000
	transfer := func(copies int, link uint32) time.Duration {
		return time.Duration(float64(copies*bytes) / (float64(link) * bytesPerMbit) * float64(time.Second))
	}
	byID := make(map[fleetconfig.InstanceID]Instance)
	for _, instance := range all {
		byID[instance.ID] = instance
	}
	var last time.Duration
	var received []fleetconfig.InstanceID
	var send func(parent Instance, at time.Duration)
	send = func(parent Instance, at time.Duration) {
		last = max(last, at)
		received = append(received, parent.ID)
		children := found(parent).Children
		for _, child := range children {
			send(byID[child.ID], at+max(transfer(len(children), parent.LinkMbps), transfer(1, byID[child.ID].LinkMbps)))
		}
	}
	for _, instance := range all {
		if instance.Control {
			send(instance, 0)
		}
	}
	slices.Sort(received)
	must.SliceLen(t, len(all), received)
	must.SliceLen(t, len(all), slices.Compact(received))
	return last
}

// The fan-out that follows from the links brings a version with 1,520 routes more to 100
// instances with links of 2 Mbit/s well within a second, packed or not. One tree of fan-out 8
// takes more than 3 s, and packed more than 1 s.
func TestTimeToAllOverThinLinks(t *testing.T) {
	const (
		encodedBytes = 104_904
		packedBytes  = 32_307
		within       = time.Second
	)
	all := fleet(5, 100, 3, 1000, 2)
	peersOf := func(self Instance) []Instance { return withoutID(all, self.ID) }
	sequence := func(self Instance) Neighbours {
		peers := peersOf(self)
		return findInSequence(self, addresses(controlInstances(all)), controlInstances(peers), peers)
	}
	domains := func(self Instance) Neighbours { return Find(self, nil, peersOf(self)) }
	times := map[string]time.Duration{
		"one tree":         timeToAll(t, all, sequence, encodedBytes),
		"one tree, packed": timeToAll(t, all, sequence, packedBytes),
		"domains":          timeToAll(t, all, domains, encodedBytes),
		"domains, packed":  timeToAll(t, all, domains, packedBytes),
	}
	t.Log(times)
	must.Greater(t, 3*within, times["one tree"])
	must.Greater(t, within, times["one tree, packed"])
	must.Less(t, within/2, times["domains"])
	must.Less(t, within/5, times["domains, packed"])
}
