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
	// repairInterval is how often the leader looks whether the group is whole. A
	// wiped member needs two changes to vote again.
	repairInterval = 100 * time.Millisecond
	// diskTimeout bounds the question for the disk of an instance that is no member.
	diskTimeout = 500 * time.Millisecond
	// repairTimeout bounds one change of the members.
	repairTimeout = time.Second
)

// repair keeps a group whole that forms itself: while this instance leads, it
// admits instances and disks that are new to the log and drops those that others
// have replaced. It makes one change at a time.
func (n *Node) repair(ctx context.Context) {
	ticker := time.NewTicker(repairInterval)
	defer ticker.Stop()
	var leadsSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := clock.Now()
		switch {
		case !n.IsLeader():
			leadsSince = time.Time{}
			continue
		case leadsSince.IsZero():
			leadsSince = now
		}
		n.repairOnce(ctx, leadsSince, now)
	}
}

// repairOnce makes the most wanted change that the log takes now.
func (n *Node) repairOnce(ctx context.Context, leadsSince, now time.Time) {
	var current consensus.Membership
	var status consensus.Status
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	err := n.do(ctx, func(l *loop) {
		current = l.node.Membership()
		status = l.node.Status()
	})
	if err != nil || status.Role != consensus.Leader {
		return
	}
	instances := n.instances(ctx, current, status, leadsSince, now)
	for _, next := range consensus.PlanMembershipChanges(current, instances, n.config.Group.Voters) {
		if n.tryMembers(ctx, current, next) {
			n.config.Logger.Info("members of the replicated log changed",
				"from", describe(current), "to", describe(next))
			return
		}
	}
}

// tryMembers proposes a membership and waits until it is committed. It reports
// whether it was.
func (n *Node) tryMembers(ctx context.Context, from, to consensus.Membership) bool {
	done := make(chan outcome, 1)
	var refused error
	err := n.do(ctx, func(l *loop) {
		refused = l.proposeMembers(func(present consensus.Membership) consensus.Membership {
			if !equalMembers(present, from) {
				return present
			}
			return to
		}, done)
	})
	if err != nil || refused != nil {
		if refused != nil && !errors.Is(refused, consensus.ErrNotCaughtUp) {
			n.config.Logger.Info("change of the members not taken", "to", describe(to), "reason", refused.Error())
		}
		return false
	}
	_, err = awaitOutcome(ctx, done)
	return err == nil
}

// instances returns what the leader knows of the members and of the other control
// instances.
func (n *Node) instances(ctx context.Context, current consensus.Membership, status consensus.Status, leadsSince, now time.Time) []consensus.Instance {
	var all []consensus.Instance
	known := n.config.Group.AlivePeers()
	for _, member := range current.Members {
		instance := consensus.Instance{ID: member.ID, Address: addressOf(known, member)}
		progress := status.Progress[member.ID]
		if member.ID == consensus.MemberID(n.config.ID) {
			instance.Disk = member.Disk
		} else {
			instance.Disk = progress.Disk
			instance.SinceLastContact = now.Sub(later(progress.LastContact, leadsSince))
		}
		all = append(all, instance)
	}
	for _, peer := range known {
		id := consensus.MemberID(peer.ID)
		if _, isMember := current.Find(id); isMember {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, diskTimeout)
		reply, err := n.askDisk(askCtx, peer, nil)
		cancel()
		if err == nil {
			all = append(all, consensus.Instance{ID: id, Address: peer.Address, Disk: reply.Disk})
		}
	}
	return all
}

// addressOf returns the address that membership knows of a member, or the one in
// the log.
func addressOf(known []Peer, member consensus.Member) string {
	for _, peer := range known {
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

// describe lists the members for a log line; receivers are marked.
func describe(membership consensus.Membership) []string {
	var names []string
	for _, member := range membership.Members {
		name := string(fleetconfig.InstanceID(member.ID))
		if !member.Voter {
			name += " (receiver)"
		}
		names = append(names, name)
	}
	return names
}
