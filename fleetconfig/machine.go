package fleetconfig

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// StateMachine is the replicated state machine that maintains the Document. Every
// control instance applies the same commands in the same order and arrives at the
// same document, results and history. It is not safe for concurrent use.
type StateMachine struct {
	document *Document
	results  resultCache
	history  []HistoryEntry
	deltas   DeltaLog
	// source is the text of the latest replacement; see Replacement.Source.
	source []byte
}

// NewStateMachine returns the state machine of a new fleet.
func NewStateMachine() *StateMachine {
	return &StateMachine{document: NewDocument()}
}

// Document returns the current version. It must not be modified; each accepted
// command replaces it by a new one.
func (m *StateMachine) Document() *Document { return m.document }

// Source returns the text of the latest replacement, or nil if there was none. It
// must not be modified.
func (m *StateMachine) Source() []byte { return m.source }

// DeltaSince returns the delta from the given version to the current one. It returns
// false if the version is too old or not yet known here; the caller then needs a
// snapshot of the document.
func (m *StateMachine) DeltaSince(version uint64) (*Delta, bool) {
	return m.deltas.Since(version, m.document.Version)
}

// Apply applies one log entry and returns the encoded Result. It does not need the
// index of the entry: if an entry is applied again, the cached result of its change id
// is returned. If that result has been evicted, the entry is refused as a conflict.
func (m *StateMachine) Apply(_ uint64, entry []byte) []byte {
	result := m.apply(entry)
	data, err := codec.Marshal(result)
	if err != nil {
		// A Result has only plain fields, so encoding cannot fail.
		panic(err)
	}
	return data
}

func (m *StateMachine) apply(entry []byte) *Result {
	command := new(Command)
	if err := codec.Unmarshal(entry, command); err != nil {
		return m.reject(command, Fault{Subject: "change", Problem: err.Error(), Remedy: "send it with a hemlockctl of the same version as the servers"})
	}
	if fault, found := commandFault(command); found {
		return m.reject(command, fault)
	}
	digest, err := command.digest()
	if err != nil {
		return m.reject(command, Fault{Subject: "change", Problem: err.Error(), Remedy: "send it with a hemlockctl of the same version as the servers"})
	}
	if known, found := m.results.find(command.ChangeID); found {
		if known.Digest == digest || command.isIdentifiedBySource() {
			return known.Result
		}
		return &Result{
			ChangeID:    command.ChangeID,
			Verdict:     VerdictReusedID,
			Version:     m.document.Version,
			BaseVersion: command.BaseVersion,
		}
	}
	result, found := m.formerAcceptance(command)
	if !found {
		result = m.execute(command)
	}
	m.results.add(cachedResult{Digest: digest, Result: result})
	return result
}

// formerAcceptance returns the result of an accepted replacement whose cached result was
// evicted, for example by refusals, while it is still in the history. The history has no
// digests, so this is limited to commands whose ID identifies their content.
func (m *StateMachine) formerAcceptance(command *Command) (*Result, bool) {
	if !command.isIdentifiedBySource() {
		return nil, false
	}
	for i := range m.history {
		if entry := &m.history[i]; entry.ChangeID == command.ChangeID {
			return &Result{ChangeID: entry.ChangeID, Verdict: VerdictAccepted, Version: entry.Version, BaseVersion: command.BaseVersion}, true
		}
	}
	return nil, false
}

// reject returns the result of a command that cannot be decoded or encoded, or that
// commandFault finds invalid. The result has no change id and is not cached.
func (m *StateMachine) reject(command *Command, fault Fault) *Result {
	return &Result{
		Verdict:     VerdictInvalid,
		Version:     m.document.Version,
		BaseVersion: command.BaseVersion,
		Faults:      []Fault{fault},
	}
}

// commandFault returns the fault of a command whose change id, operator or list of
// changes is invalid, or false if it has none.
func commandFault(command *Command) (Fault, bool) {
	switch {
	case command.ChangeID == "" || len(command.ChangeID) > maxChangeIDBytes:
		return Fault{Subject: "change", Field: "change_id", Problem: "is empty or too long",
			Remedy: "send a random id of up to 128 bytes, and the same id again if the reply is lost"}, true
	case len(command.Operator) > maxOperatorBytes:
		return Fault{Subject: "change", Field: "operator", Problem: "is too long", Remedy: "use at most 128 bytes"}, true
	case len(command.Changes) == 0:
		return Fault{Subject: "change", Field: "changes", Problem: "is empty", Remedy: "send at least one change"}, true
	case len(command.Changes) > 1 && slices.ContainsFunc(command.Changes, func(change Change) bool { return change.Kind == ReplaceAll }):
		return Fault{Subject: "change", Field: "changes", Problem: "contains " + string(ReplaceAll) + " beside other changes",
			Remedy: "send it as the only change of a command"}, true
	}
	return Fault{}, false
}

// execute applies the changes or refuses them. The base version is compared before
// anything else: of several commands with the same base version at most one is
// accepted, and the others get a conflict.
func (m *StateMachine) execute(command *Command) *Result {
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
	if command.isEvacuation() && slices.Equal(next.EvacuatedDomains, m.document.EvacuatedDomains) {
		result.Verdict = VerdictAccepted
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

// HistoryEntry describes one accepted command.
type HistoryEntry struct {
	// Version is the version that the command created.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// ChangeID is the id of the command.
	ChangeID string `cbor:"2,keyasint" json:"change_id"`
	// Operator is the name of the operator who proposed the command.
	Operator string `cbor:"3,keyasint" json:"operator"`
	// ProposedAt is the time of the proposal by the proposer's clock.
	ProposedAt time.Time `cbor:"4,keyasint" json:"at"`
	// Summary has one line for each change, up to maxSummaryLines.
	Summary []string `cbor:"5,keyasint" json:"summary"`
	// Changes is the number of changes in the command.
	Changes int `cbor:"6,keyasint" json:"changes"`
}

// Limits on the history.
const (
	maxHistory      = 1000
	maxSummaryLines = 8
)

// History returns the latest accepted commands, up to 1000, oldest first. It must not
// be modified.
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
	// Callers of History share the slice, so entries must not be moved in place.
	kept := m.history
	if len(kept) >= maxHistory {
		kept = kept[len(kept)-maxHistory+1:]
	}
	m.history = append(kept[:len(kept):len(kept)], entry)
}
