package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// digestParts is how many parts the members are divided into, by their ids, so that a
	// few changes among many members are found by comparing a few entries.
	digestParts = 32
	// seedDigestChance is one in how many digest exchanges that goes to a seed.
	seedDigestChance = 8
	// farDigestChance is one in how many other exchanges that goes to another failure
	// domain. News crosses between domains by these and by datagrams, and spreads inside,
	// where bytes cost little.
	farDigestChance = 8
)

// partOf returns the part of the digest that a member belongs to.
func partOf(id fleetconfig.InstanceID) uint8 {
	return uint8(xxhash.Sum64String(string(id)) % digestParts)
}

// BucketFingerprints returns a hash over the records and views of each part.
func (s *State) BucketFingerprints() []uint64 {
	hashes := make([]*xxhash.Digest, digestParts)
	for part := range hashes {
		hashes[part] = xxhash.New()
	}
	var buffer [17]byte
	for _, entry := range s.Digest(nil) {
		hash := hashes[partOf(entry.ID)]
		_, _ = hash.WriteString(string(entry.ID))
		binary.LittleEndian.PutUint64(buffer[0:], entry.Incarnation)
		binary.LittleEndian.PutUint64(buffer[8:], entry.Sequence)
		buffer[16] = byte(entry.Liveness)
		_, _ = hash.Write(buffer[:])
	}
	fingerprints := make([]uint64, digestParts)
	for part, hash := range hashes {
		fingerprints[part] = hash.Sum64()
	}
	return fingerprints
}

// Fingerprint returns a hash over all records and views, for the digest
// exchange.
func (s *State) Fingerprint() uint64 { return fingerprintOf(s.BucketFingerprints()) }

func fingerprintOf(parts []uint64) uint64 {
	hash := xxhash.New()
	var buffer [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(buffer[:], part)
		_, _ = hash.Write(buffer[:])
	}
	return hash.Sum64()
}

// Digest returns the records of the given parts in short, of all parts when none is
// given, ordered by ID.
func (s *State) Digest(parts []uint8) []DigestEntry {
	entries := make([]DigestEntry, 0, len(s.members))
	for _, member := range s.Members() {
		if !covers(parts, member.Record.ID) {
			continue
		}
		entries = append(entries, DigestEntry{
			ID:          member.Record.ID,
			Incarnation: member.Record.Incarnation,
			Sequence:    member.Record.Sequence,
			Liveness:    member.Liveness,
		})
	}
	return entries
}

// covers reports whether a member belongs to one of the parts; no parts are all.
func covers(parts []uint8, id fleetconfig.InstanceID) bool {
	return len(parts) == 0 || slices.Contains(parts, partOf(id))
}

// FingerprintRequest returns the first request of a digest exchange, which asks what parts
// differ.
func (s *State) FingerprintRequest() *DigestRequest {
	parts := s.BucketFingerprints()
	return &DigestRequest{Fingerprint: fingerprintOf(parts), BucketFingerprints: parts}
}

// EntriesRequest returns the second request of an exchange, about the parts that differ.
// An instance of an earlier version names none, and means all.
func (s *State) EntriesRequest(differ []uint8) *DigestRequest {
	return &DigestRequest{Fingerprint: s.Fingerprint(), Buckets: differ, Entries: s.Digest(differ)}
}

// HandleDigestRequest takes the updates of a digest request in and returns the reply.
func (s *State) HandleDigestRequest(request *DigestRequest, now time.Time) *DigestReply {
	s.MergeUpdates(request.Updates, now)
	own := s.BucketFingerprints()
	if request.Fingerprint == fingerprintOf(own) {
		return &DigestReply{InSync: true}
	}
	reply := &DigestReply{}
	if len(request.BucketFingerprints) == digestParts {
		for part, fingerprint := range request.BucketFingerprints {
			if fingerprint != own[part] {
				reply.DifferingBuckets = append(reply.DifferingBuckets, uint8(part))
			}
		}
		return reply
	}
	if len(request.Entries) == 0 && len(request.Buckets) == 0 {
		return reply
	}
	theirs := make(map[fleetconfig.InstanceID]DigestEntry, len(request.Entries))
	for _, entry := range request.Entries {
		theirs[entry.ID] = entry
		if s.lacks(entry) {
			reply.MissingRecords = append(reply.MissingRecords, entry.ID)
		}
	}
	for _, member := range s.Members() {
		if !covers(request.Buckets, member.Record.ID) {
			continue
		}
		entry, known := theirs[member.Record.ID]
		if !known || isAhead(&member, entry) {
			reply.Updates = append(reply.Updates, Update{Record: member.Record, Liveness: member.Liveness})
		}
	}
	return reply
}

// lacks reports whether the entry names something newer than what is known.
func (s *State) lacks(entry DigestEntry) bool {
	member := s.members[entry.ID]
	if member == nil {
		return entry.Liveness != Dead
	}
	record := Record{Incarnation: entry.Incarnation, Sequence: entry.Sequence}
	if record.newerThan(&member.Record) {
		return true
	}
	return !member.Record.newerThan(&record) && entry.Liveness > member.Liveness
}

func isAhead(member *Member, entry DigestEntry) bool {
	record := Record{Incarnation: entry.Incarnation, Sequence: entry.Sequence}
	if member.Record.newerThan(&record) {
		return true
	}
	return !record.newerThan(&member.Record) && member.Liveness > entry.Liveness
}

// MergeUpdates takes updates in.
func (s *State) MergeUpdates(updates []Update, now time.Time) {
	for _, update := range updates {
		s.merge(update, now)
	}
}

// UpdatesFor returns the records of the given instances.
func (s *State) UpdatesFor(ids []fleetconfig.InstanceID) []Update {
	var updates []Update
	for _, id := range ids {
		if member := s.members[id]; member != nil {
			updates = append(updates, Update{Record: member.Record, Liveness: member.Liveness})
		}
	}
	return updates
}

// DigestPeer returns the address of a random live member for the next digest
// exchange, mostly one of the own failure domain, or of a seed: while there is no
// member, and now and then, for parts of the fleet whose records are too large for
// datagrams. Empty means that there is nobody.
func (s *State) DigestPeer() string {
	if len(s.seeds) > 0 && s.random.IntN(seedDigestChance) == 0 {
		return s.seeds[s.random.IntN(len(s.seeds))]
	}
	own := s.members[s.self].Record.FailureDomain
	wantFar := s.random.IntN(farDigestChance) == 0
	live := func(m *Member) bool { return m.Liveness != Dead && !m.Record.Left }
	peers := s.pick(1, func(m *Member) bool { return live(m) && (m.Record.FailureDomain != own) == wantFar })
	if len(peers) == 0 {
		peers = s.pick(1, live)
	}
	if len(peers) == 1 {
		return peers[0].Record.Address
	}
	if len(s.seeds) == 0 {
		return ""
	}
	return s.seeds[s.random.IntN(len(s.seeds))]
}
