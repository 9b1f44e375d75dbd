package membership

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// probe is the one probe in progress.
type probe struct {
	target     fleetconfig.InstanceID
	number     uint64
	indirectAt time.Time
	endsAt     time.Time
	asked      bool
	indirect   bool
}

// relay remembers who asked for an indirect probe.
type relay struct {
	number      uint64
	askedNumber uint64
	target      fleetconfig.InstanceID
	replyTo     string
	expires     time.Time
}

// maxRelays bounds the indirect probes that are kept for others.
const maxRelays = 64

// seedProbeChance is one in how many periods a seed or a dead member is pinged
// besides, so that the two sides of a healed partition find each other again.
const seedProbeChance = 5

// Tick moves the state on to now and returns the messages to send. Call it
// several times in each AckTimeout.
func (s *State) Tick(now time.Time) []Envelope {
	s.expire(now)
	var out []Envelope
	out = s.continueProbe(out, now)
	if now.Before(s.nextProbe) {
		return out
	}
	s.nextProbe = now.Add(s.config.ProbePeriod)
	s.relays = slices.DeleteFunc(s.relays, func(r relay) bool { return now.After(r.expires) })
	out = s.probeSeed(out)
	return s.startProbe(out, now)
}

// continueProbe asks others for help, or ends the probe.
func (s *State) continueProbe(out []Envelope, now time.Time) []Envelope {
	if s.probe == nil {
		return out
	}
	member := s.members[s.probe.target]
	if member == nil {
		s.probe = nil
		return out
	}
	if !s.probe.asked && !now.Before(s.probe.indirectAt) {
		s.probe.asked = true
		out = s.askOthers(out, member)
	}
	if now.Before(s.probe.endsAt) {
		return out
	}
	if s.probe.indirect {
		s.setPath(member, PathIndirectOnly)
	} else if member.Liveness == Alive {
		s.setLiveness(member, Suspect, now)
	}
	s.probe = nil
	return out
}

func (s *State) askOthers(out []Envelope, target *Member) []Envelope {
	helpers := s.pick(s.config.IndirectProbes, func(m *Member) bool {
		return m.Record.ID != target.Record.ID && m.Liveness == Alive && m.Path == PathDirect && !m.Record.Left
	})
	for _, helper := range helpers {
		out = append(out, s.envelope(helper.Record.Address, Message{
			Kind:          PingRequest,
			SeqNo:         s.probe.number,
			Target:        target.Record.ID,
			TargetAddress: target.Record.Address,
		}))
	}
	return out
}

// startProbe pings the next member of a shuffled round, so that each is probed
// once a round.
func (s *State) startProbe(out []Envelope, now time.Time) []Envelope {
	if s.probe != nil {
		return out
	}
	target := s.nextTarget()
	if target == nil {
		return out
	}
	s.probe = &probe{
		target:     target.Record.ID,
		number:     s.number(),
		indirectAt: now.Add(s.config.AckTimeout),
		endsAt:     now.Add(s.config.ProbePeriod - s.config.AckTimeout/2),
	}
	message := Message{Kind: Ping, SeqNo: s.probe.number, Target: target.Record.ID}
	return append(out, s.envelope(target.Record.Address, message))
}

func (s *State) nextTarget() *Member {
	for range len(s.members) + 1 {
		if len(s.order) == 0 {
			s.order = s.shuffledIDs()
		}
		if len(s.order) == 0 {
			return nil
		}
		id := s.order[0]
		s.order = s.order[1:]
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

func (s *State) probeSeed(out []Envelope) []Envelope {
	alone := len(s.members) == 1
	if !alone && s.random.IntN(seedProbeChance) != 0 {
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
	if alone {
		for _, address := range addresses {
			out = append(out, s.envelope(address, Message{Kind: Ping, SeqNo: s.number()}))
		}
		return out
	}
	address := addresses[s.random.IntN(len(addresses))]
	return append(out, s.envelope(address, Message{Kind: Ping, SeqNo: s.number()}))
}

// Step takes a received message in and returns the messages to send.
func (s *State) Step(message *Message, now time.Time) []Envelope {
	for _, update := range message.Updates {
		s.merge(update, now)
	}
	switch message.Kind {
	case Ping:
		return []Envelope{s.envelope(message.ReplyAddress, Message{Kind: Ack, SeqNo: message.SeqNo, Target: message.From})}
	case Ack:
		return s.stepAck(message)
	case PingRequest:
		return s.stepPingRequest(message, now)
	case IndirectAck:
		s.stepIndirectAck(message)
	}
	return nil
}

func (s *State) stepAck(message *Message) []Envelope {
	if s.probe != nil && s.probe.number == message.SeqNo && s.probe.target == message.From {
		if member := s.members[message.From]; member != nil {
			s.setPath(member, PathDirect)
		}
		s.probe = nil
		return nil
	}
	for i, relay := range s.relays {
		if relay.number != message.SeqNo || relay.target != message.From {
			continue
		}
		s.relays = slices.Delete(s.relays, i, i+1)
		reply := Message{Kind: IndirectAck, SeqNo: relay.askedNumber, Target: relay.target}
		return []Envelope{s.envelope(relay.replyTo, reply)}
	}
	return nil
}

func (s *State) stepPingRequest(message *Message, now time.Time) []Envelope {
	if len(s.relays) >= maxRelays {
		return nil
	}
	number := s.number()
	s.relays = append(s.relays, relay{
		number:      number,
		askedNumber: message.SeqNo,
		target:      message.Target,
		replyTo:     message.ReplyAddress,
		expires:     now.Add(s.config.ProbePeriod),
	})
	return []Envelope{s.envelope(message.TargetAddress, Message{Kind: Ping, SeqNo: number, Target: message.Target})}
}

func (s *State) stepIndirectAck(message *Message) {
	if s.probe != nil && s.probe.number == message.SeqNo && s.probe.target == message.Target {
		s.probe.indirect = true
	}
}

func (s *State) number() uint64 {
	s.lastNumber++
	return s.lastNumber
}

// pick returns up to n random members other than this one that satisfy want.
func (s *State) pick(n int, want func(*Member) bool) []*Member {
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
