package fleetconfig

import (
	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// machineSnapshot is the encoding of a Machine.
type machineSnapshot struct {
	Document *Document      `cbor:"1,keyasint"`
	Answers  []answer       `cbor:"2,keyasint"`
	History  []HistoryEntry `cbor:"3,keyasint"`
	Source   []byte         `cbor:"4,keyasint,omitempty"`
}

// Snapshot returns the machine's whole state: the document, the kept answers and
// the history.
func (m *StateMachine) Snapshot() ([]byte, error) {
	data, err := codec.Marshal(&machineSnapshot{
		Document: m.document,
		Answers:  m.answers.list(),
		History:  m.history,
		Source:   m.source,
	})
	return data, errors.Wrap(err, "snapshot of the configuration")
}

// Restore replaces the machine's state with that of a snapshot. On an error the
// machine stays as it was.
func (m *StateMachine) Restore(data []byte) error {
	snapshot := new(machineSnapshot)
	if err := codec.Unmarshal(data, snapshot); err != nil {
		return errors.Wrap(err, "snapshot of the configuration")
	}
	if snapshot.Document == nil {
		return errors.New("the snapshot has no document; restore this instance from another control instance")
	}
	if faults := Validate(snapshot.Document); len(faults) > 0 {
		return errors.Wrap(&InvalidError{Faults: faults}, "snapshot of the configuration")
	}
	shareAccountIDs(snapshot.Document.Accounts, snapshot.Document.Keys)
	restored := StateMachine{document: snapshot.Document, history: snapshot.History, source: snapshot.Source}
	for _, kept := range snapshot.Answers {
		if kept.Result == nil {
			return errors.New("the snapshot has an empty answer; restore this instance from another control instance")
		}
		restored.answers.add(kept)
	}
	*m = restored
	return nil
}

// EncodeDocument returns the encoding of a document, for a snapshot that goes to
// an instance.
func EncodeDocument(document *Document) ([]byte, error) {
	return codec.Marshal(document)
}

// DecodeDocument reads what EncodeDocument wrote.
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

// shareAccountIDs lets keys refer to the text of their account's ID, in place of
// a copy of it for each key. The keys must not be shared yet.
func shareAccountIDs(accounts []Account, keys []Key) {
	index := newAccountIndex(accounts)
	for i := range keys {
		if account := index.find(keys[i].Account); account != nil {
			keys[i].Account = account.ID
		}
	}
}
