package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/consensus"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// AddMember makes an instance a voter with the disk that it has now. It is also
// how a member is admitted again whose disk is blank or was swapped: the member
// first only receives the log with its new disk, then becomes a voter. Both steps
// may be repeated; of an instance that is a voter already, only the address is
// brought up to date. It waits until the member has the whole log or the context
// ends.
//
// It fails with [NotLeaderError] on an instance that does not lead.
func (n *Node) AddMember(ctx context.Context, id fleetconfig.InstanceID, address string) error {
	if !n.IsLeader() {
		return n.notLeader()
	}
	reply, err := n.askDisk(ctx, Peer{ID: id, Address: address}, nil)
	if err != nil {
		return errors.Wrapf(err, "ask %s for its disk; check that it runs at %s", id, address)
	}
	member := consensus.Member{ID: consensus.MemberID(id), Address: address, Disk: reply.Disk}
	err = n.changeMembers(ctx, func(current consensus.Membership) consensus.Membership {
		receiver := member
		receiver.Voter = current.IsVoter(member.ID, member.Disk)
		return current.With(receiver)
	})
	if err != nil {
		return err
	}
	member.Voter = true
	return n.changeMembers(ctx, func(current consensus.Membership) consensus.Membership {
		if !current.Admits(member.ID, member.Disk) || current.IsVoter(member.ID, member.Disk) {
			return current
		}
		return current.With(member)
	})
}

// AdmitDisk lets a member vote again whose disk is blank or was swapped. See
// [Node.AddMember].
func (n *Node) AdmitDisk(ctx context.Context, id fleetconfig.InstanceID) error {
	for _, member := range n.Status().Members {
		if member.ID == id {
			return n.AddMember(ctx, id, member.Address)
		}
	}
	return errors.Newf("%s is not a control instance; add it as a new member", id)
}

// RemoveMember removes an instance from the log. It fails with [NotLeaderError] on
// an instance that does not lead.
func (n *Node) RemoveMember(ctx context.Context, id fleetconfig.InstanceID) error {
	return n.changeMembers(ctx, func(current consensus.Membership) consensus.Membership {
		return current.Without(consensus.MemberID(id))
	})
}

// changeMembers makes one change of members and waits until it is committed. It
// tries again while an earlier change is under way or a member catches up.
func (n *Node) changeMembers(ctx context.Context, change func(consensus.Membership) consensus.Membership) error {
	for {
		done := make(chan outcome, 1)
		var refused error
		if err := n.do(ctx, func(l *loop) { refused = l.proposeMembers(change, done) }); err != nil {
			return err
		}
		switch {
		case refused == nil:
			_, err := awaitOutcome(ctx, done)
			return err
		case errors.Is(refused, consensus.ErrNotLeader):
			return n.notLeader()
		case !errors.Is(refused, consensus.ErrMembershipChangePending) && !errors.Is(refused, consensus.ErrNotCaughtUp):
			return refused
		}
		select {
		case <-ctx.Done():
			return &BusyError{Reason: refused.Error()}
		case <-time.After(n.config.HeartbeatInterval):
		}
	}
}

func (l *loop) proposeMembers(change func(consensus.Membership) consensus.Membership, done chan outcome) error {
	current := l.node.Membership()
	next := change(current)
	if l.node.Role() != consensus.Leader {
		return consensus.ErrNotLeader
	}
	if !l.node.MembershipCommitted() {
		return consensus.ErrMembershipChangePending
	}
	if equalMembers(current, next) {
		done <- outcome{}
		return nil
	}
	index, term, err := l.node.ProposeMembership(clock.Now(), next)
	if err != nil {
		return err
	}
	l.waiters[index] = waiter{term: term, done: done}
	return nil
}

func equalMembers(a, b consensus.Membership) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i] != b.Members[i] {
			return false
		}
	}
	return true
}
