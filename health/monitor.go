package health

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Intervals of the monitor's messages to the permit owner.
const (
	reportInterval    = time.Second
	minReportInterval = 100 * time.Millisecond
	// askInterval is the time from a refusal to the next ask. An ask without an
	// answer is repeated after grantLife only, since just the answer to the last
	// one counts.
	askInterval = 250 * time.Millisecond
	// minGoodOutcomes is how many good outcomes make a server positively believed
	// healthy.
	minGoodOutcomes = 3
	// grantLife is how long after the ask a grant may still begin an ejection. A
	// later one rests on a view of the service that is too old.
	grantLife = time.Second
	// minWeight is the weight at the start of a slow start, from 0 to 1.
	minWeight = 0.1
)

// EjectionState is where a backend server stands in the cycle of ejection and return.
type EjectionState uint8

const (
	// StateInService means that the server takes requests.
	StateInService EjectionState = iota
	// StateEjected means that the server takes no requests until its hold ends.
	StateEjected
	// StateTrial means that the server takes one request at a time.
	StateTrial
)

// Action is what the driver of a Monitor must do.
type Action interface{ isAction() }

// SendReport sends a report to the owner of the service's shard.
type SendReport struct{ Report Report }

// RequestPermit asks the owner for a permit, or for the renewal of one.
type RequestPermit struct{ Request PermitRequest }

// ReleasePermit gives a permit back.
type ReleasePermit struct{ ID PermitRequestID }

// StateChanged tells that the server's state changed, for logs and gossip.
type StateChanged struct{ From, To EjectionState }

func (SendReport) isAction()    {}
func (RequestPermit) isAction() {}
func (ReleasePermit) isAction() {}
func (StateChanged) isAction()  {}

// Monitor watches one backend server from the proxy beside it. Its driver calls
// Begin and End for each request, Tick every few tens of milliseconds, passes on
// the owner's answers, and carries out the returned actions.
//
// Invariant: the state is StateEjected or StateTrial only while a permit is
// live, counted from when it was asked for.
type Monitor struct {
	server   fleetconfig.BackendServerID
	instance fleetconfig.InstanceID
	slots    uint32
	policy   Policy
	detector *Detector
	state    EjectionState
	draining bool

	incarnation   uint64
	reports       uint64
	echo          OwnerTimestamp
	lastReport    time.Time
	reported      Status
	asks          uint64
	asked         PermitRequest
	askedAt       time.Time
	pending       bool
	permit        PermitRequestID
	permitExpires time.Time

	hold          hold
	holdUntil     time.Time
	trialRunning  bool
	trialToken    Token
	trialGood     int
	returnedAt    time.Time
	warmAt        time.Time
	goodOutcomes  int
	askNotBefore  time.Time
	refusedReason DenialReason
}

// NewMonitor returns the monitor of a backend server that has announced itself
// now. The incarnation differs from that of every earlier monitor of the server.
func NewMonitor(instance fleetconfig.InstanceID, server fleetconfig.BackendServerID, slots uint32, policy Policy, incarnation uint64, now time.Time) *Monitor {
	return &Monitor{
		server:      server,
		instance:    instance,
		slots:       slots,
		policy:      policy,
		detector:    NewDetector(policy.ServerDaysPerFalseEjection, policy.SlowStart, now),
		incarnation: incarnation,
		returnedAt:  now,
	}
}

// SetPolicy changes the policy while requests run. An ejection that has begun
// ends by its hold also when new ones are turned off.
func (m *Monitor) SetPolicy(policy Policy) {
	m.policy = policy
	m.detector.serverDays = policy.ServerDaysPerFalseEjection
}

// SetSlots changes the number of slots.
func (m *Monitor) SetSlots(slots uint32) { m.slots = slots }

// SetWarmAt takes in until when the server is slow after its start, by its own word.
// A server that only this instance has just heard of may have been warm for long.
func (m *Monitor) SetWarmAt(warmAt time.Time) { m.warmAt = warmAt }

// SetDraining records that the server is leaving.
func (m *Monitor) SetDraining() { m.draining = true }

// SetEndpointHealth tells what the server's health endpoint says of itself.
func (m *Monitor) SetEndpointHealth(healthy bool) { m.detector.SetEndpointHealth(healthy) }

// State returns the state of the server.
func (m *Monitor) State() EjectionState { return m.state }

// Detector returns the detector, for reports and metrics.
func (m *Monitor) Detector() *Detector { return m.detector }

// LastDenial returns why the owner refused the last permit.
func (m *Monitor) LastDenial() DenialReason { return m.refusedReason }

// Admits reports whether a new request may be sent to the server. A server in
// trial takes one request at a time.
func (m *Monitor) Admits() bool {
	switch {
	case m.draining || m.state == StateEjected:
		return false
	case m.state == StateTrial:
		return !m.trialRunning
	default:
		return true
	}
}

// Weight returns the share of its full load, from 0 to 1, that the server should
// get: it grows linearly over the slow start.
func (m *Monitor) Weight(now time.Time) float64 {
	switch m.state {
	case StateEjected:
		return 0
	case StateTrial:
		return minWeight
	}
	length := m.slowStart()
	if length <= 0 {
		return 1
	}
	share := float64(now.Sub(m.returnedAt)) / float64(length)
	return min(1, max(minWeight, share))
}

// slowStart returns how long the present slow start takes: as long as the server says
// after its start, by the policy after an ejection and where it has said nothing.
func (m *Monitor) slowStart() time.Duration {
	if m.warmAt.IsZero() {
		return m.policy.SlowStart
	}
	return m.warmAt.Sub(m.returnedAt)
}

// Begin records that a request was sent to the server.
func (m *Monitor) Begin(account fleetconfig.AccountID, deadline, now time.Time) Token {
	token := m.detector.Begin(account, deadline, now)
	if m.state == StateTrial && !m.trialRunning {
		m.trialRunning = true
		m.trialToken = token
	}
	return token
}

// End records how a request ended.
func (m *Monitor) End(token Token, result Result, now time.Time) {
	good := m.detector.End(token, result, now)
	if good {
		m.goodOutcomes++
	}
	if !m.trialRunning || token != m.trialToken {
		return
	}
	m.trialRunning = false
	if good {
		m.trialGood++
	}
}

// Status returns what the monitor believes of its server.
func (m *Monitor) Status() Status {
	switch {
	case m.draining:
		return StatusDraining
	case m.state != StateInService:
		return StatusEjected
	case m.detector.Suspect():
		return StatusSuspect
	case m.goodOutcomes >= minGoodOutcomes:
		return StatusHealthy
	default:
		return StatusUnknown
	}
}

// Tick moves the state on and returns what to do.
func (m *Monitor) Tick(now time.Time) []Action {
	m.detector.Tick(now)
	var actions []Action
	if m.state == StateInService {
		actions = m.tickInService(now, actions)
	} else {
		actions = m.tickOut(now, actions)
	}
	return m.report(now, actions)
}

func (m *Monitor) tickInService(now time.Time, actions []Action) []Action {
	if !m.policy.EjectionEnabled || m.draining || !m.detector.Alarm() {
		return actions
	}
	return m.ask(now, actions)
}

// tickOut ends the hold or the trial. The permit is checked first: a monitor
// that was frozen past its permit returns to service before anything else.
func (m *Monitor) tickOut(now time.Time, actions []Action) []Action {
	if !now.Before(m.permitExpires) {
		return m.enter(StateInService, now, actions)
	}
	if m.draining {
		return m.release(now, actions)
	}
	if m.state == StateEjected && !now.Before(m.holdUntil) {
		m.detector.Reset()
		actions = m.enter(StateTrial, now, actions)
	}
	if m.state == StateTrial && m.detector.Suspect() {
		m.holdUntil = now.Add(m.hold.next(&m.policy, now))
		actions = m.enter(StateEjected, now, actions)
	}
	if m.state == StateTrial && m.trialGood >= m.policy.TrialRequests {
		return m.release(now, actions)
	}
	if m.permitExpires.Sub(now) < m.policy.PermitTTL/2 {
		actions = m.ask(now, actions)
	}
	return actions
}

func (m *Monitor) release(now time.Time, actions []Action) []Action {
	actions = append(actions, ReleasePermit{ID: m.permit})
	return m.enter(StateInService, now, actions)
}

func (m *Monitor) enter(state EjectionState, now time.Time, actions []Action) []Action {
	actions = append(actions, StateChanged{From: m.state, To: state})
	m.state = state
	m.goodOutcomes, m.trialGood = 0, 0
	m.trialRunning = false
	if state == StateInService {
		m.returnedAt = now
		m.warmAt = time.Time{}
		m.pending = false
	}
	return actions
}

// HandleReportReply records the owner's answer to a report.
func (m *Monitor) HandleReportReply(reply ReportReply) {
	m.echo = reply.Timestamp
	m.detector.SetBaseline(reply.Baseline)
}

// report adds a report each second, and at once when the standing changed.
func (m *Monitor) report(now time.Time, actions []Action) []Action {
	standing := m.Status()
	since := now.Sub(m.lastReport)
	if since < minReportInterval || (since < reportInterval && standing == m.reported) {
		return actions
	}
	m.lastReport = now
	m.reported = standing
	m.reports++
	return append(actions, SendReport{Report: Report{
		Instance:    m.instance,
		Server:      m.server,
		Incarnation: m.incarnation,
		Sequence:    m.reports,
		Slots:       m.slots,
		Status:      standing,
		Severity:    m.detector.Severity(),
		Echo:        m.echo,
		Summary:     m.detector.Summary(now),
	}})
}
