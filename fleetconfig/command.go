package fleetconfig

import (
	"crypto/sha256"
	"time"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// Limits on the fields of a command.
const (
	maxChangeIDBytes = 128
	maxOperatorBytes = 128
)

// Command is a request by an operator to change the Document. Its changes are applied
// together or not at all. A command is one entry of the replicated log.
type Command struct {
	// ChangeID identifies the command. A command that is sent again with the same id
	// and the same content gets the same result, so a client that lost the reply can
	// retry safely. For a replacement with the ID of SourceChangeID, the content is its
	// source.
	ChangeID string `cbor:"1,keyasint" json:"change_id"`
	// BaseVersion is the document version that the changes are based on. It has no
	// meaning if IgnoresBaseVersion.
	BaseVersion uint64 `cbor:"2,keyasint" json:"base_version"`
	// Operator is the name of the operator who proposed the command.
	Operator string `cbor:"3,keyasint" json:"operator"`
	// ProposedAt is the time of the proposal by the proposer's clock. It is
	// informational only.
	ProposedAt time.Time `cbor:"4,keyasint" json:"at"`
	// Changes are the changes, in the order in which they are applied.
	Changes []Change `cbor:"5,keyasint" json:"changes"`
}

// contentDigest identifies the content of a command. It excludes the operator and the
// time, which differ when the command is sent again from another session.
type contentDigest [16]byte

// digest returns the digest of the base version and the changes.
func (c *Command) digest() (contentDigest, error) {
	content := Command{BaseVersion: c.BaseVersion, Changes: c.Changes}
	data, err := codec.Marshal(&content)
	if err != nil {
		return contentDigest{}, err
	}
	sum := sha256.Sum256(data)
	return contentDigest(sum[:len(contentDigest{})]), nil
}

// EncodeCommand encodes a command as a log entry.
func EncodeCommand(command *Command) ([]byte, error) {
	return codec.Marshal(command)
}

// Verdict is the outcome of a Command.
type Verdict uint8

const (
	// VerdictAccepted means that the changes were applied.
	VerdictAccepted Verdict = iota + 1
	// VerdictConflict means that the base version was not the current version.
	VerdictConflict
	// VerdictInvalid means that the changes failed validation.
	VerdictInvalid
	// VerdictReusedID means that the change id was already used by a command with
	// other content.
	VerdictReusedID
)

// Result is the reply to a Command.
type Result struct {
	// ChangeID is the id of the command. It is empty if the command could not be
	// decoded or commandFault found it invalid.
	ChangeID string `cbor:"1,keyasint" json:"change_id"`
	// Verdict is the outcome.
	Verdict Verdict `cbor:"2,keyasint" json:"verdict"`
	// Version is the version that the changes created. If the command was refused, or
	// changed nothing because its evacuations were in place already, Version is the
	// version of the document when the command was applied.
	Version uint64 `cbor:"3,keyasint" json:"version"`
	// BaseVersion is the base version of the command.
	BaseVersion uint64 `cbor:"4,keyasint" json:"base_version"`
	// Faults lists what is wrong with an invalid command.
	Faults []Fault `cbor:"5,keyasint,omitempty" json:"faults,omitempty"`
}

// Err returns nil if the changes were applied, otherwise a *ConflictError, an
// *InvalidError or a *ReusedIDError.
func (r *Result) Err() error {
	switch r.Verdict {
	case VerdictAccepted:
		return nil
	case VerdictConflict:
		return &ConflictError{Base: r.BaseVersion, Current: r.Version}
	case VerdictReusedID:
		return &ReusedIDError{ChangeID: r.ChangeID}
	}
	return &InvalidError{Faults: r.Faults}
}

// DecodeResult decodes a result that StateMachine.Apply returned.
func DecodeResult(data []byte) (*Result, error) {
	result := new(Result)
	if err := codec.Unmarshal(data, result); err != nil {
		return nil, err
	}
	return result, nil
}
