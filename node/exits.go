package node

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/serverexit"
	"github.com/hemlockring/hemlockring/settings"
)

// joinPatience is how long after its start an instance that has reached no other one counts
// those that it is to join. After that it is the only one of its fleet.
const joinPatience = 10 * time.Second

// keepExits makes the registry keep the exits of backend servers with other instances, and
// learn those that a former process of this instance has acknowledged.
func (n *Node) keepExits() {
	config := serverexit.Config{
		Self:   n.settings.Instance.ID,
		Peers:  n.exitPeers,
		Caller: n.endpoint,
		Logger: n.logger,
	}
	if n.settings.Instance.HasRole(settings.RoleProxy) {
		config.OnRecall = func(records []serverexit.Record) {
			if err := n.registry.RestoreExits(records, clock.Now()); err != nil {
				n.logger.Error("backend server that announced itself at the start not registered", "error", err)
			}
		}
	}
	n.exits = serverexit.New(config, n.fleetMux)
	n.registry.KeepExits(n.exits, config.OnRecall != nil)
}

// exitPeers returns the instances that may hold exits of backend servers beside this one.
func (n *Node) exitPeers() (peers []serverexit.Peer, known bool) {
	isOther := func(address string) bool { return address != n.settings.Fleet.Address }
	joinsOthers := slices.ContainsFunc(n.settings.Fleet.Join, isOther)
	if joinsOthers && !n.members.Joined() && clock.Since(n.startedAt) < joinPatience {
		return nil, false
	}
	members := n.members.Snapshot().Members
	for i := range members {
		member := &members[i]
		if member.Record.ID == n.settings.Instance.ID || member.Record.Left {
			continue
		}
		peers = append(peers, serverexit.Peer{
			ID: member.Record.ID, Address: member.Record.Address, Control: member.Record.Control,
			Unfit: member.Liveness == membership.Dead || member.Record.Draining,
		})
	}
	return peers, true
}
