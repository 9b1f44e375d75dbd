package ejection

import (
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
)

// batchPath is the path of the calls between monitors and permit owners.
const batchPath = "/fleet/ejection"

// Batch is what one instance tells and asks the permit owner of a service.
type Batch struct {
	// Service is the service.
	Service fleetconfig.ServiceName `cbor:"1,keyasint"`
	// Reports are the newest reports, at most one for each backend server.
	Reports []health.Report `cbor:"2,keyasint,omitempty"`
	// PermitRequests are the newest asks, at most one for each backend server.
	PermitRequests []health.PermitRequest `cbor:"3,keyasint,omitempty"`
	// Releases are permits that are given back.
	Releases []Release `cbor:"4,keyasint,omitempty"`
}

// Release gives a permit back.
type Release struct {
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// ID is the ask that the permit answered.
	ID health.PermitRequestID `cbor:"2,keyasint"`
}

// BatchReply answers a Batch.
type BatchReply struct {
	// NotOwner says that the instance does not hold the lease of the service's
	// shard; the rest is empty then.
	NotOwner bool `cbor:"1,keyasint,omitempty"`
	// Owner is the instance that the answering replica believes to be the owner,
	// empty when it knows none.
	Owner fleetconfig.InstanceID `cbor:"4,keyasint,omitempty"`
	// ReportReplies answer the reports.
	ReportReplies []ServerReportReply `cbor:"2,keyasint,omitempty"`
	// PermitReplies answer the asks.
	PermitReplies []PermitReply `cbor:"3,keyasint,omitempty"`
}

// ServerReportReply answers the report of one backend server.
type ServerReportReply struct {
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// Reply is the owner's answer.
	Reply health.ReportReply `cbor:"2,keyasint"`
}

// PermitReply answers the ask of one backend server.
type PermitReply struct {
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// ID is the ask.
	ID health.PermitRequestID `cbor:"2,keyasint"`
	// Reason is ReasonNone for a grant.
	Reason health.DenialReason `cbor:"3,keyasint"`
}
