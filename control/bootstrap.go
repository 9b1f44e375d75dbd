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

// bootstrapPath is the path of the calls that query a disk or start a new log.
const bootstrapPath = "/fleet/consensus/form"

// bootstrapInterval is how often the bootstrapping instance of a new fleet checks
// whether the other instances are up.
const bootstrapInterval = 200 * time.Millisecond

// bootstrapRequest queries the disk of an instance. If it carries a membership, an
// instance with a blank disk also starts the log with that membership.
type bootstrapRequest struct {
	Initial *consensus.Membership `cbor:"1,keyasint,omitempty"`
}

// bootstrapReply describes the disk of an instance.
type bootstrapReply struct {
	Disk consensus.DiskID `cbor:"1,keyasint"`
	// Blank is set if the disk holds no part of a log.
	Blank bool `cbor:"2,keyasint"`
}

// handleBootstrap handles a bootstrapRequest. A membership only takes effect if this
// instance's disk is blank and the membership admits that disk, so a late or duplicate
// request is harmless.
func (n *Node) handleBootstrap(ctx context.Context, _ fleetconfig.InstanceID, request *bootstrapRequest) (*bootstrapReply, error) {
	reply := &bootstrapReply{}
	err := n.runOnLoop(ctx, func(l *loop) {
		if request.Initial != nil {
			l.node.Bootstrap(clock.Now(), consensus.InitialSnapshot(*request.Initial))
		}
		reply.Disk = l.store.DiskID()
		reply.Blank = l.node.IsBlank()
	})
	return reply, err
}

// bootstrap starts the log of a new fleet. Only one instance does so: the one with
// Group.Bootstrap, or without a Group the one with the lowest ID. It waits until all
// instances are up with blank disks. An instance that lost its disk therefore starts
// no second log: it finds the other disks in use and waits to be admitted.
//
// It runs on its own goroutine while the node is served, until the log has committed
// an entry after its first one, or the context ends.
//
// Invariant: the initial membership is on this instance's disk before it is sent to
// any other instance, so no second log with other initial members can be started.
func (n *Node) bootstrap(ctx context.Context) {
	if !n.mayBootstrap() {
		return
	}
	for {
		status := n.Status()
		switch {
		case status.Applied > 1 || status.Committed > 1:
			return
		case len(status.Members) == 0:
			n.bootstrapIfAllBlank(ctx)
		default:
			n.sendInitialMembership(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(bootstrapInterval):
		}
	}
}

func (n *Node) mayBootstrap() bool {
	if n.config.Group != nil {
		return n.config.Group.Bootstrap
	}
	lowest := len(n.config.InitialPeers) > 0
	for _, peer := range n.config.InitialPeers {
		lowest = lowest && n.config.ID <= peer.ID
	}
	return lowest
}

func (n *Node) bootstrapIfAllBlank(ctx context.Context) {
	var members []consensus.Member
	for _, peer := range n.initialMembers() {
		reply, err := n.queryDisk(ctx, peer, nil)
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
	if _, err := n.handleBootstrap(ctx, n.config.ID, &bootstrapRequest{Initial: &membership}); err != nil {
		return
	}
	n.sendInitialMembership(ctx)
}

// initialMembers returns the instances that a new log starts with, or nil while too
// few are alive. With a Group these are this instance and the other alive instances
// with the lowest IDs.
func (n *Node) initialMembers() []Peer {
	group := n.config.Group
	if group == nil {
		return n.config.InitialPeers
	}
	initial := []Peer{{ID: n.config.ID, Address: n.config.Address}}
	alive := group.AlivePeers()
	slices.SortFunc(alive, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, peer := range alive {
		if peer.ID != n.config.ID && len(initial) < group.Voters {
			initial = append(initial, peer)
		}
	}
	if len(initial) < group.Voters {
		return nil
	}
	return initial
}

// sendInitialMembership sends the initial membership, which is the one at index 1 of
// this instance's log, to the other members. It is called until a later entry is
// committed.
func (n *Node) sendInitialMembership(ctx context.Context) {
	var initial consensus.Membership
	err := n.runOnLoop(ctx, func(l *loop) { initial = l.node.MembershipAt(1) })
	if err != nil || len(initial.Members) == 0 {
		return
	}
	for _, member := range initial.Members {
		if id := fleetconfig.InstanceID(member.ID); id != n.config.ID {
			_, _ = n.queryDisk(ctx, Peer{ID: id, Address: member.Address}, &initial)
		}
	}
}

// queryDisk requests the identity and state of the disk of an instance, which may be
// this one. If initial is set, it also sends that membership.
func (n *Node) queryDisk(ctx context.Context, peer Peer, initial *consensus.Membership) (*bootstrapReply, error) {
	ctx, cancel := context.WithTimeout(ctx, n.config.ElectionTimeout)
	defer cancel()
	request := &bootstrapRequest{Initial: initial}
	if peer.ID == n.config.ID {
		return n.handleBootstrap(ctx, peer.ID, request)
	}
	reply := &bootstrapReply{}
	err := n.config.Caller.Call(ctx, peer.Address, bootstrapPath, request, reply)
	return reply, err
}
