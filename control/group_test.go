package control

import (
	"os"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// startInGroup starts an instance with automatic bootstrap and repair.
func (c *cluster) startInGroup(id fleetconfig.InstanceID, bootstrap bool) {
	c.group = &Group{Voters: 3, Bootstrap: bootstrap, AlivePeers: func() []Peer { return c.alivePeers() }}
	c.start(id, nil)
	c.group = nil
}

// alivePeers returns the running instances.
func (c *cluster) alivePeers() []Peer {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	var peers []Peer
	for address := range c.network.handlers {
		peers = append(peers, Peer{ID: fleetconfig.InstanceID(address), Address: address})
	}
	return peers
}

// waitForVoters waits until the members of the leader's log are exactly these voters,
// with their current disks.
func (c *cluster) waitForVoters(want ...fleetconfig.InstanceID) {
	c.t.Helper()
	c.waitUntil("the voters", func() bool {
		for _, node := range c.nodes {
			if !node.IsLeader() {
				continue
			}
			voters := 0
			for _, member := range node.Status().Members {
				running := c.nodes[member.ID]
				if member.Voter && running != nil && slices.Contains(want, member.ID) && member.AdmittedDisk == running.Status().Disk {
					voters++
				}
			}
			return voters == len(want) && len(node.Status().Members) == len(want)
		}
		return false
	})
}

// The group bootstraps once enough instances are up, whatever the order in which they
// start, and an instance without Group.Bootstrap never starts a log.
func TestGroupBootstrapsWhenEnoughInstancesAreUp(t *testing.T) {
	c := newCluster(t, 3)
	c.startInGroup("c2", false)
	c.startInGroup("c1", false)
	must.SliceEmpty(t, c.nodes["c1"].Status().Members)
	c.startInGroup("c0", true)
	c.waitForVoters("c0", "c1", "c2")
	c.propose("first")
	c.waitUntilAllApplied("first")
}

// Two members lose their disks, one after the other. Each is re-admitted
// automatically, and no committed command is lost.
func TestGroupReadmitsWipedDisks(t *testing.T) {
	c := newCluster(t, 3)
	for i, id := range []fleetconfig.InstanceID{"c0", "c1", "c2"} {
		c.startInGroup(id, i == 0)
	}
	c.waitForVoters("c0", "c1", "c2")
	c.propose("kept")
	for _, id := range []fleetconfig.InstanceID{"c0", "c1"} {
		c.kill(id)
		must.NoError(t, os.RemoveAll(c.dataFolder(id)))
		c.startInGroup(id, false)
		c.waitForVoters("c0", "c1", "c2")
	}
	c.kill("c2")
	c.propose("later")
	c.waitUntilAllApplied("kept", "later")
}

// An instance with a new ID replaces a member that does not come back.
func TestGroupReplacesLostMember(t *testing.T) {
	c := newCluster(t, 3)
	for i, id := range []fleetconfig.InstanceID{"c0", "c1", "c2"} {
		c.startInGroup(id, i == 0)
	}
	c.waitForVoters("c0", "c1", "c2")
	c.propose("kept")
	c.kill("c1")
	c.startInGroup("c9", false)
	c.waitForVoters("c0", "c2", "c9")
	c.propose("later")
	c.waitUntilAllApplied("kept", "later")
}
