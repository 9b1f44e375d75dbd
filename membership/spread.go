package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// maxUpdateBytes bounds the updates on one datagram.
	maxUpdateBytes = 850
	// recordBytes and serverBytes estimate the encoded sizes of a record without
	// its servers and of one server.
	recordBytes = 110
	serverBytes = 40
	// seedDigestChance is one in how many digest exchanges that goes to a seed.
	seedDigestChance = 8
	// retransmitFactor is how often each update is spread, times the number of
	// digits of the fleet's size.
	retransmitFactor = 4
)

// envelope addresses a message and loads it with the updates that were spread
// least.
func (s *State) envelope(address string, message Message) Envelope {
	message.From = s.self
	message.ReplyAddress = s.members[s.self].Record.Address
	own := s.members[s.self].Record
	if s.isStranger(message.Target) && updateBytes(&own) <= maxUpdateBytes {
		message.Updates = append(s.takeUpdates(message.Target, updateBytes(&own)), Update{Record: own})
	} else {
		message.Updates = s.takeUpdates(message.Target, 0)
	}
	return Envelope{Address: address, Message: message}
}

// isStranger reports whether the receiver may not know this instance: a seed whose
// name is not known, an instance that is not known here, or one that was taken for
// dead. Such a receiver is always told this instance's own record, however often
// that was spread before; otherwise two parts of the fleet that have nothing new
// to spread would never find each other.
func (s *State) isStranger(receiver fleetconfig.InstanceID) bool {
	member := s.members[receiver]
	return member == nil || member.Liveness == Dead
}

// updateBytes estimates the encoded size of a record.
func updateBytes(record *Record) int {
	return recordBytes + len(record.Servers)*serverBytes
}

// takeUpdates returns the updates to spread, next to reserved bytes. A doubt about the receiver goes
// first, so that it can refute it.
func (s *State) takeUpdates(receiver fleetconfig.InstanceID, reserved int) []Update {
	limit := retransmitFactor * log10Ceil(len(s.members))
	candidates := make([]*Member, 0, len(s.members))
	for _, member := range s.members {
		doubtedReceiver := member.Record.ID == receiver && member.Liveness != Alive
		if member.transmissions < limit || doubtedReceiver {
			candidates = append(candidates, member)
		}
	}
	slices.SortFunc(candidates, func(a, b *Member) int {
		if a.Record.ID == receiver || b.Record.ID == receiver {
			return cmp.Compare(boolRank(b.Record.ID == receiver), boolRank(a.Record.ID == receiver))
		}
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.Record.ID, b.Record.ID))
	})
	var updates []Update
	size := reserved
	for _, member := range candidates {
		added := updateBytes(&member.Record)
		if size+added > maxUpdateBytes {
			continue
		}
		size += added
		member.transmissions++
		updates = append(updates, Update{Record: member.Record, Liveness: member.Liveness})
	}
	return updates
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Fingerprint returns a hash over all records and views, for the digest
// exchange.
func (s *State) Fingerprint() uint64 {
	hash := xxhash.New()
	var buffer [17]byte
	for _, entry := range s.Digest() {
		_, _ = hash.WriteString(string(entry.ID))
		binary.LittleEndian.PutUint64(buffer[0:], entry.Incarnation)
		binary.LittleEndian.PutUint64(buffer[8:], entry.Sequence)
		buffer[16] = byte(entry.Liveness)
		_, _ = hash.Write(buffer[:])
	}
	return hash.Sum64()
}

// Digest returns the records in short, ordered by ID.
func (s *State) Digest() []DigestEntry {
	entries := make([]DigestEntry, 0, len(s.members))
	for _, member := range s.Members() {
		entries = append(entries, DigestEntry{
			ID:          member.Record.ID,
			Incarnation: member.Record.Incarnation,
			Sequence:    member.Record.Sequence,
			Liveness:    member.Liveness,
		})
	}
	return entries
}

// AnswerDigest takes the updates of a digest request in and returns the reply.
func (s *State) AnswerDigest(request *DigestRequest, now time.Time) *DigestReply {
	s.MergeAll(request.Updates, now)
	if request.Fingerprint == s.Fingerprint() {
		return &DigestReply{Same: true}
	}
	reply := &DigestReply{}
	if len(request.Entries) == 0 {
		return reply
	}
	theirs := make(map[fleetconfig.InstanceID]DigestEntry, len(request.Entries))
	for _, entry := range request.Entries {
		theirs[entry.ID] = entry
		if s.lacks(entry) {
			reply.Wanted = append(reply.Wanted, entry.ID)
		}
	}
	for _, member := range s.Members() {
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

// MergeAll takes updates in.
func (s *State) MergeAll(updates []Update, now time.Time) {
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
// exchange, or of a seed: while there is no member, and now and then, for parts of
// the fleet whose records are too large for datagrams. Empty means that there is
// nobody.
func (s *State) DigestPeer() string {
	if len(s.seeds) > 0 && s.random.IntN(seedDigestChance) == 0 {
		return s.seeds[s.random.IntN(len(s.seeds))]
	}
	peers := s.pick(1, func(m *Member) bool { return m.Liveness != Dead && !m.Record.Left })
	if len(peers) == 1 {
		return peers[0].Record.Address
	}
	if len(s.seeds) == 0 {
		return ""
	}
	return s.seeds[s.random.IntN(len(s.seeds))]
}
