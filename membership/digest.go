package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// digestBuckets is the number of buckets into which the members are hashed by
	// their IDs, so that a few changes among many members are found by comparing a
	// few entries.
	digestBuckets = 32
	// seedDigestOneIn: on average, one in this many digest exchanges is with a
	// seed.
	seedDigestOneIn = 8
	// remoteDigestOneIn: on average, one in this many of the exchanges that are not
	// with a seed is with an instance of another failure domain. Most exchanges stay
	// within the failure domain, where bytes cost little; changes cross between
	// failure domains through these exchanges and through datagrams.
	remoteDigestOneIn = 8
)

// bucketOf returns the digest bucket of a member.
func bucketOf(id fleetconfig.InstanceID) uint8 {
	return uint8(xxhash.Sum64String(string(id)) % digestBuckets)
}

// BucketFingerprints returns, for each bucket, a hash of its members' record
// versions and liveness. A record's version is its incarnation and sequence.
func (s *State) BucketFingerprints() []uint64 {
	hashes := make([]*xxhash.Digest, digestBuckets)
	for bucket := range hashes {
		hashes[bucket] = xxhash.New()
	}
	var buffer [17]byte
	for _, entry := range s.Digest(nil) {
		hash := hashes[bucketOf(entry.ID)]
		_, _ = hash.WriteString(string(entry.ID))
		binary.LittleEndian.PutUint64(buffer[0:], entry.Incarnation)
		binary.LittleEndian.PutUint64(buffer[8:], entry.Sequence)
		buffer[16] = byte(entry.Liveness)
		_, _ = hash.Write(buffer[:])
	}
	fingerprints := make([]uint64, digestBuckets)
	for bucket, hash := range hashes {
		fingerprints[bucket] = hash.Sum64()
	}
	return fingerprints
}

// Fingerprint returns a hash of all members' record versions and liveness. Two
// instances with equal fingerprints have nothing to exchange.
func (s *State) Fingerprint() uint64 { return combineFingerprints(s.BucketFingerprints()) }

func combineFingerprints(buckets []uint64) uint64 {
	hash := xxhash.New()
	var buffer [8]byte
	for _, bucket := range buckets {
		binary.LittleEndian.PutUint64(buffer[:], bucket)
		_, _ = hash.Write(buffer[:])
	}
	return hash.Sum64()
}

// Digest returns the record versions and liveness of the members in the given
// buckets, or of all members if buckets is empty, ordered by ID.
func (s *State) Digest(buckets []uint8) []DigestEntry {
	entries := make([]DigestEntry, 0, len(s.members))
	for _, member := range s.Members() {
		if !inBuckets(buckets, member.Record.ID) {
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

// inBuckets reports whether a member belongs to one of the buckets. An empty list
// means all buckets.
func inBuckets(buckets []uint8, id fleetconfig.InstanceID) bool {
	return len(buckets) == 0 || slices.Contains(buckets, bucketOf(id))
}

// FingerprintRequest returns the first request of a digest exchange, which asks
// which buckets differ.
func (s *State) FingerprintRequest() *DigestRequest {
	buckets := s.BucketFingerprints()
	return &DigestRequest{Fingerprint: combineFingerprints(buckets), BucketFingerprints: buckets}
}

// EntriesRequest returns the second request of a digest exchange, which carries
// the entries of the differing buckets. An instance of an earlier version
// replies without differing buckets; the request then covers all buckets.
func (s *State) EntriesRequest(differing []uint8) *DigestRequest {
	return &DigestRequest{Fingerprint: s.Fingerprint(), Buckets: differing, Entries: s.Digest(differing)}
}

// HandleDigestRequest merges the updates of a digest request and returns the
// reply.
func (s *State) HandleDigestRequest(request *DigestRequest, now time.Time) *DigestReply {
	s.MergeUpdates(request.Updates, now)
	own := s.BucketFingerprints()
	if request.Fingerprint == combineFingerprints(own) {
		s.settle(now)
		return &DigestReply{InSync: true}
	}
	reply := &DigestReply{}
	if len(request.BucketFingerprints) == digestBuckets {
		for bucket, fingerprint := range request.BucketFingerprints {
			if fingerprint != own[bucket] {
				reply.DifferingBuckets = append(reply.DifferingBuckets, uint8(bucket))
			}
		}
		return reply
	}
	if len(request.Entries) == 0 && len(request.Buckets) == 0 {
		return reply
	}
	remote := make(map[fleetconfig.InstanceID]DigestEntry, len(request.Entries))
	for _, entry := range request.Entries {
		remote[entry.ID] = entry
		if s.isOutdatedBy(entry) {
			reply.MissingRecords = append(reply.MissingRecords, entry.ID)
		}
	}
	for _, member := range s.Members() {
		if !inBuckets(request.Buckets, member.Record.ID) {
			continue
		}
		entry, known := remote[member.Record.ID]
		if !known || isNewerThanEntry(&member, entry) {
			reply.Updates = append(reply.Updates, s.newUpdate(&member))
		}
	}
	return reply
}

// HandleInSync is called when the reply to a FingerprintRequest is that there is nothing to
// exchange.
func (s *State) HandleInSync(now time.Time) {
	s.lastEventAt = now
	s.settle(now)
}

// isOutdatedBy reports whether the entry is newer than what this instance knows of
// the member.
func (s *State) isOutdatedBy(entry DigestEntry) bool {
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

// isNewerThanEntry reports whether the known member is newer than the entry.
func isNewerThanEntry(member *Member, entry DigestEntry) bool {
	record := Record{Incarnation: entry.Incarnation, Sequence: entry.Sequence}
	if member.Record.newerThan(&record) {
		return true
	}
	return !record.newerThan(&member.Record) && member.Liveness > entry.Liveness
}

// MergeUpdates merges received updates into the state.
func (s *State) MergeUpdates(updates []Update, now time.Time) {
	s.lastEventAt = now
	for _, update := range updates {
		s.mergeUpdate(update, now)
	}
}

// UpdatesFor returns updates with the records of the given instances. Unknown
// instances are left out.
func (s *State) UpdatesFor(ids []fleetconfig.InstanceID) []Update {
	var updates []Update
	for _, id := range ids {
		if member := s.members[id]; member != nil {
			updates = append(updates, s.newUpdate(member))
		}
	}
	return updates
}

// DigestPeer returns the address of the instance for the next digest exchange, or
// "" if there is none. Usually it is a random live member, mostly of this
// instance's failure domain. It is a seed while no other live member is known, and
// in one of seedDigestOneIn exchanges on average, to reach instances whose records
// are too large for datagrams.
func (s *State) DigestPeer() string {
	if len(s.seeds) > 0 && s.random.IntN(seedDigestOneIn) == 0 {
		return s.seeds[s.random.IntN(len(s.seeds))]
	}
	own := s.members[s.self].Record.FailureDomain
	wantOther := s.random.IntN(remoteDigestOneIn) == 0
	live := func(m *Member) bool { return m.Liveness != Dead && !m.Record.Left }
	peers := s.randomMembers(1, func(m *Member) bool { return live(m) && (m.Record.FailureDomain != own) == wantOther })
	if len(peers) == 0 {
		peers = s.randomMembers(1, live)
	}
	if len(peers) == 1 {
		return peers[0].Record.Address
	}
	if len(s.seeds) == 0 {
		return ""
	}
	return s.seeds[s.random.IntN(len(s.seeds))]
}
