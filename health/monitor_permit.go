package health

import "time"

// requestPermit requests a permit or its renewal, unless the last request or denial is
// too recent.
func (m *Monitor) requestPermit(now time.Time, actions []Action) []Action {
	if now.Before(m.nextRequestAt) {
		return actions
	}
	m.requestSequence++
	m.lastRequest = PermitRequest{
		ID:                 PermitRequestID{Incarnation: m.incarnation, Sequence: m.requestSequence},
		Instance:           m.instance,
		Server:             m.server,
		Severity:           m.detector.Severity(),
		Renewal:            m.state != StateInService,
		BaselineGeneration: m.detector.baseline.Generation,
	}
	m.lastRequestAt = now
	m.requestPending = true
	m.nextRequestAt = now.Add(grantTimeout)
	return append(actions, RequestPermit{Request: m.lastRequest})
}

// HandleGrant records a granted permit. Only the reply to the last request counts, and
// the permit's TTL counts from the time of that request. A grant that may no longer start
// an ejection, because it is late, the alarm has cleared or the server is draining, is
// released.
func (m *Monitor) HandleGrant(id PermitRequestID, now time.Time) []Action {
	if !m.requestPending || id != m.lastRequest.ID {
		return nil
	}
	m.requestPending = false
	expires := m.lastRequestAt.Add(m.policy.PermitTTL)
	if !now.Before(expires) {
		return nil
	}
	if m.state != StateInService {
		m.permitID, m.permitExpires = id, expires
		return nil
	}
	if now.Sub(m.lastRequestAt) > grantTimeout || !m.detector.Alarm() || m.draining || m.evacuated {
		return []Action{ReleasePermit{ID: id}}
	}
	m.permitID, m.permitExpires = id, expires
	m.ejectedUntil = now.Add(m.backoff.nextDuration(&m.policy, now))
	return m.transition(StateEjected, now, nil)
}

// HandleDenial records that the owner denied a permit. A denied renewal returns the
// server to service immediately, unless the owner has only just started or the request is
// stale: the permit then stays valid until it expires.
func (m *Monitor) HandleDenial(id PermitRequestID, reason DenialReason, now time.Time) []Action {
	if !m.requestPending || id != m.lastRequest.ID {
		return nil
	}
	m.requestPending = false
	m.nextRequestAt = now.Add(permitRetryInterval)
	if m.state == StateInService || reason == ReasonStarting || reason == ReasonStale {
		return nil
	}
	return m.returnToService(now, nil)
}
