package fleetconfig

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// drawVersions returns the versions that a sequence of accepted commands creates.
func drawVersions(t *rapid.T, machine *StateMachine) []*Document {
	versions := []*Document{machine.Document()}
	for number := range rapid.IntRange(10, 40).Draw(t, "commands") {
		command := drawCommand(t, machine.Document(), number)
		if propose(t, machine, command).Verdict == VerdictAccepted {
			versions = append(versions, machine.Document())
		}
	}
	return versions
}

// Every sequence of deltas from one version to the latest must produce the same
// document as the snapshot of the latest, whether the deltas come from the log, are
// merged or are computed by Diff. A delta with another base version must be refused as
// a whole.
func TestDeltaPathsYieldSameDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newSmallMachine(t)
		versions := drawVersions(t, machine)
		at := rapid.IntRange(0, len(versions)-1).Draw(t, "from")
		document := versions[at]
		for at < len(versions)-1 {
			next := rapid.IntRange(at+1, len(versions)-1).Draw(t, "to")
			delta, found := machine.deltas.Since(versions[at].Version, versions[next].Version)
			must.True(t, found)
			if rapid.Bool().Draw(t, "use Diff") {
				delta = Diff(document, versions[next])
			}
			delta = encodeAndDecode(t, delta)
			requireBaseMismatch(t, delta, versions)
			applied, err := delta.Apply(document)
			must.NoError(t, err)
			must.Eq(t, encoding(t, versions[next]), encoding(t, applied))
			document, at = applied, next
		}
		snapshot, err := EncodeDocument(machine.Document())
		must.NoError(t, err)
		decoded, err := DecodeDocument(snapshot)
		must.NoError(t, err)
		must.Eq(t, encoding(t, decoded), encoding(t, document))
		_, found := machine.DeltaSince(machine.Document().Version + 1)
		must.False(t, found)
	})
}

func encodeAndDecode(t must.T, delta *Delta) *Delta {
	data, err := codec.Marshal(delta)
	must.NoError(t, err)
	received := new(Delta)
	must.NoError(t, codec.Unmarshal(data, received))
	return received
}

// requireBaseMismatch checks that the delta cannot be applied to any version but From,
// and that the attempt does not modify the version.
func requireBaseMismatch(t *rapid.T, delta *Delta, versions []*Document) {
	for _, version := range versions {
		if version.Version == delta.From {
			continue
		}
		before := encoding(t, version)
		_, err := delta.Apply(version)
		var wrongBase *WrongBaseError
		must.True(t, errors.As(err, &wrongBase))
		must.Eq(t, before, encoding(t, version))
	}
}

// Lookups in a view must return the same items as a linear search of the document.
func TestViewLookupsMatchDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := drawVersions(t, newSmallMachine(t))
		document := versions[len(versions)-1]
		view := NewView(document)
		for _, text := range append(keyTexts, "unknown") {
			hash := HashKey(text)
			var want *Key
			for i := range document.Keys {
				if document.Keys[i].Hash == hash {
					want = &document.Keys[i]
				}
			}
			must.True(t, want == view.KeyByHash(hash))
			must.True(t, want == view.KeyByID(hash.ID()))
		}
		for _, id := range append(accountIDs, "unknown") {
			var want *Account
			for i := range document.Accounts {
				if document.Accounts[i].ID == id {
					want = &document.Accounts[i]
				}
			}
			must.True(t, want == view.Account(id))
		}
		for i := range document.Services {
			must.True(t, &document.Services[i] == view.Service(document.Services[i].Name))
		}
		must.Nil(t, view.Service("unknown"))
		must.Eq(t, document.ActivePreset, view.ActivePreset().Name)
	})
}

func TestViewLookupsInLargeDocument(t *testing.T) {
	document := largeDocument(t, 5000, 10)
	view := NewView(document)
	for i := range document.Keys {
		must.True(t, view.KeyByHash(document.Keys[i].Hash) == &document.Keys[i])
	}
	for i := range document.Accounts {
		must.True(t, view.Account(document.Accounts[i].ID) == &document.Accounts[i])
	}
}

// Applying arbitrary bytes as a delta must not panic and must not modify the
// document.
func FuzzDeltaApply(f *testing.F) {
	machine := newSmallMachine(f)
	data, err := codec.Marshal(Diff(NewDocument(), machine.Document()))
	must.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		delta := new(Delta)
		if codec.Unmarshal(data, delta) != nil {
			return
		}
		document := NewDocument()
		before := encoding(t, document)
		next, err := delta.Apply(document)
		must.Eq(t, before, encoding(t, document))
		if err != nil {
			return
		}
		view := NewView(next)
		must.Nil(t, view.KeyByHash(HashKey("unknown")))
		for i := range next.Keys {
			must.NotNil(t, view.KeyByHash(next.Keys[i].Hash))
		}
	})
}
