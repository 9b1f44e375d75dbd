package serverexit

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// controlWitnesses and otherWitnesses are how many control and other instances hold the
	// records of an instance. The others are reached also while control is not.
	controlWitnesses = 3
	otherWitnesses   = 2
	// minWitnesses is how many witnesses suffice if no majority has replied in time.
	minWitnesses = 2
)

// Peer is an instance that may hold records.
type Peer struct {
	// ID and Address identify the instance.
	ID      fleetconfig.InstanceID
	Address string
	// Control says that it is a control instance.
	Control bool
	// Unfit says that it seems to be dead, or is stopping. It is a witness only if there are not
	// enough others.
	Unfit bool
}

// Witnesses returns the instances that hold the records of self, from all other ones that have not
// left. The choice changes little when instances join or leave (rendezvous hashing).
func Witnesses(self fleetconfig.InstanceID, peers []Peer) []Peer {
	type ranked struct {
		Peer
		rank uint64
	}
	var control, others []ranked
	for _, peer := range peers {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(self + "\x00" + peer.ID))
		if entry := (ranked{peer, hash.Sum64()}); peer.Control {
			control = append(control, entry)
		} else {
			others = append(others, entry)
		}
	}
	var witnesses []Peer
	for _, group := range []struct {
		peers []ranked
		count int
	}{{control, controlWitnesses}, {others, otherWitnesses}} {
		slices.SortFunc(group.peers, func(a, b ranked) int {
			if a.Unfit != b.Unfit {
				if a.Unfit {
					return 1
				}
				return -1
			}
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.ID, b.ID))
		})
		for i := range min(group.count, len(group.peers)) {
			witnesses = append(witnesses, group.peers[i].Peer)
		}
	}
	return witnesses
}

// Enough reports whether the replies of some of the witnesses suffice: those of a majority, or of
// minWitnesses if no more can be waited for.
func Enough(replied, witnesses int, waited bool) bool {
	if replied > witnesses/2 {
		return true
	}
	return waited && replied >= min(minWitnesses, witnesses)
}
