package serverexit

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// Retention is how long records are kept. An announcement that was sent before an exit
	// arrives seconds after it.
	Retention = time.Minute
	// maxRecords bounds the records that are kept for one instance.
	maxRecords = 256
	// controlWitnesses and otherWitnesses are how many control and other instances hold the
	// records of an instance. The others are reached also while control is not.
	controlWitnesses = 3
	otherWitnesses   = 2
	// minWitnesses is how many witnesses suffice if no majority has replied in time.
	minWitnesses = 2
)

// Record is the acknowledged exit of a backend server.
type Record struct {
	// Server is the backend server, by its ID at the instance.
	Server fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// Final says that its process has left and does not return. Otherwise a newer announcement
	// of the process counts.
	Final bool `cbor:"2,keyasint,omitempty"`
	// ProcessStartUnixMilli is the start of the process, or zero if it is not known.
	ProcessStartUnixMilli int64 `cbor:"3,keyasint,omitempty"`
	// Sequence is that of the last announcement before the exit, or of the one that announced
	// it.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
	// Leaving says that a response of the process has stated that it is leaving.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// AgeMillis is the time since the exit in milliseconds.
	AgeMillis uint64 `cbor:"6,keyasint,omitempty"`
}

// Age returns the time since the exit.
func (r *Record) Age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// supersedes reports whether the record replaces an earlier one of the same server. Messages
// may arrive out of order.
func (r *Record) supersedes(earlier *Record) bool {
	if r.ProcessStartUnixMilli != earlier.ProcessStartUnixMilli {
		return r.ProcessStartUnixMilli > earlier.ProcessStartUnixMilli
	}
	if r.Final != earlier.Final {
		return r.Final
	}
	return r.Sequence >= earlier.Sequence
}

// Store holds the records of other instances. It is not safe for concurrent use.
type Store struct {
	instances map[fleetconfig.InstanceID]map[fleetconfig.BackendServerID]stored
}

type stored struct {
	record Record
	// exitAt is when the exit took place, by the clock of this instance.
	exitAt time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{instances: make(map[fleetconfig.InstanceID]map[fleetconfig.BackendServerID]stored)}
}

// Put keeps a record of an instance. It returns false if the instance has too many.
func (s *Store) Put(instance fleetconfig.InstanceID, record Record, now time.Time) bool {
	s.expire(now)
	records := s.instances[instance]
	if records == nil {
		records = make(map[fleetconfig.BackendServerID]stored)
		s.instances[instance] = records
	}
	known, found := records[record.Server]
	if found && !record.supersedes(&known.record) {
		return true
	}
	if !found && len(records) >= maxRecords {
		return false
	}
	records[record.Server] = stored{record: record, exitAt: now.Add(-record.Age())}
	return true
}

// Of returns the records of an instance, with their present ages.
func (s *Store) Of(instance fleetconfig.InstanceID, now time.Time) []Record {
	s.expire(now)
	var records []Record
	for _, kept := range s.instances[instance] {
		record := kept.record
		record.AgeMillis = uint64(max(0, now.Sub(kept.exitAt)).Milliseconds())
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Server, b.Server) })
	return records
}

func (s *Store) expire(now time.Time) {
	for instance, records := range s.instances {
		for server, kept := range records {
			if now.Sub(kept.exitAt) > Retention {
				delete(records, server)
			}
		}
		if len(records) == 0 {
			delete(s.instances, instance)
		}
	}
}

// Merge returns the records of several replies, the newest of each server.
func Merge(replies [][]Record) []Record {
	newest := make(map[fleetconfig.BackendServerID]Record)
	for _, records := range replies {
		for i := range records {
			known, found := newest[records[i].Server]
			if !found || records[i].supersedes(&known) {
				newest[records[i].Server] = records[i]
			}
		}
	}
	merged := make([]Record, 0, len(newest))
	for _, record := range newest {
		merged = append(merged, record)
	}
	slices.SortFunc(merged, func(a, b Record) int { return cmp.Compare(a.Server, b.Server) })
	return merged
}

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
			switch {
			case a.Unfit != b.Unfit && b.Unfit:
				return -1
			case a.Unfit != b.Unfit:
				return 1
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
