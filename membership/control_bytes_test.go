package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// domainsSimulation is a simulation of a fleet in three failure domains that counts the bytes
// of datagrams between them.
func domainsSimulation(seed uint64, n int) (s *simulation, far *int) {
	const domains = 3
	s, far = newSimulation(seed, 0), new(int)
	domainOf := make(map[string]int, n)
	for i := range n {
		address := simAddress(i)
		s.starts++
		domainOf[address] = i % domains
		record := Record{
			ID: fleetconfig.InstanceID(address), Address: address, Incarnation: s.starts, FailureDomain: fleetconfig.FailureDomain(fmt.Sprint("domain-", i%domains)), Proxy: true,
			Servers: []Server{{ID: "b", Service: "s", Slots: 1}},
		}
		s.states[address] = New(Config{}, record, []string{simAddress(0), simAddress(1)}, rand.New(rand.NewPCG(s.random.Uint64(), 2)), s.now.Add(-simTick))
	}
	s.onSend = func(envelope *Envelope) {
		if domainOf[envelope.Address] == domainOf[string(envelope.Message.From)] {
			return
		}
		*far += encodedBytes(envelope.Message.Wire())
	}
	return s, far
}

// runWithDigests is like run, with digest exchanges at the intervals of package gossip. It
// returns the bytes of the exchanges between failure domains.
func (s *simulation) runWithDigests(length time.Duration, next map[string]time.Time, started time.Time) (far int) {
	const quick, slow, quickFor = 500 * time.Millisecond, 10 * time.Second, 5 * time.Second
	for end := s.now.Add(length); s.now.Before(end); {
		s.run(simTick)
		for _, address := range s.addresses() {
			if s.now.Before(next[address]) {
				continue
			}
			next[address] = s.now.Add(slow)
			if s.now.Sub(started) < quickFor {
				next[address] = s.now.Add(quick)
			}
			to, bytes := s.digestWith(address)
			if to != "" && s.states[to].Self().FailureDomain != s.states[address].Self().FailureDomain {
				far += bytes
			}
		}
	}
	return far
}

// digestWith runs one digest exchange and returns its bytes.
func (s *simulation) digestWith(from string) (to string, bytes int) {
	to = s.states[from].DigestPeer()
	initiator, responder := s.states[from], s.states[to]
	if responder == nil {
		return "", 0
	}
	call := func(request *DigestRequest) *DigestReply {
		reply := responder.HandleDigestRequest(request, s.now)
		bytes += encodedBytes(request) + encodedBytes(reply)
		return reply
	}
	reply := call(initiator.FingerprintRequest())
	if reply.InSync {
		initiator.HandleInSync(s.now)
		return to, bytes
	}
	reply = call(initiator.EntriesRequest(reply.DifferingBuckets))
	initiator.MergeUpdates(reply.Updates, s.now)
	if len(reply.MissingRecords) > 0 {
		call(&DigestRequest{Updates: initiator.UpdatesFor(reply.MissingRecords)})
	}
	return to, bytes
}

func encodedBytes(message any) int {
	data, err := codec.Marshal(message)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// When a whole fleet starts, its records cross between failure domains a few times and not as
// often as each instance may send each of them, and later changes still reach all instances in
// the time that their first transmissions take.
func TestBytesBetweenDomainsAfterStart(t *testing.T) {
	const (
		instances = 60
		// maxPerInstance is the limit in bytes for the first minute: 6,000 of pings and answers
		// without updates, and 100 of records and digests for each instance.
		maxPerInstance = 6000 + 100*instances
		// maxSpread is a probe period for each doubling of the instances that know a change, and
		// two more.
		maxSpread = 8 * time.Second
	)
	s, far := domainsSimulation(7, instances)
	next, started := make(map[string]time.Time), s.now
	digests := s.runWithDigests(time.Minute, next, started)
	for _, state := range s.states {
		must.Len(t, instances, state.Members())
	}
	t.Logf("bytes per instance between failure domains: %d of datagrams, %d of digest exchanges", *far/instances, digests/instances)
	must.LessEq(t, maxPerInstance, (*far+digests)/instances)

	changed := simAddress(4)
	s.states[changed].SetServers([]Server{{ID: "c", Service: "s", Slots: 9}})
	want := s.states[changed].Self().Sequence
	s.run(maxSpread)
	for _, at := range s.addresses() {
		must.Eq(t, want, s.view(at, changed).Record.Sequence)
	}
}

// A ping and its answer without updates stay small: they are what a fleet at rest sends.
func TestPingBytesAtRest(t *testing.T) {
	const maxPing, maxAck = 48, 30
	now := time.Unix(1_000_000, 0)
	newState := func(self, other int) *State {
		state := New(Config{}, digestRecord(self, 1), nil, rand.New(rand.NewPCG(1, 2)), now)
		state.members[state.self].Record.Incarnation, state.incarnation = 1_800_000_000_000_000_000, 1_800_000_000_000_000_000
		state.MergeUpdates([]Update{{Record: digestRecord(other, 1)}}, now)
		for _, member := range state.members {
			member.transmissions = state.transmissionLimit()
		}
		return state
	}
	pinging, pinged := newState(100, 101), newState(101, 100)
	now = now.Add(24 * time.Hour)
	pings := pinging.Tick(now)
	must.Len(t, 1, pings)
	ping := pings[0].Message.Wire()
	acks := pinged.Step(&ping, now)
	must.Len(t, 1, acks)
	ack := acks[0].Message.Wire()
	t.Logf("ping %d bytes, answer %d bytes", encodedBytes(ping), encodedBytes(ack))
	must.LessEq(t, maxPing, encodedBytes(ping))
	must.LessEq(t, maxAck, encodedBytes(ack))
	must.SliceEmpty(t, pinging.Step(&ack, now))
	must.Nil(t, pinging.probe)
}
