package ejection

import (
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
)

// batchPath is the URL path of calls from monitors to permit owners.
const batchPath = "/fleet/ejection"

// Batch carries the messages of one instance to the permit owner of a service.
type Batch struct {
	// Service is the service of all backend servers in the batch.
	Service fleetconfig.ServiceName `cbor:"1,keyasint"`
	// Reports holds the latest reports, at most one per backend server.
	Reports []health.Report `cbor:"2,keyasint,omitempty"`
	// PermitRequests holds the latest permit requests, at most one per backend server.
	PermitRequests []health.PermitRequest `cbor:"3,keyasint,omitempty"`
	// Releases holds the permits to release.
	Releases []Release `cbor:"4,keyasint,omitempty"`
}

// Release releases a permit.
type Release struct {
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// ID is the permit request under which the permit was granted.
	ID health.PermitRequestID `cbor:"2,keyasint"`
}

// BatchReply answers a Batch.
type BatchReply struct {
	// NotOwner says that the instance does not hold the lease of the service's shard. All
	// other fields except Owner are then empty.
	NotOwner bool `cbor:"1,keyasint,omitempty"`
	// Owner is the instance that the replying replica believes to be the owner, or empty
	// if it knows none. It is set only with NotOwner.
	Owner fleetconfig.InstanceID `cbor:"4,keyasint,omitempty"`
	// ReportReplies holds the replies to the reports.
	ReportReplies []ServerReportReply `cbor:"2,keyasint,omitempty"`
	// PermitReplies holds the replies to the permit requests.
	PermitReplies []PermitReply `cbor:"3,keyasint,omitempty"`
}

// ServerReportReply is the reply to the report of one backend server.
type ServerReportReply struct {
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// Reply is the owner's reply.
	Reply health.ReportReply `cbor:"2,keyasint"`
}

// PermitReply is the reply to the permit request of one backend server.
type PermitReply struct {
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"1,keyasint"`
	// ID identifies the permit request.
	ID health.PermitRequestID `cbor:"2,keyasint"`
	// Reason is the reason of a denial, or ReasonNone for a grant.
	Reason health.DenialReason `cbor:"3,keyasint"`
}
