package membership

import (
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// ServerState is what a backend server has announced of itself.
type ServerState uint8

const (
	// ServerReady means that the backend server takes new work.
	ServerReady ServerState = iota
	// ServerDraining means that it finishes its work and takes no new work.
	ServerDraining
)

// Server is a backend server as the fleet knows it.
type Server struct {
	// ID is unique in its instance.
	ID fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// Service is what it serves.
	Service fleetconfig.ServiceName `cbor:"2,keyasint"`
	// Slots is how many requests it runs at once.
	Slots uint32 `cbor:"3,keyasint"`
	// State says whether it takes new work.
	State ServerState `cbor:"4,keyasint"`
	// Ejected says that the proxy beside it holds an ejection permit and sends it
	// no work but trial requests.
	Ejected bool `cbor:"5,keyasint,omitempty"`
	// StartedUnixMilli is when it announced itself first, for slow start.
	StartedUnixMilli int64 `cbor:"6,keyasint,omitempty"`
}

// Record is what an instance says of itself. Only the instance itself makes a
// new one.
type Record struct {
	// ID is the instance.
	ID fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Incarnation grows with each start of the instance.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence grows with each new record of one incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Address is the IP number and port of the fleet port.
	Address string `cbor:"4,keyasint"`
	// FailureDomain is where the instance runs.
	FailureDomain fleetconfig.FailureDomain `cbor:"5,keyasint"`
	// Region is the region of the failure domain.
	Region string `cbor:"6,keyasint,omitempty"`
	// Control says that the instance has the control role.
	Control bool `cbor:"7,keyasint,omitempty"`
	// Proxy says that the instance has the proxy role.
	Proxy bool `cbor:"11,keyasint,omitempty"`
	// Left says that the instance has left on purpose.
	Left bool `cbor:"8,keyasint,omitempty"`
	// Draining says that the instance is stopping and takes no new work.
	Draining bool `cbor:"9,keyasint,omitempty"`
	// Servers are the backend servers beside the instance, ordered by ID.
	Servers []Server `cbor:"10,keyasint,omitempty"`
}

// newerThan reports whether the record replaces other.
func (r *Record) newerThan(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// Liveness is an instance's view of another one.
type Liveness uint8

const (
	// Alive means that the instance has answered or nobody doubts it.
	Alive Liveness = iota
	// Suspect means that a probe failed and the instance has not yet refuted it.
	Suspect
	// Dead means that a suspicion ran out.
	Dead
)

// String returns the name that operators see.
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

// PathState is whether this instance reaches another one directly.
type PathState uint8

const (
	// PathDirect means that direct probes are answered.
	PathDirect PathState = iota
	// PathIndirectOnly means that only probes through other instances are
	// answered: the path is cut in at least one direction.
	PathIndirectOnly
)

// String returns the name that operators see.
func (p PathState) String() string {
	if p == PathIndirectOnly {
		return "indirect-only"
	}
	return "direct"
}
