package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Config sets the pace of a State.
type Config struct {
	// ProbePeriod is how often another instance is probed. Default 1 s.
	ProbePeriod time.Duration
	// AckTimeout is how long a direct answer may take before others are asked to
	// probe. Default 300 ms.
	AckTimeout time.Duration
	// SuspicionPeriods is how many probe periods a suspect has to refute, times
	// the logarithm of the fleet's size. Default 3.
	SuspicionPeriods int
	// IndirectProbes is how many others are asked to probe. Default 3.
	IndirectProbes int
	// DeadMemberRetention is how long a dead or left instance is remembered. Default 2 h.
	DeadMemberRetention time.Duration
}

// Defaults of Config.
const (
	DefaultProbePeriod         = time.Second
	DefaultAckTimeout          = 300 * time.Millisecond
	DefaultSuspicionPeriods    = 3
	DefaultIndirectProbes      = 3
	DefaultDeadMemberRetention = 2 * time.Hour
)

// WithDefaults returns the configuration with defaults in place of zeros.
func (c Config) WithDefaults() Config {
	c.ProbePeriod = cmp.Or(c.ProbePeriod, DefaultProbePeriod)
	c.AckTimeout = cmp.Or(c.AckTimeout, DefaultAckTimeout)
	c.SuspicionPeriods = cmp.Or(c.SuspicionPeriods, DefaultSuspicionPeriods)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, DefaultIndirectProbes)
	c.DeadMemberRetention = cmp.Or(c.DeadMemberRetention, DefaultDeadMemberRetention)
	return c
}

// Member is another instance, or this one, as this instance sees it.
type Member struct {
	// Record is the newest record known.
	Record Record
	// Liveness is this instance's view.
	Liveness Liveness
	// Path says whether this instance reaches it directly.
	Path PathState
	// LivenessChangedAt is when Liveness last changed.
	LivenessChangedAt time.Time

	// transmissions counts how often the record was spread.
	transmissions int
}

// Usable reports whether work may be sent to the member.
func (m *Member) Usable() bool {
	return m.Liveness != Dead && !m.Record.Left && !m.Record.Draining && m.Path == PathDirect
}

// State is the membership of one instance. It is not safe for concurrent use.
type State struct {
	config  Config
	self    fleetconfig.InstanceID
	seeds   []string
	random  *rand.Rand
	members map[fleetconfig.InstanceID]*Member
	changed bool

	order      []fleetconfig.InstanceID
	nextProbe  time.Time
	lastNumber uint64
	probe      *probe
	relays     []relay
}

// New returns the state of an instance that knows only itself and the addresses
// of a few peers. The incarnation of self must be greater than in each earlier
// start.
func New(config Config, self Record, seeds []string, random *rand.Rand, now time.Time) *State {
	state := &State{
		config:    config.WithDefaults(),
		self:      self.ID,
		seeds:     slices.Clone(seeds),
		random:    random,
		members:   make(map[fleetconfig.InstanceID]*Member),
		nextProbe: now,
		changed:   true,
	}
	state.members[self.ID] = &Member{Record: self, LivenessChangedAt: now}
	return state
}

// SetSeeds replaces the addresses of peers to join.
func (s *State) SetSeeds(seeds []string) { s.seeds = slices.Clone(seeds) }

// Self returns this instance's own record.
func (s *State) Self() Record { return s.members[s.self].Record }

// Members returns all known members, this instance among them, ordered by ID.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.members))
	for _, member := range s.members {
		members = append(members, *member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Record.ID, b.Record.ID) })
	return members
}

// TakeChanged reports whether a member has changed since the last call.
func (s *State) TakeChanged() bool {
	changed := s.changed
	s.changed = false
	return changed
}

// SetServers replaces the backend servers of this instance's record.
func (s *State) SetServers(servers []Server) {
	s.updateSelf(func(record *Record) { record.Servers = servers })
}

// SetDraining marks this instance as stopping.
func (s *State) SetDraining() {
	s.updateSelf(func(record *Record) { record.Draining = true })
}

// Leave marks this instance as gone on purpose and returns the farewell to send.
func (s *State) Leave() []Envelope {
	s.updateSelf(func(record *Record) { record.Left = true })
	targets := s.pick(s.config.IndirectProbes, func(m *Member) bool { return m.Liveness == Alive })
	envelopes := make([]Envelope, 0, len(targets))
	for _, target := range targets {
		envelopes = append(envelopes, s.envelope(target.Record.Address, Message{Kind: Ping, SeqNo: s.number()}))
	}
	return envelopes
}

func (s *State) updateSelf(change func(*Record)) {
	member := s.members[s.self]
	change(&member.Record)
	member.Record.Sequence++
	member.transmissions = 0
	s.changed = true
}

// merge takes an update in. The newest record wins; of two views of the same
// record the worse one wins, and only its own instance can refute it, by a new
// record.
func (s *State) merge(update Update, now time.Time) {
	if update.Record.ID == s.self {
		s.refute(update)
		return
	}
	member := s.members[update.Record.ID]
	if member == nil {
		if update.Record.ID == "" || update.Liveness == Dead || update.Record.Left {
			return
		}
		s.members[update.Record.ID] = &Member{Record: update.Record, Liveness: update.Liveness, LivenessChangedAt: now}
		s.changed = true
		return
	}
	switch {
	case update.Record.newerThan(&member.Record):
		member.Record = update.Record
		s.setLiveness(member, update.Liveness, now)
		member.transmissions = 0
		s.changed = true
	case member.Record.newerThan(&update.Record):
		// The update is older than what is known.
	case update.Liveness > member.Liveness:
		s.setLiveness(member, update.Liveness, now)
	}
}

// refute answers a doubt about this instance with a newer record. A record of a
// later incarnation than its own belongs to an instance that uses the same id.
func (s *State) refute(update Update) {
	member := s.members[s.self]
	own := &member.Record
	doubted := update.Liveness != Alive || (update.Record.Left && !own.Left)
	ahead := update.Record.newerThan(own)
	if !ahead && (!doubted || own.newerThan(&update.Record)) {
		return
	}
	if update.Record.Incarnation >= own.Incarnation && ahead {
		own.Incarnation = update.Record.Incarnation
		own.Sequence = update.Record.Sequence
	}
	s.updateSelf(func(*Record) {})
}

func (s *State) setLiveness(member *Member, liveness Liveness, now time.Time) {
	if member.Liveness == liveness {
		return
	}
	member.Liveness = liveness
	member.LivenessChangedAt = now
	member.transmissions = 0
	s.changed = true
}

func (s *State) setPath(member *Member, path PathState) {
	if member.Path != path {
		member.Path = path
		s.changed = true
	}
}

// expire turns suspicions that ran out into deaths and forgets old ones.
func (s *State) expire(now time.Time) {
	for id, member := range s.members {
		if id == s.self {
			continue
		}
		age := now.Sub(member.LivenessChangedAt)
		switch {
		case member.Liveness == Suspect && age >= s.suspicionTimeout():
			s.setLiveness(member, Dead, now)
		case (member.Liveness == Dead || member.Record.Left) && age >= s.config.DeadMemberRetention:
			delete(s.members, id)
			s.changed = true
		}
	}
}

func (s *State) suspicionTimeout() time.Duration {
	factor := s.config.SuspicionPeriods * max(1, log10Ceil(len(s.members)))
	return time.Duration(factor) * s.config.ProbePeriod
}

// log10Ceil returns the number of decimal digits of n.
func log10Ceil(n int) int {
	digits := 1
	for n >= 10 {
		n /= 10
		digits++
	}
	return digits
}
