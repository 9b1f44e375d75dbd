package fleetconfig

import (
	"time"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// StateMachine is the replicated state machine over the Document. Every control
// instance applies the same commands in the same order and gets the same
// document, answers and history. It is not safe for concurrent use.
type StateMachine struct {
	document *Document
	answers  answerTable
	history  []HistoryEntry
	deltas   DeltaLog
	// source is the text of the replacement in force, see Replacement.Source.
	source []byte
}

// NewStateMachine returns the machine of a new fleet.
func NewStateMachine() *StateMachine {
	return &StateMachine{document: NewDocument()}
}

// Document returns the current version. It must not be changed; the machine
// replaces it with each accepted command.
func (m *StateMachine) Document() *Document { return m.document }

// Source returns the text of the replacement in force, or nil when there was none.
// It must not be changed.
func (m *StateMachine) Source() []byte { return m.source }

// DeltaSince returns what changed since a version, or false when that is too
// long ago or not yet known, and a snapshot of the document is needed.
func (m *StateMachine) DeltaSince(version uint64) (*Delta, bool) {
	return m.deltas.Since(version, m.document.Version)
}

// Apply judges one log entry and returns the encoded Result. The index of the
// entry does not matter: a command that is applied again finds its change id.
func (m *StateMachine) Apply(_ uint64, entry []byte) []byte {
	result := m.apply(entry)
	data, err := codec.Marshal(result)
	if err != nil {
		// A Result has only plain fields; it can always be encoded.
		panic(err)
	}
	return data
}

func (m *StateMachine) apply(entry []byte) *Result {
	command := new(Command)
	if err := codec.Unmarshal(entry, command); err != nil {
		return m.refuse(command, Fault{Subject: "change", Problem: err.Error(), Remedy: "send it with a matching hemlockctl"})
	}
	if fault, found := envelopeFault(command); found {
		return m.refuse(command, fault)
	}
	digest, err := command.digest()
	if err != nil {
		return m.refuse(command, Fault{Subject: "change", Problem: err.Error(), Remedy: "send it with a matching hemlockctl"})
	}
	if known, found := m.answers.find(command.ChangeID); found {
		if known.Digest == digest {
			return known.Result
		}
		return &Result{
			ChangeID:    command.ChangeID,
			Verdict:     VerdictReusedID,
			Version:     m.document.Version,
			BaseVersion: command.BaseVersion,
		}
	}
	result := m.judge(command)
	m.answers.add(answer{Digest: digest, Result: result})
	return result
}

// refuse answers a command that has no usable change id, or whose content can't
// be told. Such an answer is not kept.
func (m *StateMachine) refuse(command *Command, fault Fault) *Result {
	return &Result{
		Verdict:     VerdictInvalid,
		Version:     m.document.Version,
		BaseVersion: command.BaseVersion,
		Faults:      []Fault{fault},
	}
}

func envelopeFault(command *Command) (Fault, bool) {
	switch {
	case command.ChangeID == "" || len(command.ChangeID) > maxChangeIDBytes:
		return Fault{Subject: "change", Field: "change_id", Problem: "is empty or too long",
			Remedy: "send a random id of up to 128 bytes, and the same one again when the answer is lost"}, true
	case len(command.Operator) > maxOperatorBytes:
		return Fault{Subject: "change", Field: "operator", Problem: "is too long", Remedy: "use at most 128 bytes"}, true
	case len(command.Changes) == 0:
		return Fault{Subject: "change", Field: "changes", Problem: "are none", Remedy: "send at least one change"}, true
	}
	return Fault{}, false
}

// judge makes the changes or refuses them. The base version is compared before
// anything else, so that of several commands with one base version one wins at
// most and the others learn of the conflict.
func (m *StateMachine) judge(command *Command) *Result {
	result := &Result{
		ChangeID:    command.ChangeID,
		BaseVersion: command.BaseVersion,
		Version:     m.document.Version,
	}
	if !command.isBasedOn(m.document) {
		result.Verdict = VerdictConflict
		return result
	}
	next, faults := edit(m.document, command.Changes)
	if len(faults) > 0 {
		result.Verdict = VerdictInvalid
		result.Faults = faults
		return result
	}
	m.deltas.Add(Diff(m.document, next))
	m.document = next
	if replacement := command.replacement(); replacement != nil {
		m.source = replacement.Source
	}
	m.record(command)
	result.Verdict = VerdictAccepted
	result.Version = next.Version
	return result
}

// HistoryEntry is one accepted command.
type HistoryEntry struct {
	// Version is the version that the command made.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// ChangeID is the id of the command.
	ChangeID string `cbor:"2,keyasint" json:"change_id"`
	// Operator is who proposed it.
	Operator string `cbor:"3,keyasint" json:"operator"`
	// ProposedAt is when it was proposed, by the proposer's clock.
	ProposedAt time.Time `cbor:"4,keyasint" json:"at"`
	// Summary has a line for each change, up to maxSummaryLines.
	Summary []string `cbor:"5,keyasint" json:"summary"`
	// Changes is how many changes the command had.
	Changes int `cbor:"6,keyasint" json:"changes"`
}

// Bounds of the history.
const (
	maxHistory      = 1000
	maxSummaryLines = 8
)

// History returns the latest accepted commands, up to 1000, oldest first. It
// must not be changed.
func (m *StateMachine) History() []HistoryEntry { return m.history }

func (m *StateMachine) record(command *Command) {
	entry := HistoryEntry{
		Version:    m.document.Version,
		ChangeID:   command.ChangeID,
		Operator:   command.Operator,
		ProposedAt: command.ProposedAt,
		Changes:    len(command.Changes),
	}
	for i := range command.Changes {
		if i == maxSummaryLines {
			break
		}
		entry.Summary = append(entry.Summary, command.Changes[i].Summary())
	}
	// History hands the slice out, so the entries are never moved in place.
	kept := m.history
	if len(kept) >= maxHistory {
		kept = kept[len(kept)-maxHistory+1:]
	}
	m.history = append(kept[:len(kept):len(kept)], entry)
}
