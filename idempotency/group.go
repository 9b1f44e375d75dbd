package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// InitialEpoch is the first epoch of a shard map. In it no replica grants a
// vote, so a replica that sees it as its first map since it started knows that
// nothing has been lost and starts empty. Control publishes the second epoch
// once every replica has confirmed the first.
const InitialEpoch = 1

// Member is one replica of a group.
type Member struct {
	// ID is the instance.
	ID fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Joined is the epoch in which the instance was last added to the group. It
	// tells a replica that missed the epochs in between whether it was away. Zero
	// means that this is not known; a replica that missed an epoch then takes it
	// that it was.
	Joined uint64 `cbor:"2,keyasint"`
}

// Group is the replicas of one shard in one epoch.
type Group struct {
	// Epoch is the epoch of the shard map.
	Epoch uint64
	// Members are the replicas, each once.
	Members []Member
}

// Majority is how many votes a claim needs.
func (g Group) Majority() int { return len(g.Members)/2 + 1 }

// ReadQuorum is how many other replicas a replica without memory reads. Every
// majority that contains the reader contains one of any so many others. It is
// three for a group of five, and one for a group of one, which has no others.
func (g Group) ReadQuorum() int { return len(g.Members) - g.Majority() + 1 }

// MinoritySize is how many members need not hold a claim that has its majority.
// It is zero for no group.
func (g Group) MinoritySize() int { return max(0, len(g.Members)-g.Majority()) }

// GroupID identifies a set of members with their joining epochs. Zero means that
// a joining epoch is not known.
type GroupID uint64

// ID returns the identity of the group. Two epochs of equal identity have the
// same members, none of which was away in between: the steps were those of other
// shards, or came and went without effect on this one.
func (g Group) ID() GroupID {
	hash := sha256.New()
	for _, member := range g.Members {
		if member.Joined == 0 {
			return 0
		}
		_, _ = fmt.Fprintf(hash, "%d %s %d ", len(member.ID), member.ID, member.Joined)
	}
	return GroupID(binary.LittleEndian.Uint64(hash.Sum(nil)))
}

// Index returns the position of an instance, or -1 when it is no member.
func (g Group) Index(id fleetconfig.InstanceID) int {
	for i := range g.Members {
		if g.Members[i].ID == id {
			return i
		}
	}
	return -1
}

// Errors of CheckStep.
var (
	// ErrEpochSkipped means that the epoch does not follow the last one.
	ErrEpochSkipped = errors.New("the epoch of a map change is not one above the last; make one step at a time")
	// ErrStepTooLarge means that more than one replica changes.
	ErrStepTooLarge = errors.New("a map change adds or removes more than one replica; split it into steps")
	// ErrShardShrinks means that a removal is not preceded by an addition.
	ErrShardShrinks = errors.New("a removal leaves a shard smaller than it was; add a replica first, then remove one")
	// ErrNotConfirmed means that the last step is still going on.
	ErrNotConfirmed = errors.New("the last map change is not confirmed; wait until a majority and the new replica are ready")
)

// Status is what a replica reports to whoever changes the map.
type Status struct {
	// ID is the instance.
	ID fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Epoch is the epoch that the replica has taken up.
	Epoch uint64 `cbor:"2,keyasint"`
	// Ready says that the replica has read what it must and votes.
	Ready bool `cbor:"3,keyasint"`
}

// Confirmed reports whether a majority of the group has taken up its epoch and
// is ready, the replica that joined in that epoch among them. In the founding
// epoch every replica must be.
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
		if member.Joined == g.Epoch && !ready[i] {
			return false
		}
	}
	if g.Epoch == InitialEpoch {
		return count == len(g.Members)
	}
	return count >= g.Majority()
}

// CheckStep reports why next must not follow last, or nil. A shard alternates
// between an odd size and the even size above it: a removal that leaves an even
// size would let replicas that never heard of a claim form a majority later.
// The replica added last may be removed again even when it never got ready.
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
	if len(removed) == 1 && removed[0].Joined == last.Epoch {
		return nil
	}
	if !last.Confirmed(statuses) {
		return ErrNotConfirmed
	}
	return nil
}

// difference returns the members of a that b does not have, or has under another
// joining epoch. A proposed group need not state joining epochs.
func difference(a, b Group) []Member {
	var only []Member
	for _, member := range a.Members {
		i := b.Index(member.ID)
		if i >= 0 {
			other := b.Members[i].Joined
			if other == member.Joined || other == 0 || member.Joined == 0 {
				continue
			}
		}
		only = append(only, member)
	}
	return only
}
