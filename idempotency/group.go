package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// InitialEpoch is the first epoch of a shard map. Replicas grant no votes in this
// epoch. A replica whose first shard map after a start has this epoch therefore
// cannot have lost a vote, and it starts without recovery. The control plane
// publishes the second epoch once every replica has confirmed the first.
const InitialEpoch = 1

// Member is one replica of a group.
type Member struct {
	// ID is the ID of the instance.
	ID fleetconfig.InstanceID `cbor:"1,keyasint"`
	// JoinEpoch is the epoch in which the instance was last added to the group. A
	// replica that skipped epochs compares join epochs to detect whether it was
	// removed and added again in these epochs. Zero means unknown; a replica that
	// skipped epochs then assumes that it was removed.
	JoinEpoch uint64 `cbor:"2,keyasint"`
}

// Group is the set of replicas of one shard in one epoch.
type Group struct {
	// Epoch is the epoch of the shard map.
	Epoch uint64
	// Members lists the replicas, each once.
	Members []Member
}

// Majority returns the number of members that form a majority.
func (g Group) Majority() int { return len(g.Members)/2 + 1 }

// ReadQuorum returns the number of other replicas that a recovering replica
// must read. Every majority that contains the recovering replica also contains
// at least one of any ReadQuorum others. It is three in a group of five. It is
// one in a group of one, which has no others to read.
func (g Group) ReadQuorum() int { return len(g.Members) - g.Majority() + 1 }

// MinoritySize returns the largest possible number of members that do not hold a
// claim that got a majority. It is zero for an empty group.
func (g Group) MinoritySize() int { return max(0, len(g.Members)-g.Majority()) }

// GroupID identifies a set of members together with their join epochs. Zero
// means that a join epoch is unknown.
type GroupID uint64

// ID returns the ID of the group. Two epochs with the same non-zero ID have the
// same members, and no member was removed in between: the changes in between
// affected other shards only, or added replicas that were removed again.
func (g Group) ID() GroupID {
	hash := sha256.New()
	for _, member := range g.Members {
		if member.JoinEpoch == 0 {
			return 0
		}
		_, _ = fmt.Fprintf(hash, "%d %s %d ", len(member.ID), member.ID, member.JoinEpoch)
	}
	return GroupID(binary.LittleEndian.Uint64(hash.Sum(nil)))
}

// Index returns the position of an instance in Members, or -1 if it is not a
// member.
func (g Group) Index(id fleetconfig.InstanceID) int {
	for i := range g.Members {
		if g.Members[i].ID == id {
			return i
		}
	}
	return -1
}

// Errors returned by CheckStep.
var (
	// ErrEpochSkipped means that the epoch is not the successor of the current
	// one.
	ErrEpochSkipped = errors.New("shard map epoch is not the current epoch plus one; make one change at a time")
	// ErrStepTooLarge means that the change adds or removes more than one replica.
	ErrStepTooLarge = errors.New("shard map change adds or removes more than one replica; split it into single changes")
	// ErrShardShrinks means that a replica is removed from a group of odd size.
	ErrShardShrinks = errors.New("shard map change leaves the shard with an even number of replicas; add a replica first, then remove one")
	// ErrNotConfirmed means that the current epoch is not confirmed yet.
	ErrNotConfirmed = errors.New("current shard map epoch is not confirmed; wait until a majority and the new replica are ready")
)

// Status is the state of a replica, as reported to the process that changes the
// shard map.
type Status struct {
	// ID is the ID of the instance.
	ID fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Epoch is the latest epoch that the replica has applied.
	Epoch uint64 `cbor:"2,keyasint"`
	// Ready means that the replica has recovered its records. It then grants
	// votes, except in the initial epoch.
	Ready bool `cbor:"3,keyasint"`
}

// Confirmed reports whether a majority of the group has applied its epoch and
// is ready, including every replica that joined in this epoch. In the initial
// epoch, all replicas must be ready.
func (g Group) Confirmed(statuses []Status) bool {
	ready := make([]bool, len(g.Members))
	count := 0
	for _, status := range statuses {
		i := g.Index(status.ID)
		if i < 0 || ready[i] || !status.Ready || status.Epoch != g.Epoch {
			continue
		}
		ready[i] = true
		count++
	}
	for i, member := range g.Members {
		if member.JoinEpoch == g.Epoch && !ready[i] {
			return false
		}
	}
	if g.Epoch == InitialEpoch {
		return count == len(g.Members)
	}
	return count >= g.Majority()
}

// CheckStep returns an error if next must not follow last. The size of a shard
// alternates between an odd number and the even number above it: a removal that
// leaves an even number would let replicas that never received a claim form a
// majority later. The replica that joined in the epoch of last may always be
// removed again, even if it never became ready.
func CheckStep(last, next Group, statuses []Status) error {
	if next.Epoch != last.Epoch+1 {
		return ErrEpochSkipped
	}
	added, removed := difference(next, last), difference(last, next)
	if len(added)+len(removed) > 1 {
		return ErrStepTooLarge
	}
	if len(removed) == 1 && len(next.Members)%2 == 0 {
		return ErrShardShrinks
	}
	if len(removed) == 1 && removed[0].JoinEpoch == last.Epoch {
		return nil
	}
	if !last.Confirmed(statuses) {
		return ErrNotConfirmed
	}
	return nil
}

// difference returns the members of a that are missing in b or have another
// join epoch there. An unknown join epoch matches any, because a proposed group
// need not set join epochs.
func difference(a, b Group) []Member {
	var missing []Member
	for _, member := range a.Members {
		i := b.Index(member.ID)
		if i >= 0 {
			otherJoinEpoch := b.Members[i].JoinEpoch
			if otherJoinEpoch == member.JoinEpoch || otherJoinEpoch == 0 || member.JoinEpoch == 0 {
				continue
			}
		}
		missing = append(missing, member)
	}
	return missing
}
