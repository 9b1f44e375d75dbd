package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Config holds the timing and the limits of the protocol.
type Config struct {
	// ProbePeriod is the time between probes. Default 1 s.
	ProbePeriod time.Duration
	// AckTimeout is the time to wait for a direct answer before other instances
	// are asked to probe. Default 300 ms.
	AckTimeout time.Duration
	// SuspicionPeriods is the number of probe periods that a suspected instance
	// has to refute the suspicion, per decimal digit of the fleet's size. Default 3.
	SuspicionPeriods int
	// IndirectProbes is the number of other instances that are asked to probe.
	// Default 3.
	IndirectProbes int
	// DeadMemberRetention is how long a dead or left instance is kept after its
	// liveness last changed. Default 2 h.
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

// WithDefaults returns the configuration with zero values replaced by defaults.
func (c Config) WithDefaults() Config {
	c.ProbePeriod = cmp.Or(c.ProbePeriod, DefaultProbePeriod)
	c.AckTimeout = cmp.Or(c.AckTimeout, DefaultAckTimeout)
	c.SuspicionPeriods = cmp.Or(c.SuspicionPeriods, DefaultSuspicionPeriods)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, DefaultIndirectProbes)
	c.DeadMemberRetention = cmp.Or(c.DeadMemberRetention, DefaultDeadMemberRetention)
	return c
}

// Member is this instance's view of another instance or of itself.
type Member struct {
	// Record is the newest record known.
	Record Record
	// Liveness is this instance's view of the member.
	Liveness Liveness
	// Path tells whether this instance reaches the member directly.
	Path PathState
	// LivenessChangedAt is when Liveness last changed.
	LivenessChangedAt time.Time

	// leftAt is when this instance learned that the member has left, or zero.
	leftAt time.Time
	// transmissions counts how often the record has been sent since updatedAt, when it or
	// Liveness last changed. settled says that other failure domains know it, see settle.
	transmissions int
	updatedAt     time.Time
	settled       bool
	uptime        uptime
}

// Usable reports whether work may be sent to the member.
func (m *Member) Usable() bool {
	return m.Liveness != Dead && !m.Record.Left && !m.Record.Draining && m.Path == PathDirect
}

// beginTransmissions is called when the record or Liveness changes.
func (m *Member) beginTransmissions(now time.Time) {
	m.transmissions, m.updatedAt, m.settled = 0, now, false
}

// State is one instance's view of the fleet's membership. It is not safe for
// concurrent use.
type State struct {
	config  Config
	self    fleetconfig.InstanceID
	seeds   []string
	random  *rand.Rand
	members map[fleetconfig.InstanceID]*Member
	changed bool
	// incarnation is that of this process, which started at startedAt.
	incarnation uint64
	startedAt   time.Time
	// lastEventAt is the time of the latest event.
	lastEventAt time.Time

	probeOrder []fleetconfig.InstanceID
	nextProbe  time.Time
	lastSeqNo  uint64
	probe      *probe
	relays     []relay
	// withheldReports is how many of the next load reports to each failure domain the last
	// relayed one replaces.
	withheldReports map[fleetconfig.FailureDomain]int
}

// New returns the state of an instance that knows only itself and the addresses of
// some seeds. The incarnation in self must be greater than in each earlier start
// of the instance.
func New(config Config, self Record, seeds []string, random *rand.Rand, now time.Time) *State {
	state := &State{
		config:    config.WithDefaults(),
		self:      self.ID,
		seeds:     slices.Clone(seeds),
		random:    random,
		members:   make(map[fleetconfig.InstanceID]*Member),
		nextProbe: now,
		changed:   true,

		incarnation: self.Incarnation,
		startedAt:   now,
		lastEventAt: now,

		withheldReports: make(map[fleetconfig.FailureDomain]int),
	}
	state.members[self.ID] = &Member{Record: self, LivenessChangedAt: now, updatedAt: now}
	return state
}

// SetSeeds replaces the addresses of the instances through which this one joins
// the fleet.
func (s *State) SetSeeds(seeds []string) { s.seeds = slices.Clone(seeds) }

// Self returns this instance's own record.
func (s *State) Self() Record { return s.members[s.self].Record }

// Members returns all known members, including this instance, ordered by ID.
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

// SetServers replaces the backend servers in this instance's record.
func (s *State) SetServers(servers []Server) {
	s.updateSelf(func(record *Record) { record.Servers = servers })
}

// SetDraining announces that this instance is stopping and accepts no new work.
func (s *State) SetDraining() {
	s.updateSelf(func(record *Record) { record.Draining = true })
}

// Leave announces that this instance leaves the fleet intentionally, and returns
// the messages that carry the announcement.
func (s *State) Leave() []Envelope {
	s.updateSelf(func(record *Record) { record.Left = true })
	targets := s.randomMembers(s.config.IndirectProbes, func(m *Member) bool { return m.Liveness == Alive })
	envelopes := make([]Envelope, 0, len(targets))
	for _, target := range targets {
		envelopes = append(envelopes, s.newEnvelope(target.Record.Address, Message{Kind: Ping, SeqNo: s.nextSeqNo()}))
	}
	return envelopes
}

func (s *State) updateSelf(change func(*Record)) {
	member := s.members[s.self]
	change(&member.Record)
	member.Record.Sequence++
	member.beginTransmissions(s.lastEventAt)
	s.changed = true
}

// mergeUpdate merges one update into the state. The newest record wins. Between
// two views of the same record, the worse liveness wins. Only the instance that the
// record describes can refute that liveness, by a new record.
func (s *State) mergeUpdate(update Update, now time.Time) {
	defer s.observeUptime(&update, now)
	if update.Record.ID == s.self {
		s.refute(update)
		return
	}
	member := s.members[update.Record.ID]
	if member == nil {
		if update.Record.ID == "" || update.Liveness == Dead || update.Record.Left {
			return
		}
		s.members[update.Record.ID] = &Member{Record: update.Record, Liveness: update.Liveness, LivenessChangedAt: now, updatedAt: now}
		s.changed = true
		return
	}
	switch {
	case update.Record.newerThan(&member.Record):
		switch {
		case !update.Record.Left:
			member.leftAt = time.Time{}
		case !member.Record.Left:
			member.leftAt = now
		}
		member.Record = update.Record
		s.setLiveness(member, update.Liveness, now)
		member.beginTransmissions(now)
		s.changed = true
	case member.Record.newerThan(&update.Record):
		// The update is older than the known record.
	case update.Liveness > member.Liveness:
		s.setLiveness(member, update.Liveness, now)
	}
}

// refute answers a suspicion of this instance with a newer record. If another
// instance uses the same ID, a received record with that ID can be newer than the
// record that this instance holds; refute supersedes such a record, too.
func (s *State) refute(update Update) {
	member := s.members[s.self]
	own := &member.Record
	suspected := update.Liveness != Alive || (update.Record.Left && !own.Left)
	newer := update.Record.newerThan(own)
	if !newer && (!suspected || own.newerThan(&update.Record)) {
		return
	}
	if newer {
		if other := update.Record.Incarnation; other > own.Incarnation {
			// Uptimes are known by incarnation, so the other process's one is left to it.
			own.Incarnation = max(other, other+1)
		}
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
	member.beginTransmissions(now)
	s.changed = true
}

func (s *State) setPath(member *Member, path PathState) {
	if member.Path != path {
		member.Path = path
		s.changed = true
	}
}

// expire declares an instance dead when the suspicion of it has timed out. It
// removes instances that have been dead or have left for DeadMemberRetention. Until then
// their records keep older ones of the same instances from being accepted.
func (s *State) expire(now time.Time) {
	for id, member := range s.members {
		if id == s.self {
			continue
		}
		age := now.Sub(member.LivenessChangedAt)
		if !member.leftAt.IsZero() {
			age = min(age, now.Sub(member.leftAt))
		}
		switch {
		case member.Liveness == Suspect && now.Sub(member.LivenessChangedAt) >= s.suspicionTimeout():
			s.setLiveness(member, Dead, now)
		case (member.Liveness == Dead || member.Record.Left) && age >= s.config.DeadMemberRetention:
			delete(s.members, id)
			s.changed = true
		}
	}
}

func (s *State) suspicionTimeout() time.Duration {
	factor := s.config.SuspicionPeriods * max(1, decimalDigits(len(s.members)))
	return time.Duration(factor) * s.config.ProbePeriod
}

// decimalDigits returns the number of decimal digits of n.
func decimalDigits(n int) int {
	digits := 1
	for n >= 10 {
		n /= 10
		digits++
	}
	return digits
}
