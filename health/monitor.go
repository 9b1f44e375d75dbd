package health

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Parameters of the monitor and of its messages to the permit owner.
const (
	reportInterval    = time.Second
	minReportInterval = 100 * time.Millisecond
	// permitRetryInterval is the time from a denial to the next permit request. A request
	// without a reply is repeated only after grantTimeout, since only the reply to the
	// last request counts.
	permitRetryInterval = 250 * time.Millisecond
	// minGoodOutcomes is the number of good outcomes (see Detector.End) since the last state
	// change that StatusHealthy requires.
	minGoodOutcomes = 3
	// grantTimeout is the time after a permit request within which a grant may still
	// start an ejection. A later grant is based on an outdated view of the service.
	grantTimeout = time.Second
	// minWeight is the weight during a trial and at the beginning of slow start, from 0 to
	// 1.
	minWeight = 0.1
)

// EjectionState is the state of a backend server in the ejection cycle.
type EjectionState uint8

const (
	// StateInService means that the server receives requests.
	StateInService EjectionState = iota
	// StateEjected means that the server receives no requests until its ejection time
	// ends.
	StateEjected
	// StateTrial means that the server receives one request at a time.
	StateTrial
)

// Action is an action that the caller of a Monitor must carry out.
type Action interface{ isAction() }

// SendReport sends a report to the owner of the service's shard.
type SendReport struct{ Report Report }

// RequestPermit requests a permit, or the renewal of one, from the owner.
type RequestPermit struct{ Request PermitRequest }

// ReleasePermit releases a permit.
type ReleasePermit struct{ ID PermitRequestID }

// StateChanged announces a state change of the server, for logs and gossip.
type StateChanged struct{ From, To EjectionState }

func (SendReport) isAction()    {}
func (RequestPermit) isAction() {}
func (ReleasePermit) isAction() {}
func (StateChanged) isAction()  {}

// Monitor monitors one backend server from the proxy beside it. Its caller calls Begin
// and End for each request and Tick every few tens of milliseconds, passes on the owner's
// replies, and carries out the returned actions.
//
// Invariant: the state is StateEjected or StateTrial only while a permit is valid, where
// the permit's TTL counts from the time of the request.
type Monitor struct {
	server   fleetconfig.BackendServerID
	instance fleetconfig.InstanceID
	slots    uint32
	// withheld is the number of slots that stay unused because of an advertised rate.
	withheld uint32
	policy   Policy
	detector *Detector
	state    EjectionState
	draining bool
	// evacuated says that the server's failure domain is evacuated.
	evacuated bool

	incarnation     uint64
	reportSequence  uint64
	echo            OwnerTimestamp
	reportedAt      time.Time
	reportedStatus  Status
	requestSequence uint64
	lastRequest     PermitRequest
	lastRequestAt   time.Time
	requestPending  bool
	permitID        PermitRequestID
	permitExpires   time.Time

	backoff        backoff
	ejectedUntil   time.Time
	trialInFlight  bool
	trialToken     Token
	trialSuccesses int
	inServiceSince time.Time
	warmUpEndsAt   time.Time
	goodOutcomes   int
	nextRequestAt  time.Time
}

// NewMonitor returns the monitor of a backend server that has just been announced. The
// incarnation must differ from that of every earlier monitor of the server, and should be
// higher, since the owner ignores reports of lower incarnations.
func NewMonitor(instance fleetconfig.InstanceID, server fleetconfig.BackendServerID, slots uint32, policy Policy, incarnation uint64, now time.Time) *Monitor {
	return &Monitor{
		server:         server,
		instance:       instance,
		slots:          slots,
		policy:         policy,
		detector:       NewDetector(policy.ServerDaysPerFalseEjection, policy.SlowStart, now),
		incarnation:    incarnation,
		inServiceSince: now,
	}
}

// SetPolicy changes the policy. It may be called while requests are in flight. If the new
// policy disables ejection, an ejection in progress lasts until its ejection time ends,
// and a trial follows.
func (m *Monitor) SetPolicy(policy Policy) {
	m.policy = policy
	m.detector.serverDaysPerFalseEjection = policy.ServerDaysPerFalseEjection
}

// SetSlots changes the number of slots, and how many of them stay unused because of the
// rate that the server advertises.
func (m *Monitor) SetSlots(slots, withheld uint32) { m.slots, m.withheld = slots, withheld }

// SetWarmAt sets the end of the server's warm-up, as announced by the server. It may be
// in the past: a server that is new to this instance may have been running for long.
func (m *Monitor) SetWarmAt(warmUpEndsAt time.Time) { m.warmUpEndsAt = warmUpEndsAt }

// SetDraining records that the server is draining.
func (m *Monitor) SetDraining() { m.draining = true }

// SetEvacuated records whether the server's failure domain is evacuated. An evacuated server is
// not ejected, since it gets no requests. When the evacuation ends, the server starts slowly, as
// after an ejection: it may have become cold in the meantime.
func (m *Monitor) SetEvacuated(evacuated bool, now time.Time) {
	if m.evacuated && !evacuated && m.state == StateInService {
		m.inServiceSince = now
		m.goodOutcomes = 0
		if !m.warmUpEndsAt.After(now) {
			m.warmUpEndsAt = time.Time{}
		}
	}
	m.evacuated = evacuated
}

// SetEndpointHealth records whether the server's health endpoint reports it healthy.
func (m *Monitor) SetEndpointHealth(healthy bool) { m.detector.SetEndpointHealth(healthy) }

// State returns the ejection state of the server.
func (m *Monitor) State() EjectionState { return m.state }

// Detector returns the detector, for reports and metrics.
func (m *Monitor) Detector() *Detector { return m.detector }

// Admits reports whether a new request may be sent to the server. In StateTrial only one
// request may be in flight.
func (m *Monitor) Admits() bool {
	switch {
	case m.draining || m.state == StateEjected:
		return false
	case m.state == StateTrial:
		return !m.trialInFlight
	default:
		return true
	}
}

// Weight returns the load that the server should receive as a share of its full load,
// from 0 to 1. The weight grows linearly during slow start.
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
	share := float64(now.Sub(m.inServiceSince)) / float64(length)
	return min(1, max(minWeight, share))
}

// slowStart returns the length of the current slow start: the warm-up that the server
// announced after its start. If the server announced none, or after an ejection or an
// evacuation, it is Policy.SlowStart.
func (m *Monitor) slowStart() time.Duration {
	if m.warmUpEndsAt.IsZero() {
		return m.policy.SlowStart
	}
	return m.warmUpEndsAt.Sub(m.inServiceSince)
}

// Begin records that a request was sent to the server.
func (m *Monitor) Begin(account fleetconfig.AccountID, deadline, now time.Time) Token {
	token := m.detector.Begin(account, deadline, now)
	if m.state == StateTrial && !m.trialInFlight {
		m.trialInFlight = true
		m.trialToken = token
	}
	return token
}

// End records the result of a request.
func (m *Monitor) End(token Token, result Result, now time.Time) {
	good := m.detector.End(token, result, now)
	if good {
		m.goodOutcomes++
	}
	if !m.trialInFlight || token != m.trialToken {
		return
	}
	m.trialInFlight = false
	if good {
		m.trialSuccesses++
	}
}

// Status returns the monitor's assessment of its server.
func (m *Monitor) Status() Status {
	switch {
	case m.draining || m.evacuated:
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

// Tick advances the state and returns the actions to carry out.
func (m *Monitor) Tick(now time.Time) []Action {
	m.detector.Tick(now)
	var actions []Action
	if m.state == StateInService {
		actions = m.tickInService(now, actions)
	} else {
		actions = m.tickOutOfService(now, actions)
	}
	return m.appendReport(now, actions)
}

func (m *Monitor) tickInService(now time.Time, actions []Action) []Action {
	if !m.policy.EjectionEnabled || m.draining || m.evacuated || !m.detector.Alarm() {
		return actions
	}
	return m.requestPermit(now, actions)
}

// tickOutOfService begins the trial after the ejection time, ends the trial with a return
// to service or another ejection, and renews the permit. It checks the permit first: a
// monitor whose process was paused until after the permit expired must return the server
// to service before it does anything else.
func (m *Monitor) tickOutOfService(now time.Time, actions []Action) []Action {
	if !now.Before(m.permitExpires) {
		return m.transition(StateInService, now, actions)
	}
	if m.draining {
		return m.returnToService(now, actions)
	}
	if m.state == StateEjected && !now.Before(m.ejectedUntil) {
		m.detector.Reset()
		actions = m.transition(StateTrial, now, actions)
	}
	if m.state == StateTrial && m.detector.Suspect() {
		m.ejectedUntil = now.Add(m.backoff.nextDuration(&m.policy, now))
		actions = m.transition(StateEjected, now, actions)
	}
	if m.state == StateTrial && m.trialSuccesses >= m.policy.TrialRequests {
		return m.returnToService(now, actions)
	}
	if m.permitExpires.Sub(now) < m.policy.PermitTTL/2 {
		actions = m.requestPermit(now, actions)
	}
	return actions
}

func (m *Monitor) returnToService(now time.Time, actions []Action) []Action {
	actions = append(actions, ReleasePermit{ID: m.permitID})
	return m.transition(StateInService, now, actions)
}

func (m *Monitor) transition(state EjectionState, now time.Time, actions []Action) []Action {
	actions = append(actions, StateChanged{From: m.state, To: state})
	m.state = state
	m.goodOutcomes, m.trialSuccesses = 0, 0
	m.trialInFlight = false
	if state == StateInService {
		m.inServiceSince = now
		m.warmUpEndsAt = time.Time{}
		m.requestPending = false
	}
	return actions
}

// HandleReportReply records the owner's reply to a report.
func (m *Monitor) HandleReportReply(reply ReportReply) {
	m.echo = reply.Timestamp
	m.detector.SetBaseline(reply.Baseline)
}

// appendReport appends a report every reportInterval, and after minReportInterval if the
// status has changed.
func (m *Monitor) appendReport(now time.Time, actions []Action) []Action {
	status := m.Status()
	since := now.Sub(m.reportedAt)
	if since < minReportInterval || (since < reportInterval && status == m.reportedStatus) {
		return actions
	}
	m.reportedAt = now
	m.reportedStatus = status
	m.reportSequence++
	return append(actions, SendReport{Report: Report{
		Instance:    m.instance,
		Server:      m.server,
		Incarnation: m.incarnation,
		Sequence:    m.reportSequence,
		Slots:       m.slots,
		Withheld:    m.withheld,
		Status:      status,
		Severity:    m.detector.Severity(),
		Echo:        m.echo,
		Summary:     m.detector.Summary(now),
	}})
}
