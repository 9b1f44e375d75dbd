package membership

import (
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// ServerState is the announced state of a backend server.
type ServerState uint8

const (
	// ServerReady means that the backend server accepts new work.
	ServerReady ServerState = iota
	// ServerDraining means that the backend server finishes its work and accepts
	// no new work.
	ServerDraining
)

// Server is a backend server as announced to the fleet.
type Server struct {
	// ID is unique within the instance.
	ID fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// Service is the service that it serves.
	Service fleetconfig.ServiceName `cbor:"2,keyasint"`
	// Slots is the number of requests that it runs concurrently.
	Slots uint32 `cbor:"3,keyasint"`
	// State tells whether it accepts new work.
	State ServerState `cbor:"4,keyasint"`
	// Ejected tells whether the proxy with which it is registered holds an ejection
	// permit for it (see package health) and sends it only trial requests.
	Ejected bool `cbor:"5,keyasint,omitempty"`
	// StartedUnixMilli is when it was first announced, for slow start.
	StartedUnixMilli int64 `cbor:"6,keyasint,omitempty"`
	// ProcessStartUnixMilli is the start time of its process, as announced. It
	// distinguishes restarts. Zero when it does not announce it.
	ProcessStartUnixMilli int64 `cbor:"7,keyasint,omitempty"`
	// Limited tells whether it accepts only a rate of requests: it advertises one or is cold.
	Limited bool `cbor:"8,keyasint,omitempty"`
	// MilliRate is this rate.
	MilliRate MilliRate `cbor:"9,keyasint,omitempty"`
	// Withheld is the number of slots that stay unused because of this rate.
	Withheld uint32 `cbor:"10,keyasint,omitempty"`
	// Leaving tells whether it has stated in a response that it is leaving.
	Leaving bool `cbor:"11,keyasint,omitempty"`
	// Cold tells whether it is cold, that is, warming up. MilliRate is then at most the rate
	// that it tolerates meanwhile.
	Cold bool `cbor:"12,keyasint,omitempty"`
}

// Record is an instance's announcement of itself. Only the instance itself creates
// new records of it.
type Record struct {
	// ID identifies the instance.
	ID fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Incarnation increases with each start of the instance.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence increases with each new record of one incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Address is the fleet address of the instance: its IP address and its fleet
	// port, on which it receives the messages of other instances.
	Address string `cbor:"4,keyasint"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain fleetconfig.FailureDomain `cbor:"5,keyasint"`
	// Region is the region of the failure domain.
	Region string `cbor:"6,keyasint,omitempty"`
	// Control tells whether the instance has the control role.
	Control bool `cbor:"7,keyasint,omitempty"`
	// Proxy tells whether the instance has the proxy role.
	Proxy bool `cbor:"11,keyasint,omitempty"`
	// LinkMbps is the capacity of the instance's link in Mbit/s, or 0 if it is not known.
	LinkMbps uint32 `cbor:"12,keyasint,omitempty"`
	// Left tells whether the instance has left the fleet intentionally.
	Left bool `cbor:"8,keyasint,omitempty"`
	// Draining tells whether the instance is stopping and accepts no new work.
	Draining bool `cbor:"9,keyasint,omitempty"`
	// Servers are the backend servers registered with the instance, ordered by ID.
	Servers []Server `cbor:"10,keyasint,omitempty"`
}

// newerThan reports whether the record supersedes other.
func (r *Record) newerThan(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Liveness is an instance's view of whether another one is alive.
type Liveness uint8

const (
	// Alive means that the instance is not suspected.
	Alive Liveness = iota
	// Suspect means that a probe failed and the instance has not refuted the
	// suspicion yet.
	Suspect
	// Dead means that the suspicion was not refuted before its timeout.
	Dead
)

// String returns the name shown to operators.
func (l Liveness) String() string {
	switch l {
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "alive"
	}
}

// PathState tells whether this instance reaches another one directly.
type PathState uint8

const (
	// PathDirect means that the other instance answers direct probes.
	PathDirect PathState = iota
	// PathIndirectOnly means that it answers only probes relayed by other
	// instances: at least one direction of the direct path is blocked.
	PathIndirectOnly
)

// String returns the name shown to operators.
func (p PathState) String() string {
	if p == PathIndirectOnly {
		return "indirect-only"
	}
	return "direct"
}
