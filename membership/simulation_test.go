package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

const (
	simTick     = 50 * time.Millisecond
	simMaxDelay = 40 * time.Millisecond
)

// inTransit is a message that has been sent but not delivered.
type inTransit struct {
	deliverAt time.Time
	to        string
	message   Message
}

// link is one direction between two addresses.
type link struct{ from, to string }

// simulation delivers messages between instances, with delays, losses and
// duplicates.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	states   map[string]*State
	messages []inTransit
	blocked  map[link]bool
	loss     float64
	starts   uint64
	// onSend observes the messages that are sent, or is nil.
	onSend func(*Envelope)
}

func newSimulation(seed uint64, n int) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1_000_000, 0),
		states:  make(map[string]*State),
		blocked: make(map[link]bool),
	}
	for i := range n {
		s.start(simAddress(i))
	}
	return s
}

func simAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func (s *simulation) start(address string) {
	s.starts++
	record := Record{
		ID: fleetconfig.InstanceID(address), Address: address, Incarnation: s.starts, FailureDomain: "a",
		Servers: []Server{{ID: "b", Service: "s", Slots: uint32(s.starts)}},
	}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	// A process needs some time until its first message.
	s.states[address] = New(Config{}, record, []string{simAddress(0), simAddress(1)}, random, s.now.Add(-simTick))
}

func (s *simulation) addresses() []string {
	addresses := make([]string, 0, len(s.states))
	for address := range s.states {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (s *simulation) send(envelopes []Envelope) {
	for _, envelope := range envelopes {
		if s.onSend != nil {
			s.onSend(&envelope)
		}
		copies := 1
		if s.random.Float64() < s.loss/4 {
			copies = 2
		}
		for range copies {
			if s.random.Float64() < s.loss || s.blocked[link{envelope.Message.ReplyAddress, envelope.Address}] {
				continue
			}
			delay := time.Duration(s.random.Int64N(int64(simMaxDelay)))
			s.messages = append(s.messages, inTransit{deliverAt: s.now.Add(delay), to: envelope.Address, message: envelope.Message.Wire()})
		}
	}
}

// run advances the time by length, delivers messages and ticks all instances.
func (s *simulation) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(simTick) {
		slices.SortStableFunc(s.messages, func(a, b inTransit) int { return cmp.Compare(a.deliverAt.UnixNano(), b.deliverAt.UnixNano()) })
		pending := s.messages
		s.messages = nil
		for _, sent := range pending {
			if sent.deliverAt.After(s.now) {
				s.messages = append(s.messages, sent)
			} else if state := s.states[sent.to]; state != nil {
				s.send(state.Step(&sent.message, s.now))
			}
		}
		for _, address := range s.addresses() {
			s.send(s.states[address].Tick(s.now))
		}
		if s.random.IntN(20) == 0 {
			s.exchangeDigest()
		}
	}
}

// exchangeDigest runs one digest exchange between two instances that can reach
// each other, as the driver does.
func (s *simulation) exchangeDigest() {
	addresses := s.addresses()
	from := addresses[s.random.IntN(len(addresses))]
	to := s.states[from].DigestPeer()
	if s.states[to] == nil || s.blocked[link{from, to}] || s.blocked[link{to, from}] {
		return
	}
	initiator, responder := s.states[from], s.states[to]
	reply := responder.HandleDigestRequest(initiator.FingerprintRequest(), s.now)
	if reply.InSync {
		return
	}
	reply = responder.HandleDigestRequest(initiator.EntriesRequest(reply.DifferingBuckets), s.now)
	initiator.MergeUpdates(reply.Updates, s.now)
	responder.HandleDigestRequest(&DigestRequest{Updates: initiator.UpdatesFor(reply.MissingRecords)}, s.now)
}

// view returns what the instance at one address knows of the instance at another.
func (s *simulation) view(at, of string) Member {
	for _, member := range s.states[at].Members() {
		if member.Record.Address == of {
			return member
		}
	}
	return Member{Liveness: Dead}
}

// checkConverged fails unless every instance sees every running one alive with its
// newest record, and no stopped one as usable.
func (s *simulation) checkConverged(t *rapid.T) {
	for _, at := range s.addresses() {
		for _, of := range s.addresses() {
			member := s.view(at, of)
			own := s.states[of].Self()
			if member.Liveness != Alive || member.Record.Sequence != own.Sequence || member.Record.Incarnation != own.Incarnation {
				t.Fatalf("%s sees %s as %s with incarnation %d and sequence %d; want alive with incarnation %d and sequence %d", at, of, member.Liveness,
					member.Record.Incarnation, member.Record.Sequence, own.Incarnation, own.Sequence)
			}
		}
		for _, member := range s.states[at].Members() {
			if s.states[member.Record.Address] == nil && member.Usable() {
				t.Fatalf("%s sees the stopped instance %s as usable", at, member.Record.Address)
			}
		}
	}
}

// After any sequence of losses, blocked links, stops, restarts and changed
// records, all instances have the same, correct view once the network is healthy.
func TestMembersConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "instances")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), n)
		s.run(5 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			address := simAddress(rapid.IntRange(0, n-1).Draw(t, "instance"))
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				delete(s.states, address)
			case 1:
				s.start(address)
			case 2:
				s.blocked[link{address, simAddress(rapid.IntRange(0, n-1).Draw(t, "to"))}] = true
			case 3:
				if s.states[address] != nil {
					s.states[address].SetServers([]Server{{ID: "c", Service: "s", Slots: uint32(s.random.IntN(9))}})
				}
			case 4:
				s.loss = 0.3
			}
			if len(s.states) == 0 {
				s.start(address)
			}
			s.run(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
		}
		s.loss = 0
		clear(s.blocked)
		s.run(90 * time.Second)
		s.checkConverged(t)
	})
}

// Two parts of a fleet that could not reach each other from the start, or for so
// long that each sees the other as dead, merge after the partition heals.
func TestHealedPartitionMerges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "instances")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), n)
		if rapid.Bool().Draw(t, "connected first") {
			s.run(20 * time.Second)
		}
		for i := range n {
			for j := range n {
				// Each part has one of the two seeds.
				s.blocked[link{simAddress(i), simAddress(j)}] = i%2 != j%2
			}
		}
		s.run(time.Duration(rapid.IntRange(30, 200).Draw(t, "seconds partitioned")) * time.Second)
		clear(s.blocked)
		s.run(90 * time.Second)
		s.checkConverged(t)
	})
}

// If one direction between two instances is blocked, both report the path as
// indirect-only, and no instance is declared dead.
func TestOneWayPartitionIsIndirectOnlyNotDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 9).Draw(t, "instances")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), n)
		s.run(30 * time.Second)
		s.blocked[link{simAddress(1), simAddress(2)}] = true
		s.run(60 * time.Second)
		for _, at := range s.addresses() {
			for _, of := range s.addresses() {
				if liveness := s.view(at, of).Liveness; liveness == Dead {
					t.Fatalf("%s sees %s as dead", at, of)
				}
			}
		}
		must.Eq(t, PathIndirectOnly, s.view(simAddress(1), simAddress(2)).Path)
		must.Eq(t, PathIndirectOnly, s.view(simAddress(2), simAddress(1)).Path)
	})
}

// A stopped instance is seen as dead by all others within the time for a probe
// round, the suspicion timeout and the dissemination.
func TestStoppedInstanceDetectedWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "instances")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), n)
		s.run(30 * time.Second)
		delete(s.states, simAddress(2))
		s.run(12 * time.Second)
		for _, at := range s.addresses() {
			must.Eq(t, Dead, s.view(at, simAddress(2)).Liveness)
		}
	})
}

// BenchmarkAtRest measures the time and the allocations that one instance needs per
// probe period at rest, that is, while it knows 820 other instances of which none
// fails or changes its record. The first periods include the dissemination of all
// records.
func BenchmarkAtRest(b *testing.B) {
	const instances = 820
	now := time.Unix(1_000_000, 0)
	state := New(Config{}, Record{ID: "self", Address: "10.9.9.9:1", Incarnation: 1}, nil, rand.New(rand.NewPCG(1, 2)), now)
	for i := range instances {
		address := fmt.Sprintf("10.1.%d.%d:1", i/250, i%250)
		state.MergeUpdates([]Update{{Record: Record{
			ID: fleetconfig.InstanceID(address), Address: address, Incarnation: 1, FailureDomain: "a",
			Servers: []Server{{ID: "b1", Service: "catalogue", Slots: 7}},
		}}}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		for _, envelope := range state.Tick(now) {
			if envelope.Message.Kind == Ping {
				answer := Message{Kind: Ack, From: envelope.Message.Target, SeqNo: envelope.Message.SeqNo}
				state.Step(&answer, now)
			}
		}
	}
}
