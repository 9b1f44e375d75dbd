package consensus

import (
	"slices"
	"time"
)

// voterRemovalTimeout is how long a voter must be unreachable before it is removed
// from a membership that has more than targetVoters voters (a parameter of
// PlanMembershipChanges). It is twice the default election timeout of package
// control, so that a leader change alone removes no voter. With a longer election
// timeout this is not certain.
const voterRemovalTimeout = 3 * time.Second

// Instance is the leader's view of a control instance (an instance with the control
// role), whether or not it is a member.
type Instance struct {
	// ID identifies the instance.
	ID MemberID
	// Address is the address at which it receives messages.
	Address string
	// Disk is the disk in its last answer, or "" if it has not answered.
	Disk DiskID
	// SinceLastContact is the time since the leader sent the newest request that the
	// instance has answered, or since the leader was elected if that was later.
	SinceLastContact time.Duration
}

// PlanMembershipChanges returns the memberships that may follow the current one,
// in order of preference. Each is one step closer to a membership in which every
// reachable instance is a voter. The leader proposes the first one that the log
// accepts, and plans again once it is committed. An empty result means that no
// change is needed.
//
// The order of preference is:
//
//  1. A learner that has answered from its admitted disk becomes a voter.
//  2. In the order of instances: a reachable instance whose disk the log does not
//     admit, because the instance is new or its disk was wiped or swapped, becomes
//     a learner; a reachable instance whose address has changed gets its new
//     address.
//  3. While there are more than targetVoters voters, the voter that has been
//     unreachable for the longest time, and for at least voterRemovalTimeout, is
//     removed. An unreachable voter is therefore kept until another instance has
//     replaced it.
func PlanMembershipChanges(current Membership, instances []Instance, targetVoters int) []Membership {
	var changes []Membership
	for _, member := range current.Members {
		if member.Voter {
			continue
		}
		if found, ok := findInstance(instances, member.ID); ok && found.Disk == member.Disk {
			member.Voter = true
			changes = append(changes, current.With(member))
		}
	}
	for _, instance := range instances {
		if instance.Disk == "" || instance.SinceLastContact >= voterRemovalTimeout {
			continue
		}
		known, isMember := current.Find(instance.ID)
		switch {
		case !isMember && current.VoterCount() >= maxVoters-1:
			// The membership already has seven voters, the most that a fleet configures.
		case !isMember || known.Disk != instance.Disk:
			learner := Member{ID: instance.ID, Address: instance.Address, Disk: instance.Disk}
			changes = append(changes, current.With(learner))
		case instance.Address != "" && known.Address != instance.Address:
			known.Address = instance.Address
			changes = append(changes, current.With(known))
		}
	}
	if current.VoterCount() > targetVoters {
		if unreachable, ok := longestUnreachableVoter(current, instances); ok {
			changes = append(changes, current.Without(unreachable))
		}
	}
	return changes
}

func findInstance(instances []Instance, id MemberID) (Instance, bool) {
	at := slices.IndexFunc(instances, func(i Instance) bool { return i.ID == id })
	if at < 0 {
		return Instance{}, false
	}
	return instances[at], true
}

// longestUnreachableVoter returns the voter that has been unreachable for the
// longest time, among those unreachable for at least voterRemovalTimeout.
func longestUnreachableVoter(current Membership, instances []Instance) (MemberID, bool) {
	var unreachable Instance
	for _, instance := range instances {
		known, isMember := current.Find(instance.ID)
		if isMember && known.Voter && instance.SinceLastContact >= voterRemovalTimeout && instance.SinceLastContact > unreachable.SinceLastContact {
			unreachable = instance
		}
	}
	return unreachable.ID, unreachable.ID != ""
}
