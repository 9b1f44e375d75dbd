package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/consensus"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// AddMember makes an instance a voter with its current disk. It also re-admits a
// member whose disk is blank or was swapped. The instance is first added as a learner
// and becomes a voter once it has caught up. Both steps are idempotent; for an
// instance that is already a voter with this disk, only the address is updated.
// AddMember returns when the instance is a voter, or with an error when the context
// ends.
//
// It fails with [NotLeaderError] on an instance that does not lead.
func (n *Node) AddMember(ctx context.Context, id fleetconfig.InstanceID, address string) error {
	if !n.IsLeader() {
		return n.notLeaderError()
	}
	reply, err := n.queryDisk(ctx, Peer{ID: id, Address: address}, nil)
	if err != nil {
		return errors.Wrapf(err, "request the disk identity of %s; check that it runs at %s", id, address)
	}
	member := consensus.Member{ID: consensus.MemberID(id), Address: address, Disk: reply.Disk}
	err = n.changeMembership(ctx, func(current consensus.Membership) consensus.Membership {
		learner := member
		learner.Voter = current.IsVoter(member.ID, member.Disk)
		return current.With(learner)
	})
	if err != nil {
		return err
	}
	member.Voter = true
	return n.changeMembership(ctx, func(current consensus.Membership) consensus.Membership {
		if !current.Admits(member.ID, member.Disk) || current.IsVoter(member.ID, member.Disk) {
			return current
		}
		return current.With(member)
	})
}

// AdmitDisk makes a member whose disk is blank or was swapped a voter again, with its
// current disk. See [Node.AddMember].
func (n *Node) AdmitDisk(ctx context.Context, id fleetconfig.InstanceID) error {
	for _, member := range n.Status().Members {
		if member.ID == id {
			return n.AddMember(ctx, id, member.Address)
		}
	}
	return errors.Newf("%s is not a control instance; add it as a new member", id)
}

// RemoveMember removes an instance from the membership of the log. It fails with
// [NotLeaderError] on an instance that does not lead.
func (n *Node) RemoveMember(ctx context.Context, id fleetconfig.InstanceID) error {
	return n.changeMembership(ctx, func(current consensus.Membership) consensus.Membership {
		return current.Without(consensus.MemberID(id))
	})
}

// changeMembership proposes one membership change and waits until it is committed. It
// retries once per heartbeat interval while an earlier change is pending or the new
// voter has not caught up.
func (n *Node) changeMembership(ctx context.Context, change func(consensus.Membership) consensus.Membership) error {
	for {
		done := make(chan outcome, 1)
		var rejection error
		if err := n.runOnLoop(ctx, func(l *loop) { rejection = l.proposeMembership(change, done) }); err != nil {
			return err
		}
		switch {
		case rejection == nil:
			_, err := awaitOutcome(ctx, done)
			return err
		case errors.Is(rejection, consensus.ErrNotLeader):
			return n.notLeaderError()
		case !errors.Is(rejection, consensus.ErrMembershipChangePending) && !errors.Is(rejection, consensus.ErrNotCaughtUp):
			return rejection
		}
		select {
		case <-ctx.Done():
			return &BusyError{Reason: rejection.Error()}
		case <-time.After(n.config.HeartbeatInterval):
		}
	}
}

// proposeMembership applies change to the current membership and proposes the result.
// The outcome is sent to done, unless proposeMembership returns an error.
func (l *loop) proposeMembership(change func(consensus.Membership) consensus.Membership, done chan outcome) error {
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
