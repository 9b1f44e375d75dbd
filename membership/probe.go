package membership

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// probe is the probe in progress. There is at most one.
type probe struct {
	target fleetconfig.InstanceID
	seqNo  uint64
	// indirectAt is when other instances are asked to probe the target, if it has not
	// answered.
	indirectAt    time.Time
	deadline      time.Time
	indirectSent  bool
	indirectAcked bool
}

// relay is a ping sent on behalf of another instance, with the information needed
// to report the answer to that instance.
type relay struct {
	pingSeqNo    uint64
	requestSeqNo uint64
	target       fleetconfig.InstanceID
	replyTo      string
	expiresAt    time.Time
}

// maxRelays bounds the pings that are relayed for others at the same time.
const maxRelays = 64

// seedProbeOneIn: on average, one in this many probe periods also pings a seed or
// a dead member, so that the two sides of a healed partition detect each other
// again.
const seedProbeOneIn = 5

// Tick advances the state to now and returns the messages to send. It should be
// called several times per AckTimeout.
func (s *State) Tick(now time.Time) []Envelope {
	s.lastEventAt = now
	s.expire(now)
	var out []Envelope
	out = s.advanceProbe(out, now)
	if now.Before(s.nextProbe) {
		return out
	}
	s.nextProbe = now.Add(s.config.ProbePeriod)
	s.relays = slices.DeleteFunc(s.relays, func(r relay) bool { return now.After(r.expiresAt) })
	out = s.pingSeedOrDead(out)
	return s.startProbe(out, now)
}

// advanceProbe requests indirect probes once the direct answer is late, and ends
// the probe at its deadline.
func (s *State) advanceProbe(out []Envelope, now time.Time) []Envelope {
	if s.probe == nil {
		return out
	}
	member := s.members[s.probe.target]
	if member == nil {
		s.probe = nil
		return out
	}
	if !s.probe.indirectSent && !now.Before(s.probe.indirectAt) {
		s.probe.indirectSent = true
		out = s.requestIndirectProbes(out, member)
	}
	if now.Before(s.probe.deadline) {
		return out
	}
	if s.probe.indirectAcked {
		s.setPath(member, PathIndirectOnly)
	} else if member.Liveness == Alive {
		s.setLiveness(member, Suspect, now)
	}
	s.probe = nil
	return out
}

func (s *State) requestIndirectProbes(out []Envelope, target *Member) []Envelope {
	helpers := s.randomMembers(s.config.IndirectProbes, func(m *Member) bool {
		return m.Record.ID != target.Record.ID && m.Liveness == Alive && m.Path == PathDirect && !m.Record.Left
	})
	for _, helper := range helpers {
		out = append(out, s.newEnvelope(helper.Record.Address, Message{
			Kind:          PingRequest,
			SeqNo:         s.probe.seqNo,
			Target:        target.Record.ID,
			TargetAddress: target.Record.Address,
		}))
	}
	return out
}

// startProbe pings the next member in a shuffled order, so that each member is
// probed once before any member is probed again.
func (s *State) startProbe(out []Envelope, now time.Time) []Envelope {
	if s.probe != nil {
		return out
	}
	target := s.nextProbeTarget()
	if target == nil {
		return out
	}
	s.probe = &probe{
		target:     target.Record.ID,
		seqNo:      s.nextSeqNo(),
		indirectAt: now.Add(s.config.AckTimeout),
		deadline:   now.Add(s.config.ProbePeriod - s.config.AckTimeout/2),
	}
	message := Message{Kind: Ping, SeqNo: s.probe.seqNo, Target: target.Record.ID}
	return append(out, s.newEnvelope(target.Record.Address, message))
}

func (s *State) nextProbeTarget() *Member {
	for range len(s.members) + 1 {
		if len(s.probeOrder) == 0 {
			s.probeOrder = s.shuffledIDs()
		}
		if len(s.probeOrder) == 0 {
			return nil
		}
		id := s.probeOrder[0]
		s.probeOrder = s.probeOrder[1:]
		member := s.members[id]
		if member != nil && member.Liveness != Dead && !member.Record.Left {
			return member
		}
	}
	return nil
}

func (s *State) shuffledIDs() []fleetconfig.InstanceID {
	ids := make([]fleetconfig.InstanceID, 0, len(s.members))
	for id := range s.members {
		if id != s.self {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	s.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// pingSeedOrDead pings a seed or a dead member in one of seedProbeOneIn probe
// periods on average. While no other member is known, it pings all seeds in each
// probe period.
func (s *State) pingSeedOrDead(out []Envelope) []Envelope {
	noOtherMembers := len(s.members) == 1
	if !noOtherMembers && s.random.IntN(seedProbeOneIn) != 0 {
		return out
	}
	addresses := slices.Clone(s.seeds)
	for _, member := range s.Members() {
		if member.Liveness == Dead && !member.Record.Left {
			addresses = append(addresses, member.Record.Address)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == s.Self().Address })
	if len(addresses) == 0 {
		return out
	}
	if noOtherMembers {
		for _, address := range addresses {
			out = append(out, s.newEnvelope(address, Message{Kind: Ping, SeqNo: s.nextSeqNo()}))
		}
		return out
	}
	address := addresses[s.random.IntN(len(addresses))]
	return append(out, s.newEnvelope(address, Message{Kind: Ping, SeqNo: s.nextSeqNo()}))
}

// Step handles a received message and returns the messages to send.
func (s *State) Step(message *Message, now time.Time) []Envelope {
	s.lastEventAt = now
	for _, update := range message.Updates {
		s.mergeUpdate(update, now)
	}
	s.observeSender(message, now)
	switch message.Kind {
	case Ping:
		return []Envelope{s.newEnvelope(message.ReplyAddress, Message{Kind: Ack, SeqNo: message.SeqNo, Target: message.From})}
	case Ack:
		return s.handleAck(message)
	case PingRequest:
		return s.handlePingRequest(message, now)
	case IndirectAck:
		s.handleIndirectAck(message)
	}
	return nil
}

func (s *State) handleAck(message *Message) []Envelope {
	if s.probe != nil && s.probe.seqNo == message.SeqNo && s.probe.target == message.From {
		if member := s.members[message.From]; member != nil {
			s.setPath(member, PathDirect)
		}
		s.probe = nil
		return nil
	}
	for i, relay := range s.relays {
		if relay.pingSeqNo != message.SeqNo || relay.target != message.From {
			continue
		}
		s.relays = slices.Delete(s.relays, i, i+1)
		reply := Message{Kind: IndirectAck, SeqNo: relay.requestSeqNo, Target: relay.target}
		return []Envelope{s.newEnvelope(relay.replyTo, reply)}
	}
	return nil
}

func (s *State) handlePingRequest(message *Message, now time.Time) []Envelope {
	if len(s.relays) >= maxRelays {
		return nil
	}
	seqNo := s.nextSeqNo()
	s.relays = append(s.relays, relay{
		pingSeqNo:    seqNo,
		requestSeqNo: message.SeqNo,
		target:       message.Target,
		replyTo:      message.ReplyAddress,
		expiresAt:    now.Add(s.config.ProbePeriod),
	})
	return []Envelope{s.newEnvelope(message.TargetAddress, Message{Kind: Ping, SeqNo: seqNo, Target: message.Target})}
}

func (s *State) handleIndirectAck(message *Message) {
	if s.probe != nil && s.probe.seqNo == message.SeqNo && s.probe.target == message.Target {
		s.probe.indirectAcked = true
	}
}

func (s *State) nextSeqNo() uint64 {
	s.lastSeqNo++
	return s.lastSeqNo
}

// randomMembers returns up to n random members other than this one for which want
// returns true.
func (s *State) randomMembers(n int, want func(*Member) bool) []*Member {
	var picked []*Member
	for _, id := range s.shuffledIDs() {
		if len(picked) == n {
			break
		}
		if member := s.members[id]; want(member) {
			picked = append(picked, member)
		}
	}
	return picked
}
