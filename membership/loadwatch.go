package membership

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// doubtfulPercent is the failure probability from which the proxy beside a server refuses
	// most requests (health.Breaker).
	doubtfulPercent = 30
	// announcedReports is how many reports in a row announce a change, since a datagram may be
	// lost and each reaches only some instances of a failure domain.
	announcedReports = 2
	// announceInterval is the minimum time between the announcements of one instance. It bounds
	// what a server whose state goes back and forth costs between failure domains.
	announceInterval = 2 * time.Second
)

// loadState is what a change of is announced: whether a server refuses requests.
type loadState struct{ doubtful, leaving, full bool }

func loadStateOf(load *ServerLoad) loadState {
	return loadState{
		doubtful: load.FailureProbabilityPercent >= doubtfulPercent,
		leaving:  load.Leaving,
		full:     load.Full || load.Overloaded,
	}
}

// LoadWatch decides which load reports of an instance are announced to all failure domains. The
// zero value has seen no server. It is not safe for concurrent use.
type LoadWatch struct {
	states map[fleetconfig.BackendServerID]loadState
	// pending says that a change has not been announced yet, left in how many more reports the
	// current announcement goes out.
	pending     bool
	left        int
	announcedAt time.Time
}

// Observe takes the loads of the next report, and reports whether to announce it.
func (w *LoadWatch) Observe(loads []ServerLoad, now time.Time) bool {
	states := make(map[fleetconfig.BackendServerID]loadState, len(loads))
	for i := range loads {
		state := loadStateOf(&loads[i])
		states[loads[i].Server] = state
		if last, known := w.states[loads[i].Server]; known && last != state {
			w.pending = true
		}
	}
	w.states = states
	if w.pending && w.left == 0 && (w.announcedAt.IsZero() || now.Sub(w.announcedAt) >= announceInterval) {
		w.pending, w.left, w.announcedAt = false, announcedReports, now
	}
	if w.left == 0 {
		return false
	}
	w.left--
	return true
}

// AnnounceLoads is like ReportLoads, but sends the report to one instance of each other failure
// domain, which relays it inside its domain (RelayLoads).
func (s *State) AnnounceLoads(loads []ServerLoad) []Envelope {
	if len(loads) == 0 {
		return nil
	}
	own := s.members[s.self].Record.FailureDomain
	report := Message{Kind: LoadReport, From: s.self, Loads: loads[:min(len(loads), maxReportedServers)]}
	envelopes := s.reportTo(&report, sameDomainReports, func(domain fleetconfig.FailureDomain) bool { return domain == own })
	report.Relay = true
	reached := map[fleetconfig.FailureDomain]bool{own: true}
	for _, member := range s.randomMembers(len(s.members), s.receivesLoads) {
		if domain := member.Record.FailureDomain; !reached[domain] {
			reached[domain] = true
			envelopes = append(envelopes, Envelope{Address: member.Record.Address, Message: report})
		}
	}
	return envelopes
}

// RelayLoads returns messages that pass an announced load report of another failure domain on
// inside this instance's own. They are not relayed again.
func (s *State) RelayLoads(report *Message) []Envelope {
	own := s.members[s.self].Record.FailureDomain
	if sender, known := s.members[report.From]; !report.Relay || !known || sender.Record.FailureDomain == own {
		return nil
	}
	relayed := Message{Kind: LoadReport, From: report.From, Loads: report.Loads}
	return s.reportTo(&relayed, sameDomainReports, func(domain fleetconfig.FailureDomain) bool { return domain == own })
}

// reportTo returns envelopes with a load report to at most n random proxies of the domains that
// accept permits.
func (s *State) reportTo(report *Message, n int, accept func(fleetconfig.FailureDomain) bool) []Envelope {
	var envelopes []Envelope
	receivers := s.randomMembers(n, func(m *Member) bool { return s.receivesLoads(m) && accept(m.Record.FailureDomain) })
	for _, receiver := range receivers {
		envelopes = append(envelopes, Envelope{Address: receiver.Record.Address, Message: *report})
	}
	return envelopes
}

// receivesLoads reports whether load reports are sent to the member.
func (s *State) receivesLoads(m *Member) bool {
	return m.Record.ID != s.self && m.Record.Proxy && m.Liveness == Alive && !m.Record.Left
}
