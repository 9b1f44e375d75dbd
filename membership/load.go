package membership

import "github.com/hemlockring/hemlockring/fleetconfig"

// ServerLoad is how a backend server fares, as the proxy beside it knows.
type ServerLoad struct {
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// InFlight is how many requests run there or wait for a slot.
	InFlight uint32 `cbor:"2,keyasint,omitempty"`
	// WeightPercent is the share of its full load that it should get.
	WeightPercent uint8 `cbor:"3,keyasint,omitempty"`
	// FailureProbabilityPercent is how likely it is that it fails most requests now.
	FailureProbabilityPercent uint8 `cbor:"4,keyasint,omitempty"`
}

// Fan-out of load reports. Instances of the same failure domain hear of each other's
// load several times a second, the others now and then; the numbers bound what an
// instance sends in fleets of any size.
const (
	// nearReports and farReports are how many instances of the own and of other failure
	// domains get each report.
	nearReports = 8
	farReports  = 1
	// maxReportedServers bounds the backend servers in a report, so that it fits in a
	// datagram.
	maxReportedServers = 16
)

// ReportLoads returns the messages that tell other proxies how the backend servers
// beside this instance fare.
func (s *State) ReportLoads(loads []ServerLoad) []Envelope {
	if len(loads) == 0 {
		return nil
	}
	own := s.members[s.self].Record
	message := Message{
		Kind:  LoadReport,
		From:  s.self,
		Loads: loads[:min(len(loads), maxReportedServers)],
	}
	var envelopes []Envelope
	send := func(n int, near bool) {
		receivers := s.pick(n, func(m *Member) bool {
			record := &m.Record
			isNear := record.FailureDomain == own.FailureDomain
			return record.ID != s.self && record.Proxy && m.Liveness == Alive && !record.Left && isNear == near
		})
		for _, receiver := range receivers {
			envelopes = append(envelopes, Envelope{Address: receiver.Record.Address, Message: message})
		}
	}
	send(nearReports, true)
	send(farReports, false)
	return envelopes
}
