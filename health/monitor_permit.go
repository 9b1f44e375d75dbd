package health

import "time"

// ask asks for a permit or the renewal of one, unless the last ask or refusal is
// too recent.
func (m *Monitor) ask(now time.Time, actions []Action) []Action {
	if now.Before(m.askNotBefore) {
		return actions
	}
	m.asks++
	m.asked = PermitRequest{
		ID:                 PermitRequestID{Incarnation: m.incarnation, Sequence: m.asks},
		Instance:           m.instance,
		Server:             m.server,
		Severity:           m.detector.Severity(),
		Renewal:            m.state != StateInService,
		BaselineGeneration: m.detector.baseline.Generation,
	}
	m.askedAt = now
	m.pending = true
	m.askNotBefore = now.Add(grantLife)
	return append(actions, RequestPermit{Request: m.asked})
}

// HandleGrant records the owner's permit. Only the answer to the last ask counts,
// and its life counts from when it was asked for. A permit that comes too late to
// begin an ejection is given back.
func (m *Monitor) HandleGrant(id PermitRequestID, now time.Time) []Action {
	if !m.pending || id != m.asked.ID {
		return nil
	}
	m.pending = false
	expires := m.askedAt.Add(m.policy.PermitTTL)
	if !now.Before(expires) {
		return nil
	}
	if m.state != StateInService {
		m.permit, m.permitExpires = id, expires
		return nil
	}
	if now.Sub(m.askedAt) > grantLife || !m.detector.Alarm() || m.draining {
		return []Action{ReleasePermit{ID: id}}
	}
	m.permit, m.permitExpires = id, expires
	m.holdUntil = now.Add(m.hold.next(&m.policy, now))
	return m.enter(StateEjected, now, nil)
}

// HandleDenial records that the owner refused a permit. A refused renewal returns the
// server to service at once, unless the owner has only just started: then the
// permit runs out by itself.
func (m *Monitor) HandleDenial(id PermitRequestID, reason DenialReason, now time.Time) []Action {
	if !m.pending || id != m.asked.ID {
		return nil
	}
	m.pending = false
	m.askNotBefore = now.Add(askInterval)
	m.refusedReason = reason
	if m.state == StateInService || reason == ReasonStarting || reason == ReasonStale {
		return nil
	}
	return m.release(now, nil)
}
