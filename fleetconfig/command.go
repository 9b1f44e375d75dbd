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

// Command is what operators propose: a list of changes that are made together
// or not at all. It is one entry of the replicated log.
type Command struct {
	// ChangeID identifies the command. The same id with the same content gets
	// the same answer again, so that a command whose answer was lost can be sent
	// again.
	ChangeID string `cbor:"1,keyasint" json:"change_id"`
	// BaseVersion is the version that the changes were made from.
	BaseVersion uint64 `cbor:"2,keyasint" json:"base_version"`
	// Operator is who proposes the command.
	Operator string `cbor:"3,keyasint" json:"operator"`
	// ProposedAt is when it was proposed, by the proposer's clock. It is for people only.
	ProposedAt time.Time `cbor:"4,keyasint" json:"at"`
	// Changes are the changes, in order.
	Changes []Change `cbor:"5,keyasint" json:"changes"`
}

// contentDigest identifies the content of a command. Operator and time are left
// out: they differ when another session sends the command again.
type contentDigest [16]byte

// digest returns the digest of base version and changes.
func (c *Command) digest() (contentDigest, error) {
	content := Command{BaseVersion: c.BaseVersion, Changes: c.Changes}
	data, err := codec.Marshal(&content)
	if err != nil {
		return contentDigest{}, err
	}
	sum := sha256.Sum256(data)
	return contentDigest(sum[:len(contentDigest{})]), nil
}

// EncodeCommand returns the log entry of a command.
func EncodeCommand(command *Command) ([]byte, error) {
	return codec.Marshal(command)
}

// Verdict is the kind of a Result.
type Verdict uint8

const (
	// VerdictAccepted says that the changes were made.
	VerdictAccepted Verdict = iota + 1
	// VerdictConflict says that the base version was not the current one.
	VerdictConflict
	// VerdictInvalid says that the changes break the rules of the document.
	VerdictInvalid
	// VerdictReusedID says that the change id belongs to another change.
	VerdictReusedID
)

// Result is the answer to a command.
type Result struct {
	// ChangeID is the id of the command.
	ChangeID string `cbor:"1,keyasint" json:"change_id"`
	// Verdict says whether the changes were made.
	Verdict Verdict `cbor:"2,keyasint" json:"verdict"`
	// Version is the version that the changes made, or else the version that was
	// in force when the command was judged.
	Version uint64 `cbor:"3,keyasint" json:"version"`
	// BaseVersion is the version that the changes were made from.
	BaseVersion uint64 `cbor:"4,keyasint" json:"base_version"`
	// Faults are the faults of an invalid command.
	Faults []Fault `cbor:"5,keyasint,omitempty" json:"faults,omitempty"`
}

// Err returns nil when the changes were made, or else a *ConflictError, an
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

// DecodeResult reads the result that Machine.Apply returned.
func DecodeResult(data []byte) (*Result, error) {
	result := new(Result)
	if err := codec.Unmarshal(data, result); err != nil {
		return nil, err
	}
	return result, nil
}
