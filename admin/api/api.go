// Package api has the messages of the administration API, which its server and
// its clients share.
package api

import (
	"fmt"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// ProblemType names a kind of problem. It is the last part of the document's type.
type ProblemType string

// The types of problem.
const (
	// ProblemUnauthorized says that the request shows no known token.
	ProblemUnauthorized ProblemType = "unauthorized"
	// ProblemForbidden says that the operator's role does not suffice.
	ProblemForbidden ProblemType = "forbidden"
	// ProblemNotFound says that there is no such resource.
	ProblemNotFound ProblemType = "not-found"
	// ProblemBadRequest says that the request can't be read.
	ProblemBadRequest ProblemType = "bad-request"
	// ProblemConflict says that the base version is not in force any more. The
	// change was not made.
	ProblemConflict ProblemType = "conflict"
	// ProblemInvalid says that the changes break the rules. They were not made.
	ProblemInvalid ProblemType = "invalid"
	// ProblemReusedID says that the change id belongs to another change. This one
	// was not made.
	ProblemReusedID ProblemType = "change-id-reused"
	// ProblemNotMade says that the change was certainly not made, and may be later.
	ProblemNotMade ProblemType = "not-made"
	// ProblemOutcomeUnknown says that the change may have been made or may still be.
	ProblemOutcomeUnknown ProblemType = "outcome-unknown"
)

// TypePrefix is the URI prefix of the type field.
const TypePrefix = "urn:hemlockring:problem:"

// Problem is a problem document (RFC 9457). It is an error.
type Problem struct {
	// Type is TypePrefix and a ProblemType.
	Type string `json:"type"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail says what happened.
	Detail string `json:"detail"`
	// Remedy says what to do.
	Remedy string `json:"remedy"`
	// CurrentVersion is the version in force, for a conflict.
	CurrentVersion uint64 `json:"current_version,omitempty"`
	// Faults are the faults of an invalid change.
	Faults []fleetconfig.Fault `json:"faults,omitempty"`
}

// HasType reports whether the problem has the type.
func (p *Problem) HasType(kind ProblemType) bool { return p.Type == TypePrefix+string(kind) }

// Error returns the problem with its faults and the remedy.
func (p *Problem) Error() string {
	text := p.Detail
	for _, fault := range p.Faults {
		text += "\n" + fault.String()
	}
	return fmt.Sprintf("%s; %s", text, p.Remedy)
}

// Status is the state of the configuration on the instance that answers.
type Status struct {
	// Version is the version in force.
	Version uint64 `json:"version"`
	// PresetInForce is the preset in force.
	PresetInForce string `json:"preset_in_force"`
	// Current says that the instance may serve keyed requests by this version.
	Current bool `json:"current"`
	// Accounts, Keys, Routes, Services, Presets and Holders are how many there are.
	Accounts int `json:"accounts"`
	Keys     int `json:"keys"`
	Routes   int `json:"routes"`
	Services int `json:"services"`
	Presets  int `json:"presets"`
	Holders  int `json:"holders"`
}

// Key is a key without its hash.
type Key struct {
	// ID identifies the key.
	ID fleetconfig.KeyID `json:"id"`
	// Account is whose key it is.
	Account fleetconfig.AccountID `json:"account"`
	// Label is the operator's note.
	Label string `json:"label,omitempty"`
}

// ChangeRequest is the body of POST /v1/changes.
type ChangeRequest struct {
	// ChangeID identifies the request; the same id again gives the same answer.
	ChangeID string `json:"change_id"`
	// BaseVersion is the version that the changes were made from.
	BaseVersion uint64 `json:"base_version"`
	// Changes are made together or not at all.
	Changes []fleetconfig.Change `json:"changes"`
}

// ChangeReply says that the changes are accepted.
type ChangeReply struct {
	// ChangeID is the id of the request.
	ChangeID string `json:"change_id"`
	// Version is the version that the changes made.
	Version uint64 `json:"version"`
}
