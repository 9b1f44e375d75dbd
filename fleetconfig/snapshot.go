package fleetconfig

import (
	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// machineSnapshot is the encoded form of a StateMachine.
type machineSnapshot struct {
	Document *Document      `cbor:"1,keyasint"`
	Results  []cachedResult `cbor:"2,keyasint"`
	History  []HistoryEntry `cbor:"3,keyasint"`
	Source   []byte         `cbor:"4,keyasint,omitempty"`
}

// Snapshot returns the complete state: the document, the cached results, the history
// and the source text.
func (m *StateMachine) Snapshot() ([]byte, error) {
	data, err := codec.Marshal(&machineSnapshot{
		Document: m.document,
		Results:  m.results.list(),
		History:  m.history,
		Source:   m.source,
	})
	return data, errors.Wrap(err, "encode the snapshot of the configuration")
}

// Restore replaces the state with that of a snapshot. On an error the state is
// unchanged.
func (m *StateMachine) Restore(data []byte) error {
	snapshot := new(machineSnapshot)
	if err := codec.Unmarshal(data, snapshot); err != nil {
		return errors.Wrap(err, "snapshot of the configuration")
	}
	if snapshot.Document == nil {
		return errors.New("configuration snapshot has no document; restore this instance from another control instance")
	}
	if faults := Validate(snapshot.Document); len(faults) > 0 {
		return errors.Wrap(&InvalidError{Faults: faults}, "snapshot of the configuration")
	}
	shareAccountIDs(snapshot.Document.Accounts, snapshot.Document.Keys)
	restored := StateMachine{document: snapshot.Document, history: snapshot.History, source: snapshot.Source}
	for _, kept := range snapshot.Results {
		if kept.Result == nil {
			return errors.New("configuration snapshot has an empty result; restore this instance from another control instance")
		}
		restored.results.add(kept)
	}
	*m = restored
	return nil
}

// EncodeDocument encodes a document as a snapshot for an instance.
func EncodeDocument(document *Document) ([]byte, error) {
	return codec.Marshal(document)
}

// DecodeDocument decodes a document that EncodeDocument encoded, and validates it.
func DecodeDocument(data []byte) (*Document, error) {
	document := new(Document)
	if err := codec.Unmarshal(data, document); err != nil {
		return nil, err
	}
	if faults := Validate(document); len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	shareAccountIDs(document.Accounts, document.Keys)
	return document, nil
}

// shareAccountIDs makes each key refer to the ID string of its account, which saves a
// copy of the ID for each key. The keys must not be in use by others yet.
func shareAccountIDs(accounts []Account, keys []Key) {
	index := newAccountIndex(accounts)
	for i := range keys {
		if account := index.find(keys[i].Account); account != nil {
			keys[i].Account = account.ID
		}
	}
}
