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
	soupTick  = 50 * time.Millisecond
	soupDelay = 40 * time.Millisecond
)

// flight is a message under way.
type flight struct {
	at      time.Time
	to      string
	message Message
}

// link is a direction between two addresses.
type link struct{ from, to string }

// soup carries messages between states and loses some of them.
type soup struct {
	random  *rand.Rand
	now     time.Time
	states  map[string]*State
	flights []flight
	cut     map[link]bool
	loss    float64
	starts  uint64
}

func newSoup(seed uint64, n int) *soup {
	s := &soup{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1_000_000, 0),
		states: make(map[string]*State),
		cut:    make(map[link]bool),
	}
	for i := range n {
		s.start(soupAddress(i))
	}
	return s
}

func soupAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func (s *soup) start(address string) {
	s.starts++
	record := Record{
		ID: fleetconfig.InstanceID(address), Address: address, Incarnation: s.starts, FailureDomain: "a",
		Servers: []Server{{ID: "b", Service: "s", Slots: uint32(s.starts)}},
	}
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	s.states[address] = New(Config{}, record, []string{soupAddress(0), soupAddress(1)}, random, s.now)
}

func (s *soup) addresses() []string {
	addresses := make([]string, 0, len(s.states))
	for address := range s.states {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

func (s *soup) send(envelopes []Envelope) {
	for _, envelope := range envelopes {
		copies := 1
		if s.random.Float64() < s.loss/4 {
			copies = 2
		}
		for range copies {
			if s.random.Float64() < s.loss || s.cut[link{envelope.Message.ReplyAddress, envelope.Address}] {
				continue
			}
			delay := time.Duration(s.random.Int64N(int64(soupDelay)))
			s.flights = append(s.flights, flight{at: s.now.Add(delay), to: envelope.Address, message: envelope.Message})
		}
	}
}

// run lets the time pass.
func (s *soup) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(soupTick) {
		slices.SortStableFunc(s.flights, func(a, b flight) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		arrived := s.flights
		s.flights = nil
		for _, flight := range arrived {
			if flight.at.After(s.now) {
				s.flights = append(s.flights, flight)
			} else if state := s.states[flight.to]; state != nil {
				s.send(state.Step(&flight.message, s.now))
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

// exchangeDigest lets two reachable states compare digests, as the driver does.
func (s *soup) exchangeDigest() {
	addresses := s.addresses()
	from := addresses[s.random.IntN(len(addresses))]
	to := s.states[from].DigestPeer()
	if s.states[to] == nil || s.cut[link{from, to}] || s.cut[link{to, from}] {
		return
	}
	asker, answerer := s.states[from], s.states[to]
	reply := answerer.HandleDigestRequest(asker.FingerprintRequest(), s.now)
	if reply.InSync {
		return
	}
	reply = answerer.HandleDigestRequest(asker.EntriesRequest(reply.DifferingBuckets), s.now)
	asker.MergeUpdates(reply.Updates, s.now)
	answerer.HandleDigestRequest(&DigestRequest{Updates: asker.UpdatesFor(reply.MissingRecords)}, s.now)
}

// view returns what the state at an address knows of another one.
func (s *soup) view(at, of string) Member {
	for _, member := range s.states[at].Members() {
		if member.Record.Address == of {
			return member
		}
	}
	return Member{Liveness: Dead}
}

// checkAgreed fails unless every state sees every live one alive with its newest
// record, and no other one usable.
func (s *soup) checkAgreed(t *rapid.T) {
	for _, at := range s.addresses() {
		for _, of := range s.addresses() {
			member := s.view(at, of)
			own := s.states[of].Self()
			if member.Liveness != Alive || member.Record.Sequence != own.Sequence || member.Record.Incarnation != own.Incarnation {
				t.Fatalf("%s sees %s as %s with record %d/%d, which has %d/%d", at, of, member.Liveness,
					member.Record.Incarnation, member.Record.Sequence, own.Incarnation, own.Sequence)
			}
		}
		for _, member := range s.states[at].Members() {
			if s.states[member.Record.Address] == nil && member.Usable() {
				t.Fatalf("%s still uses %s, which is gone", at, member.Record.Address)
			}
		}
	}
}

// Whatever is lost, cut, killed and restarted: once the network is whole, all
// views agree with the truth.
func TestViewsAgreeOnceTheNetworkIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "instances")
		s := newSoup(rapid.Uint64().Draw(t, "seed"), n)
		s.run(5 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			address := soupAddress(rapid.IntRange(0, n-1).Draw(t, "instance"))
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				delete(s.states, address)
			case 1:
				s.start(address)
			case 2:
				s.cut[link{address, soupAddress(rapid.IntRange(0, n-1).Draw(t, "to"))}] = true
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
		clear(s.cut)
		s.run(90 * time.Second)
		s.checkAgreed(t)
	})
}

// Two parts of a fleet that were apart from the start, or for so long that each
// takes the other for dead, find each other again.
func TestPartsThatWereApartMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "instances")
		s := newSoup(rapid.Uint64().Draw(t, "seed"), n)
		if rapid.Bool().Draw(t, "together first") {
			s.run(20 * time.Second)
		}
		for i := range n {
			for j := range n {
				// Each part has one of the two seeds.
				s.cut[link{soupAddress(i), soupAddress(j)}] = i%2 != j%2
			}
		}
		s.run(time.Duration(rapid.IntRange(30, 200).Draw(t, "seconds apart")) * time.Second)
		clear(s.cut)
		s.run(90 * time.Second)
		s.checkAgreed(t)
	})
}

// A one-way cut between two instances is named as such and kills nobody.
func TestAOneWayCutIsNotTakenForADeath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 9).Draw(t, "instances")
		s := newSoup(rapid.Uint64().Draw(t, "seed"), n)
		s.run(30 * time.Second)
		s.cut[link{soupAddress(1), soupAddress(2)}] = true
		s.run(60 * time.Second)
		for _, at := range s.addresses() {
			for _, of := range s.addresses() {
				if liveness := s.view(at, of).Liveness; liveness == Dead {
					t.Fatalf("%s takes %s for dead", at, of)
				}
			}
		}
		must.Eq(t, PathIndirectOnly, s.view(soupAddress(1), soupAddress(2)).Path)
		must.Eq(t, PathIndirectOnly, s.view(soupAddress(2), soupAddress(1)).Path)
	})
}

// A killed instance is unusable everywhere within the probe round, the suspicion
// and the spreading.
func TestADeathIsKnownEverywhereWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "instances")
		s := newSoup(rapid.Uint64().Draw(t, "seed"), n)
		s.run(30 * time.Second)
		delete(s.states, soupAddress(2))
		s.run(12 * time.Second)
		for _, at := range s.addresses() {
			must.Eq(t, Dead, s.view(at, soupAddress(2)).Liveness)
		}
	})
}

// BenchmarkAtRest measures what one instance of a fleet of 820 spends on a period
// and how large its datagrams are.
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
