package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/consensus"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// repairInterval is how often the leader checks the membership. A member with a wiped
	// disk needs two changes until it votes again: to a learner, then to a voter.
	repairInterval = 100 * time.Millisecond
	// diskQueryTimeout bounds the query for the disk of an instance that is not a member.
	diskQueryTimeout = 500 * time.Millisecond
	// repairTimeout bounds one repair step, including the queries for disks.
	repairTimeout = time.Second
)

// repairMembership restores the number of voters of Config.Group: while this instance
// leads, it adds instances that are not members yet, admits new disks of members and
// removes members that have been replaced, one change at a time. It runs on its own
// goroutine while the node is served, until the context ends.
func (n *Node) repairMembership(ctx context.Context) {
	ticker := time.NewTicker(repairInterval)
	defer ticker.Stop()
	var leaderSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := clock.Now()
		switch {
		case !n.IsLeader():
			leaderSince = time.Time{}
			continue
		case leaderSince.IsZero():
			leaderSince = now
		}
		n.repairOnce(ctx, leaderSince, now)
	}
}

// repairOnce makes the first of the planned membership changes that succeeds.
func (n *Node) repairOnce(ctx context.Context, leaderSince, now time.Time) {
	var current consensus.Membership
	var status consensus.Status
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	err := n.runOnLoop(ctx, func(l *loop) {
		current = l.node.Membership()
		status = l.node.Status()
	})
	if err != nil || status.Role != consensus.Leader {
		return
	}
	instances := n.observeInstances(ctx, current, status, leaderSince, now)
	for _, next := range consensus.PlanMembershipChanges(current, instances, n.config.Group.Voters) {
		if n.tryMembership(ctx, current, next) {
			n.config.Logger.Info("replicated log membership changed",
				"from", memberNames(current), "to", memberNames(next))
			return
		}
	}
}

// tryMembership proposes to replace the membership expected with next, and reports whether
// the change was committed. If the current membership differs from expected, tryMembership
// changes nothing, which also counts as success.
func (n *Node) tryMembership(ctx context.Context, expected, next consensus.Membership) bool {
	done := make(chan outcome, 1)
	var rejection error
	err := n.runOnLoop(ctx, func(l *loop) {
		rejection = l.proposeMembership(func(present consensus.Membership) consensus.Membership {
			if !equalMembers(present, expected) {
				return present
			}
			return next
		}, done)
	})
	if err != nil || rejection != nil {
		if rejection != nil && !errors.Is(rejection, consensus.ErrNotCaughtUp) {
			n.config.Logger.Info("membership change rejected", "to", memberNames(next), "reason", rejection.Error())
		}
		return false
	}
	_, err = awaitOutcome(ctx, done)
	return err == nil
}

// observeInstances returns what the leader knows about the members, and about alive
// control instances that are not members and answer a query for their disk.
func (n *Node) observeInstances(ctx context.Context, current consensus.Membership, status consensus.Status, leaderSince, now time.Time) []consensus.Instance {
	var all []consensus.Instance
	alive := n.config.Group.AlivePeers()
	for _, member := range current.Members {
		instance := consensus.Instance{ID: member.ID, Address: addressOf(alive, member)}
		progress := status.Progress[member.ID]
		if member.ID == consensus.MemberID(n.config.ID) {
			instance.Disk = member.Disk
		} else {
			instance.Disk = progress.Disk
			instance.SinceLastContact = now.Sub(later(progress.LastContact, leaderSince))
		}
		all = append(all, instance)
	}
	for _, peer := range alive {
		id := consensus.MemberID(peer.ID)
		if _, isMember := current.Find(id); isMember {
			continue
		}
		queryCtx, cancel := context.WithTimeout(ctx, diskQueryTimeout)
		reply, err := n.queryDisk(queryCtx, peer, nil)
		cancel()
		if err == nil {
			all = append(all, consensus.Instance{ID: id, Address: peer.Address, Disk: reply.Disk})
		}
	}
	return all
}

// addressOf returns the address of a member according to alive, the alive instances, or
// its address in the log if it is not among them.
func addressOf(alive []Peer, member consensus.Member) string {
	for _, peer := range alive {
		if consensus.MemberID(peer.ID) == member.ID {
			return peer.Address
		}
	}
	return member.Address
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// memberNames returns the IDs of the members for a log message, with learners marked.
func memberNames(membership consensus.Membership) []string {
	var names []string
	for _, member := range membership.Members {
		name := string(fleetconfig.InstanceID(member.ID))
		if !member.Voter {
			name += " (learner)"
		}
		names = append(names, name)
	}
	return names
}
