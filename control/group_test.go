package control

import (
	"os"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// startGrouped starts an instance of a group that forms itself. The first one may
// found it.
func (c *cluster) startGrouped(id fleetconfig.InstanceID, founder bool) {
	c.group = &Group{Voters: 3, Bootstrap: founder, AlivePeers: func() []Peer { return c.known() }}
	c.start(id, nil)
	c.group = nil
}

// known returns the instances that run.
func (c *cluster) known() []Peer {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	var peers []Peer
	for address := range c.network.handlers {
		peers = append(peers, Peer{ID: fleetconfig.InstanceID(address), Address: address})
	}
	return peers
}

// votersAre waits until the leader's log has exactly these voters, with the disks
// that they have now.
func (c *cluster) votersAre(want ...fleetconfig.InstanceID) {
	c.t.Helper()
	c.until("the voters", func() bool {
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

// A group forms itself once enough instances are up, whoever comes first, and one
// that is not the founder never starts a log of its own.
func TestAGroupFormsItself(t *testing.T) {
	c := newCluster(t, 3)
	c.startGrouped("c2", false)
	c.startGrouped("c1", false)
	must.SliceEmpty(t, c.nodes["c1"].Status().Members)
	c.startGrouped("c0", true)
	c.votersAre("c0", "c1", "c2")
	c.propose("first")
	c.untilAllHave("first")
}

// Two wiped members, one after the other, are admitted again by the log itself, and
// what was accepted before outlives both.
func TestAGroupAdmitsWipedDisks(t *testing.T) {
	c := newCluster(t, 3)
	for i, id := range []fleetconfig.InstanceID{"c0", "c1", "c2"} {
		c.startGrouped(id, i == 0)
	}
	c.votersAre("c0", "c1", "c2")
	c.propose("kept")
	for _, id := range []fleetconfig.InstanceID{"c0", "c1"} {
		c.kill(id)
		must.NoError(t, os.RemoveAll(c.dataFolder(id)))
		c.startGrouped(id, false)
		c.votersAre("c0", "c1", "c2")
	}
	c.kill("c2")
	c.propose("later")
	c.untilAllHave("kept", "later")
}

// A successor under another name takes the place of a member that is gone for good.
func TestAGroupReplacesAMember(t *testing.T) {
	c := newCluster(t, 3)
	for i, id := range []fleetconfig.InstanceID{"c0", "c1", "c2"} {
		c.startGrouped(id, i == 0)
	}
	c.votersAre("c0", "c1", "c2")
	c.propose("kept")
	c.kill("c1")
	c.startGrouped("c9", false)
	c.votersAre("c0", "c2", "c9")
	c.propose("later")
	c.untilAllHave("kept", "later")
}
