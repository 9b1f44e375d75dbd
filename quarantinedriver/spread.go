package quarantinedriver

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/quarantine"
)

const (
	// keepers is how many instances count the crashes under a request until a second one is
	// known.
	keepers = 5
	// sameDomainReceivers and otherDomainReceivers are to how many random instances of its
	// own and of other failure domains an instance sends what is new to it.
	sameDomainReceivers  = 3
	otherDomainReceivers = 2
	// maxEntriesPerMessage keeps a message within a datagram.
	maxEntriesPerMessage = 2
	// maxComparedEntries bounds the entries that are sent after a comparison.
	maxComparedEntries = 32
	// comparisonsPerDistant makes one in this many comparisons one with an instance of any
	// failure domain, so that most of them cause no traffic between domains.
	comparisonsPerDistant = 3
	// sourcePeer is the source of changes that another instance has sent.
	sourcePeer = "peer"
)

// message is a datagram between two instances.
type message struct {
	// Entries is what the sender knows.
	Entries []quarantine.Entry `cbor:"1,keyasint,omitempty"`
	// Compare asks the receiver to compare its table with Digest, and to send what it knows
	// if they differ.
	Compare bool `cbor:"2,keyasint,omitempty"`
	// Digest is the digest of the sender's table. It is set if Compare or Reply is.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// Reply says that the message answers one with Compare. If the digests still differ, the
	// receiver sends what it knows.
	Reply bool `cbor:"4,keyasint,omitempty"`
}

// spread sends changes to the instances that need to know.
func (s *Service) spread(changes []quarantine.Change) {
	snapshot := s.config.Members()
	batches := make(map[string][]quarantine.Entry)
	for i := range changes {
		change := &changes[i]
		var receivers []*membership.Member
		switch change.Scope {
		case quarantine.ScopeKeepers:
			receivers = keepersOf(snapshot, change.Entry.Fingerprint)
		case quarantine.ScopeAll:
			receivers = randomReceivers(snapshot)
		}
		for _, receiver := range receivers {
			batches[receiver.Record.Address] = append(batches[receiver.Record.Address], change.Entry)
		}
	}
	for address, entries := range batches {
		s.sendEntries(address, entries, message{})
	}
}

// sendEntries sends entries in as many datagrams as they need. The last one carries the fields
// of trailer.
func (s *Service) sendEntries(address string, entries []quarantine.Entry, trailer message) {
	for len(entries) > maxEntriesPerMessage {
		s.send(address, &message{Entries: entries[:maxEntriesPerMessage]})
		entries = entries[maxEntriesPerMessage:]
	}
	trailer.Entries = entries
	s.send(address, &trailer)
}

func (s *Service) send(address string, outgoing *message) {
	payload, err := codec.Marshal(outgoing)
	if err != nil {
		s.config.Logger.Warn("quarantine message could not be encoded", "error", err)
		return
	}
	s.config.Send(address, payload)
}

// compare asks one random instance to compare tables, mostly one of the own failure domain.
func (s *Service) compare() {
	snapshot := s.config.Members()
	self := snapshot.Member(snapshot.Self)
	var receiver *membership.Member
	if self != nil && rand.IntN(comparisonsPerDistant) != 0 {
		receiver = randomMember(snapshot, func(member *membership.Member) bool {
			return member.Record.FailureDomain == self.Record.FailureDomain
		})
	}
	if receiver == nil {
		receiver = randomMember(snapshot, func(*membership.Member) bool { return true })
	}
	if receiver != nil {
		s.send(receiver.Record.Address, &message{Compare: true, Digest: s.digest()})
	}
}

func (s *Service) digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Digest()
}

// HandleMessage handles a datagram of another instance. It returns an error if the payload
// can not be read.
func (s *Service) HandleMessage(from fleetconfig.InstanceID, payload []byte) error {
	var received message
	if err := codec.Unmarshal(payload, &received); err != nil {
		return err
	}
	s.merge(received.Entries, sourcePeer)
	if !received.Compare && !received.Reply {
		return nil
	}
	sender := s.config.Members().Member(from)
	own := s.digest()
	if sender == nil || own == received.Digest {
		return nil
	}
	s.mu.Lock()
	entries := s.table.SharedEntries(maxComparedEntries, clock.Now())
	s.mu.Unlock()
	trailer := message{}
	if received.Compare {
		trailer = message{Reply: true, Digest: own}
	}
	s.sendEntries(sender.Record.Address, entries, trailer)
	return nil
}

// reachable reports whether messages are sent to a member.
func reachable(snapshot *gossip.Snapshot, member *membership.Member) bool {
	return member.Record.ID != snapshot.Self && member.Liveness != membership.Dead && !member.Record.Left
}

// weight orders the instances for a request by rendezvous hashing.
func weight(fingerprint quarantine.Fingerprint, id fleetconfig.InstanceID) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write(fingerprint[:])
	_, _ = sum.Write([]byte(id))
	return sum.Sum64()
}

// keepersOf returns the keepers of a request besides this instance.
func keepersOf(snapshot *gossip.Snapshot, fingerprint quarantine.Fingerprint) []*membership.Member {
	var members []*membership.Member
	for i := range snapshot.Members {
		if member := &snapshot.Members[i]; reachable(snapshot, member) {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b *membership.Member) int {
		return cmp.Compare(weight(fingerprint, b.Record.ID), weight(fingerprint, a.Record.ID))
	})
	return members[:min(keepers, len(members))]
}

// makesTrialsOf reports whether this instance makes the trial runs of a request. Instances
// with the same view of the membership agree on one.
func (s *Service) makesTrialsOf(fingerprint quarantine.Fingerprint) bool {
	snapshot := s.config.Members()
	own := weight(fingerprint, snapshot.Self)
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		if reachable(snapshot, member) && member.Record.Proxy && weight(fingerprint, member.Record.ID) > own {
			return false
		}
	}
	return true
}

// randomReceivers returns the instances to which this one sends what is new to it.
func randomReceivers(snapshot *gossip.Snapshot) []*membership.Member {
	self := snapshot.Member(snapshot.Self)
	if self == nil {
		return nil
	}
	var receivers []*membership.Member
	draw := func(count int, sameDomain bool) {
		for range count {
			drawn := randomMember(snapshot, func(member *membership.Member) bool {
				return (member.Record.FailureDomain == self.Record.FailureDomain) == sameDomain && !slices.Contains(receivers, member)
			})
			if drawn != nil {
				receivers = append(receivers, drawn)
			}
		}
	}
	draw(sameDomainReceivers, true)
	draw(otherDomainReceivers, false)
	return receivers
}

// randomMember returns a random reachable member that satisfies the condition, or nil.
func randomMember(snapshot *gossip.Snapshot, condition func(*membership.Member) bool) *membership.Member {
	var drawn *membership.Member
	seen := 0
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		if !reachable(snapshot, member) || !condition(member) {
			continue
		}
		if seen++; rand.IntN(seen) == 0 {
			drawn = member
		}
	}
	return drawn
}
