package serverexit

import (
	"cmp"
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
)

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
