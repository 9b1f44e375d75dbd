package membership

import "github.com/hemlockring/hemlockring/fleetconfig"

// ServerLoad is the load and the health of a backend server, as known to the proxy
// with which it is registered.
type ServerLoad struct {
	// Server identifies the backend server.
	Server fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// InFlight is the number of requests that run on the backend server or wait
	// for a slot.
	InFlight uint32 `cbor:"2,keyasint,omitempty"`
	// WeightPercent is the share of its full load that it should be sent.
	WeightPercent uint8 `cbor:"3,keyasint,omitempty"`
	// FailureProbabilityPercent is the estimated probability that it currently
	// fails most requests.
	FailureProbabilityPercent uint8 `cbor:"4,keyasint,omitempty"`
	// RateUnknown tells whether the proxy has seen no response of the server yet. The
	// fields of the rate are then zero.
	RateUnknown bool `cbor:"9,keyasint,omitempty"`
	// Limited tells whether it accepts only a rate of requests: it advertises one or is cold.
	Limited bool `cbor:"5,keyasint,omitempty"`
	// MilliRate is this rate.
	MilliRate MilliRate `cbor:"6,keyasint,omitempty"`
	// WaitMillis is the time until the rate admits the next request, in
	// milliseconds.
	WaitMillis uint32 `cbor:"7,keyasint,omitempty"`
	// Leaving tells whether it has stated that it is leaving.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// LeavingProcess is the start time of the process that has stated it, in Unix
	// milliseconds, zero if the server does not announce it.
	LeavingProcess int64 `cbor:"10,keyasint,omitempty"`
	// Cold tells whether it is cold, that is, warming up. MilliRate is then at most the rate
	// that it tolerates meanwhile.
	Cold bool `cbor:"11,keyasint,omitempty"`
	// NextSlotMillis is the expected time until a slot is released, in milliseconds. It is
	// zero while a slot is free.
	NextSlotMillis uint32 `cbor:"14,keyasint,omitempty"`
	// Waiting is the work of the requests that wait for a slot, the most urgent first.
	Waiting []RankedWork `cbor:"15,keyasint,omitempty"`
	// Overloaded tells whether only requests wait that can meet their latency target.
	Overloaded bool `cbor:"16,keyasint,omitempty"`
	// Full tells whether the queue is full.
	Full bool `cbor:"17,keyasint,omitempty"`
	// SlownessPercent is the server's service times relative to the usual ones of the same
	// requests, in percent, zero if unknown.
	SlownessPercent uint16 `cbor:"18,keyasint,omitempty"`
	// SheddingPercent is the share of its recent requests that the server has refused to
	// run.
	SheddingPercent uint8 `cbor:"19,keyasint,omitempty"`
	// NoRepeats tells whether the server may receive no repeats now.
	NoRepeats bool `cbor:"20,keyasint,omitempty"`
}

// RankedWork is the work of the waiting requests of one urgency: the time, in milliseconds,
// for which they would occupy all slots of the server.
type RankedWork struct {
	_       struct{} `cbor:",toarray"`
	Urgency fleetconfig.Urgency
	// TotalMillis is the work of all of them, FirstMillis that of the first request of each
	// account.
	TotalMillis, FirstMillis uint32
}

// Fan-out of load reports. The driver reports the loads several times a second. Each
// report goes to random instances of the same failure domain. To others, where bytes are
// dear, it goes in place of several that would each reach one instance there: the receiver
// relays it inside its domain. The limits bound what an instance sends, whatever the size of
// the fleet.
const (
	// sameDomainReports and otherDomainReports are the numbers of instances of the
	// sender's and of other failure domains that receive a report. A relayed report is passed
	// on to sameDomainReports instances.
	sameDomainReports  = 8
	otherDomainReports = 1
	// maxReportedServers bounds the backend servers in a report, so that it fits
	// in a datagram.
	maxReportedServers = 16
)

// ReportLoads returns messages that report the loads of this instance's backend
// servers to other proxies.
func (s *State) ReportLoads(loads []ServerLoad) []Envelope {
	if len(loads) == 0 {
		return nil
	}
	own := s.members[s.self].Record.FailureDomain
	message := Message{
		Kind:  LoadReport,
		From:  s.self,
		Loads: loads[:min(len(loads), maxReportedServers)],
	}
	envelopes := s.reportTo(&message, sameDomainReports, func(domain fleetconfig.FailureDomain) bool { return domain == own })
	return append(envelopes, s.reportToOther(&message)...)
}

// reportToOther returns the envelopes with which a load report leaves the failure domain, if it
// does: an instance of another failure domain is picked, and one in reportsPerRelay of the reports
// that would go to the domain is sent.
func (s *State) reportToOther(report *Message) []Envelope {
	own := s.members[s.self].Record.FailureDomain
	sizes := make(map[fleetconfig.FailureDomain]int)
	for _, member := range s.members {
		if s.receivesLoads(member) {
			sizes[member.Record.FailureDomain]++
		}
	}
	var envelopes []Envelope
	for _, receiver := range s.randomMembers(otherDomainReports, func(m *Member) bool { return s.receivesLoads(m) && m.Record.FailureDomain != own }) {
		domain := receiver.Record.FailureDomain
		if s.withheldReports[domain] > 0 {
			s.withheldReports[domain]--
			continue
		}
		replaced := reportsPerRelay(sizes[domain])
		s.withheldReports[domain] = replaced - 1
		sent := *report
		sent.Relay = replaced > 1
		envelopes = append(envelopes, Envelope{Address: receiver.Record.Address, Message: sent})
	}
	return envelopes
}

// reportsPerRelay returns how many reports to single instances of a failure domain a relayed one
// replaces, given the number of instances there that receive reports. It is one less than the
// instances that a relayed report reaches, so that they receive no fewer reports although the
// relay may fail.
func reportsPerRelay(receivers int) int { return max(1, min(receivers, sameDomainReports+1)-1) }
