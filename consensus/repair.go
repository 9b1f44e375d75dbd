package consensus

import (
	"slices"
	"time"
)

// silentAfter is how long a voter must be silent before a group that has more
// voters than it wants drops it: twice the longest election timeout in use, so
// that a change of leader alone never costs a member its vote.
const silentAfter = 3 * time.Second

// Instance is a control instance as the leader knows it, member or not.
type Instance struct {
	// ID and Address say which instance it is and where it takes messages.
	ID      MemberID
	Address string
	// Disk is the disk that it answered with last, or "" if it has not answered.
	Disk DiskID
	// SinceLastContact is since how long it has not answered.
	SinceLastContact time.Duration
}

// PlanMembershipChanges returns the memberships that would bring the group one step nearer to
// having every answering instance as a voter, the most wanted first. The leader
// proposes the first one that the log takes now, and asks again after it is
// committed. An empty result means that nothing is to be repaired.
//
// In order: receivers become voters; an instance with a disk that the log does not
// admit, be it new, wiped or swapped, becomes a receiver; an instance that moved
// gets its address; and while there are more voters than wanted, one that has been
// silent for long leaves. An instance that is merely silent keeps its vote as long
// as no other one has taken its place.
func PlanMembershipChanges(current Membership, instances []Instance, wanted int) []Membership {
	var steps []Membership
	for _, member := range current.Members {
		if member.Voter {
			continue
		}
		if found, ok := findInstance(instances, member.ID); ok && found.Disk == member.Disk {
			member.Voter = true
			steps = append(steps, current.With(member))
		}
	}
	for _, instance := range instances {
		if instance.Disk == "" || instance.SinceLastContact >= silentAfter {
			continue
		}
		known, isMember := current.Find(instance.ID)
		switch {
		case !isMember && current.VoterCount() >= maxVoters-1:
			// The group is full.
		case !isMember || known.Disk != instance.Disk:
			receiver := Member{ID: instance.ID, Address: instance.Address, Disk: instance.Disk}
			steps = append(steps, current.With(receiver))
		case instance.Address != "" && known.Address != instance.Address:
			known.Address = instance.Address
			steps = append(steps, current.With(known))
		}
	}
	if current.VoterCount() > wanted {
		if gone, ok := longestSilent(current, instances); ok {
			steps = append(steps, current.Without(gone))
		}
	}
	return steps
}

func findInstance(instances []Instance, id MemberID) (Instance, bool) {
	at := slices.IndexFunc(instances, func(i Instance) bool { return i.ID == id })
	if at < 0 {
		return Instance{}, false
	}
	return instances[at], true
}

// longestSilent returns the voter that has been silent for the longest time, if
// any is silent for long enough to leave.
func longestSilent(current Membership, instances []Instance) (MemberID, bool) {
	var gone Instance
	for _, instance := range instances {
		known, isMember := current.Find(instance.ID)
		if isMember && known.Voter && instance.SinceLastContact >= silentAfter && instance.SinceLastContact > gone.SinceLastContact {
			gone = instance
		}
	}
	return gone.ID, gone.ID != ""
}
