package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/consensus"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// formPath is the path of calls that ask for a disk or form a new log.
const formPath = "/fleet/consensus/form"

// formInterval is how often the first instance of a new fleet looks for the rest.
const formInterval = 200 * time.Millisecond

// formRequest asks an instance for its disk. With a membership it also tells a
// blank one to start the log with it.
type formRequest struct {
	Initial *consensus.Membership `cbor:"1,keyasint,omitempty"`
}

// formReply describes an instance's disk.
type formReply struct {
	Disk consensus.DiskID `cbor:"1,keyasint"`
	// Blank tells whether the disk holds no part of a log.
	Blank bool `cbor:"2,keyasint"`
}

// handleForm answers a formRequest. A membership only takes effect on a blank
// disk that it admits, so that it may come late or twice.
func (n *Node) handleForm(ctx context.Context, _ fleetconfig.InstanceID, request *formRequest) (*formReply, error) {
	reply := &formReply{}
	err := n.do(ctx, func(l *loop) {
		if request.Initial != nil {
			l.node.Bootstrap(clock.Now(), consensus.InitialSnapshot(*request.Initial))
		}
		reply.Disk = l.store.DiskID()
		reply.Blank = l.node.IsBlank()
	})
	return reply, err
}

// form starts the log of a new fleet. Only one instance does so: the founder of a
// group that forms itself, or else the one with the lowest id. It waits until all
// instances are up and blank: an instance that lost its disk finds the others in
// use and waits to be admitted.
//
// Invariant: the membership is on this instance's disk before another one hears
// of it, so that there is never a second one with the same instances.
func (n *Node) form(ctx context.Context) {
	if !n.mayForm() {
		return
	}
	for {
		status := n.Status()
		switch {
		case status.Applied > 1 || status.Committed > 1:
			return
		case len(status.Members) == 0:
			n.formIfAllBlank(ctx)
		default:
			n.spreadInitial(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(formInterval):
		}
	}
}

func (n *Node) mayForm() bool {
	if n.config.Group != nil {
		return n.config.Group.Bootstrap
	}
	lowest := len(n.config.InitialPeers) > 0
	for _, peer := range n.config.InitialPeers {
		lowest = lowest && n.config.ID <= peer.ID
	}
	return lowest
}

func (n *Node) formIfAllBlank(ctx context.Context) {
	var members []consensus.Member
	for _, peer := range n.founders() {
		reply, err := n.askDisk(ctx, peer, nil)
		if err != nil || !reply.Blank {
			return
		}
		members = append(members, consensus.Member{
			ID:      consensus.MemberID(peer.ID),
			Address: peer.Address,
			Disk:    reply.Disk,
			Voter:   true,
		})
	}
	if len(members) == 0 {
		return
	}
	membership := consensus.NewMembership(members...)
	if _, err := n.handleForm(ctx, n.config.ID, &formRequest{Initial: &membership}); err != nil {
		return
	}
	n.spreadInitial(ctx)
}

// founders returns the instances that start a new log, or none while there are too
// few. Those of a group that forms itself are this one and the lowest others.
func (n *Node) founders() []Peer {
	group := n.config.Group
	if group == nil {
		return n.config.InitialPeers
	}
	founders := []Peer{{ID: n.config.ID, Address: n.config.Address}}
	others := group.AlivePeers()
	slices.SortFunc(others, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, peer := range others {
		if peer.ID != n.config.ID && len(founders) < group.Voters {
			founders = append(founders, peer)
		}
	}
	if len(founders) < group.Voters {
		return nil
	}
	return founders
}

// spreadInitial tells the other instances the initial membership. It is that of
// this instance as long as nothing was committed.
func (n *Node) spreadInitial(ctx context.Context) {
	var initial consensus.Membership
	err := n.do(ctx, func(l *loop) { initial = l.node.MembershipAt(1) })
	if err != nil || len(initial.Members) == 0 {
		return
	}
	for _, member := range initial.Members {
		if id := fleetconfig.InstanceID(member.ID); id != n.config.ID {
			_, _ = n.askDisk(ctx, Peer{ID: id, Address: member.Address}, &initial)
		}
	}
}

// askDisk asks an instance, which may be this one, for its disk.
func (n *Node) askDisk(ctx context.Context, peer Peer, initial *consensus.Membership) (*formReply, error) {
	ctx, cancel := context.WithTimeout(ctx, n.config.ElectionTimeout)
	defer cancel()
	request := &formRequest{Initial: initial}
	if peer.ID == n.config.ID {
		return n.handleForm(ctx, peer.ID, request)
	}
	reply := &formReply{}
	err := n.config.Caller.Call(ctx, peer.Address, formPath, request, reply)
	return reply, err
}
