// Package api defines the messages of the administration API, for its server and its
// clients.
package api

import (
	"fmt"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// ProblemType is the kind of a problem. It follows TypePrefix in the type field of the
// problem document.
type ProblemType string

// The types of problem.
const (
	// ProblemUnauthorized means that the request has no valid token.
	ProblemUnauthorized ProblemType = "unauthorized"
	// ProblemForbidden means that the role of the operator does not permit the request.
	ProblemForbidden ProblemType = "forbidden"
	// ProblemNotFound means that the resource does not exist.
	ProblemNotFound ProblemType = "not-found"
	// ProblemBadRequest means that the body can not be decoded.
	ProblemBadRequest ProblemType = "bad-request"
	// ProblemConflict means that the base version of the change is no longer the
	// current one. The change was not made.
	ProblemConflict ProblemType = "conflict"
	// ProblemInvalid means that the changes have faults. No change was made.
	ProblemInvalid ProblemType = "invalid"
	// ProblemReusedID means that the change id was already used for another change.
	// The change in this request was not made.
	ProblemReusedID ProblemType = "change-id-reused"
	// ProblemNotMade means that the change was certainly not made and can be sent
	// again.
	ProblemNotMade ProblemType = "not-made"
	// ProblemOutcomeUnknown means that the change may have been made, or may still be
	// made.
	ProblemOutcomeUnknown ProblemType = "outcome-unknown"
)

// TypePrefix is the URI prefix of the type field of a problem document.
const TypePrefix = "urn:hemlockring:problem:"

// Problem is a problem document (RFC 9457). It is an error.
type Problem struct {
	// Type is TypePrefix and a ProblemType.
	Type string `json:"type"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail says what happened.
	Detail string `json:"detail"`
	// Remedy says what the caller should do.
	Remedy string `json:"remedy"`
	// CurrentVersion is the current version, for a conflict.
	CurrentVersion uint64 `json:"current_version,omitempty"`
	// Faults lists the faults of an invalid change.
	Faults []fleetconfig.Fault `json:"faults,omitempty"`
}

// HasType reports whether the problem has the given type.
func (p *Problem) HasType(kind ProblemType) bool { return p.Type == TypePrefix+string(kind) }

// Error returns the detail, the faults and the remedy.
func (p *Problem) Error() string {
	text := p.Detail
	for _, fault := range p.Faults {
		text += "\n" + fault.String()
	}
	return fmt.Sprintf("%s; %s", text, p.Remedy)
}

// Status is the state of the configuration on the instance that responds.
type Status struct {
	// Version is the accepted version.
	Version uint64 `json:"version"`
	// PresetInForce is the active preset.
	PresetInForce string `json:"preset_in_force"`
	// Current reports whether the configuration is current, so that the instance may
	// serve requests with API keys.
	Current bool `json:"current"`
	// Accounts, Keys, Routes, Services, Presets and Holders are numbers of items. For
	// holders see fleetconfig.Document.
	Accounts int `json:"accounts"`
	Keys     int `json:"keys"`
	Routes   int `json:"routes"`
	Services int `json:"services"`
	Presets  int `json:"presets"`
	Holders  int `json:"holders"`
	// EvacuatedDomains are the failure domains whose backend servers get no new requests.
	EvacuatedDomains []fleetconfig.FailureDomain `json:"evacuated_domains,omitempty"`
}

// Key is an API key without its hash.
type Key struct {
	// ID identifies the key.
	ID fleetconfig.KeyID `json:"id"`
	// Account is the account that the key belongs to.
	Account fleetconfig.AccountID `json:"account"`
	// Label is a note of the operator.
	Label string `json:"label,omitempty"`
}

// ChangeRequest is the body of POST /v1/changes.
type ChangeRequest struct {
	// ChangeID identifies the request. The changes of a request that is sent again with
	// the same id are not made twice. The response is the same while the result of the
	// first request is stored, and a conflict later.
	ChangeID string `json:"change_id"`
	// BaseVersion is the version that the changes are based on. It is not used if the
	// changes only start and end evacuations.
	BaseVersion uint64 `json:"base_version"`
	// Changes are made all together or not at all.
	Changes []fleetconfig.Change `json:"changes"`
}

// ChangeReply is the response when the changes were accepted.
type ChangeReply struct {
	// ChangeID is the id of the request.
	ChangeID string `json:"change_id"`
	// Version is the version that resulted from the changes.
	Version uint64 `json:"version"`
}
