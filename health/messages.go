package health

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// PermitRequestID identifies a permit request.
type PermitRequestID struct {
	// Incarnation is the incarnation of the requesting monitor.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Sequence increases with each request of the incarnation.
	Sequence uint64 `cbor:"2,keyasint"`
}

// PermitRequest requests an ejection permit or its renewal.
type PermitRequest struct {
	// ID identifies the request.
	ID PermitRequestID `cbor:"1,keyasint"`
	// Instance is the instance on which the backend server runs.
	Instance fleetconfig.InstanceID `cbor:"2,keyasint"`
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"3,keyasint"`
	// Severity is the evidence in multiples of the alarm threshold.
	Severity float64 `cbor:"4,keyasint"`
	// Renewal says that the server is already out of service under a permit. Otherwise
	// the server is in service, and the owner checks the floor again even if its table
	// still has a permit for the server.
	Renewal bool `cbor:"5,keyasint"`
	// BaselineGeneration is the generation of the baseline that the evidence was gathered
	// against.
	BaselineGeneration uint64 `cbor:"6,keyasint"`
}

// OwnerTimestamp is sent with each reply to a report and echoed by the next report. The
// owner compares the echoed timestamp with its own clock to bound the age of the report.
type OwnerTimestamp struct {
	// OwnerIncarnation is the incarnation of the owner.
	OwnerIncarnation uint64 `cbor:"1,keyasint"`
	// SinceStart is the time from the start of the owner to the reply.
	SinceStart time.Duration `cbor:"2,keyasint"`
}

// Report is sent by the proxy beside a backend server to the permit owner.
type Report struct {
	// Instance is the instance on which the backend server runs.
	Instance fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"2,keyasint"`
	// Incarnation is the incarnation of the monitor. The owner expects it to increase with
	// each restart and ignores reports of lower incarnations.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Sequence increases with each report of the incarnation.
	Sequence uint64 `cbor:"4,keyasint"`
	// Slots is the number of requests that the server runs concurrently.
	Slots uint32 `cbor:"5,keyasint"`
	// Withheld is the number of slots that stay unused because of the rate that the server
	// advertises.
	Withheld uint32 `cbor:"10,keyasint,omitempty"`
	// Status is the monitor's assessment of the server.
	Status Status `cbor:"6,keyasint"`
	// Severity is the evidence in multiples of the alarm threshold.
	Severity float64 `cbor:"7,keyasint"`
	// Echo is the last owner timestamp that the monitor received.
	Echo OwnerTimestamp `cbor:"8,keyasint"`
	// Summary holds the recent outcomes of the server.
	Summary Summary `cbor:"9,keyasint"`
}

// ReportReply answers a report.
type ReportReply struct {
	// Timestamp must be echoed by the next report.
	Timestamp OwnerTimestamp `cbor:"1,keyasint"`
	// Baseline is the current baseline of the service.
	Baseline Baseline `cbor:"2,keyasint"`
}

// DenialReason says why a permit request was denied.
type DenialReason uint8

const (
	// ReasonNone means that the permit was granted.
	ReasonNone DenialReason = iota
	// ReasonStarting means that the owner has been running for less than one permit TTL.
	ReasonStarting
	// ReasonUnknownServer means that the owner has no report of the server, or that the
	// last one is from another incarnation than the request.
	ReasonUnknownServer
	// ReasonFloor means that the healthy capacity would fall below the floor or, for a
	// renewal, that the server must return to keep the floor.
	ReasonFloor
	// ReasonCommonCause means that too many servers are suspect at once, or that the
	// baseline has risen since the evidence was gathered or has only just risen.
	ReasonCommonCause
	// ReasonStale means that this request or a newer one was answered before.
	ReasonStale
)
