package health

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// PermitRequestID identifies an ask for a permit.
type PermitRequestID struct {
	// Incarnation is that of the asking monitor.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Sequence grows with each ask of the incarnation.
	Sequence uint64 `cbor:"2,keyasint"`
}

// PermitRequest asks for an ejection permit or its renewal.
type PermitRequest struct {
	// ID identifies the ask.
	ID PermitRequestID `cbor:"1,keyasint"`
	// Instance is where the backend server runs.
	Instance fleetconfig.InstanceID `cbor:"2,keyasint"`
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"3,keyasint"`
	// Severity is the evidence in multiples of the bound.
	Severity float64 `cbor:"4,keyasint"`
	// Renewal says that the server is out under a permit. Without it the server is
	// in service and the floor is counted anew, whatever the owner remembers.
	Renewal bool `cbor:"5,keyasint"`
	// BaselineGeneration is the number of the baseline that the evidence was judged by.
	BaselineGeneration uint64 `cbor:"6,keyasint"`
}

// OwnerTimestamp is handed out with each answer to a report. The next report echoes
// it, so that the owner knows by its own clock how old a report can be.
type OwnerTimestamp struct {
	// OwnerIncarnation is the incarnation of the owner.
	OwnerIncarnation uint64 `cbor:"1,keyasint"`
	// SinceStart is the time from the start of the owner to the answer.
	SinceStart time.Duration `cbor:"2,keyasint"`
}

// Report is what the proxy beside a backend server tells the permit owner.
type Report struct {
	// Instance is where the backend server runs.
	Instance fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"2,keyasint"`
	// Incarnation is that of the monitor. It grows with each restart.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Sequence grows with each report of the incarnation.
	Sequence uint64 `cbor:"4,keyasint"`
	// Slots is how many requests the server runs at once.
	Slots uint32 `cbor:"5,keyasint"`
	// Status is what the monitor believes.
	Status Status `cbor:"6,keyasint"`
	// Severity is the evidence in multiples of the bound.
	Severity float64 `cbor:"7,keyasint"`
	// Echo is the last challenge that the monitor received.
	Echo OwnerTimestamp `cbor:"8,keyasint"`
	// Summary holds the outcomes of the server.
	Summary Summary `cbor:"9,keyasint"`
}

// ReportReply answers a report.
type ReportReply struct {
	// Timestamp is echoed by the next report.
	Timestamp OwnerTimestamp `cbor:"1,keyasint"`
	// Baseline is the present baseline of the service.
	Baseline Baseline `cbor:"2,keyasint"`
}

// DenialReason says why a permit was refused.
type DenialReason uint8

const (
	// ReasonNone means that the permit was granted.
	ReasonNone DenialReason = iota
	// ReasonStarting means that the owner has not yet waited one permit life.
	ReasonStarting
	// ReasonUnknownServer means that this incarnation has sent no report.
	ReasonUnknownServer
	// ReasonFloor means that the healthy capacity would fall below the floor.
	ReasonFloor
	// ReasonCommonCause means that too many servers are suspect at once, or that
	// the baseline has risen since the evidence was gathered.
	ReasonCommonCause
	// ReasonStale means that a newer ask was answered before.
	ReasonStale
)
