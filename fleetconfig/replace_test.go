package fleetconfig

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// replacementOf returns a command that replaces the whole configuration by a small
// one. If change is not nil, it modifies the replacement first.
func replacementOf(version, base uint64, change func(*Replacement)) *Command {
	next := &Replacement{
		OperatorVersion:     version,
		BaseOperatorVersion: base,
		Accounts:            []Account{{ID: "acme", RatePerSecond: 10, Burst: 10, Priority: 1}},
		Keys:                []Key{{Hash: HashKey("k1"), Account: "acme"}, {Hash: HashKey("k2"), Account: "acme"}},
		Routes: []Route{
			{ID: "orders", Host: "a.example", PathPrefix: "/orders", Service: "catalogue", Timeout: time.Second},
			{ID: "split", PathPrefix: "/split", Service: "catalogue", Split: []SplitPart{{"catalogue", 90}, {"stock", 10}}},
		},
		Services:     []Service{{Name: "stock"}, {Name: "catalogue"}},
		Preset:       Preset{Name: "ordinary", RetryBudgetPercent: 5},
		CallerLimits: CallerLimits{HeaderBytes: 1 << 14, IdleTimeout: time.Second},
		Source:       fmt.Appendf(nil, "source of %d", version),
	}
	if change != nil {
		change(next)
	}
	return &Command{ChangeID: fmt.Sprintf("change %d on %d", version, base), Changes: []Change{{Kind: ReplaceAll, Replacement: next}}}
}

func applyCommand(t *testing.T, machine *StateMachine, command *Command) *Result {
	t.Helper()
	entry, err := EncodeCommand(command)
	must.NoError(t, err)
	result, err := DecodeResult(machine.Apply(0, entry))
	must.NoError(t, err)
	return result
}

// Operators number their versions themselves. Changes of the holders between two
// replacements must not cause conflicts. Only one of two replacements with the same
// base is accepted. The same replacement sent again gets the same result, also after
// later replacements and after a restart from a snapshot.
func TestReplaceAllChecksOperatorVersion(t *testing.T) {
	machine := NewStateMachine()
	first := replacementOf(3, 0, nil)
	must.Eq(t, VerdictAccepted, applyCommand(t, machine, first).Verdict)
	holders := []InstanceAddress{{ID: "a", Address: "127.0.0.1:1", FailureDomain: "d"}}
	holderChange := &Command{ChangeID: "holders", BaseVersion: 1, Changes: []Change{{Kind: SetHolders, Holders: holders}}}
	must.Eq(t, VerdictAccepted, applyCommand(t, machine, holderChange).Verdict)

	must.Eq(t, VerdictAccepted, applyCommand(t, machine, replacementOf(7, 3, nil)).Verdict)
	must.Eq(t, VerdictConflict, applyCommand(t, machine, replacementOf(9, 3, nil)).Verdict)
	must.Eq(t, "source of 7", string(machine.Source()))
	must.Eq(t, holders, machine.Document().Holders)

	snapshot, err := machine.Snapshot()
	must.NoError(t, err)
	restored := NewStateMachine()
	must.NoError(t, restored.Restore(snapshot))
	must.Eq(t, "source of 7", string(restored.Source()))
	must.Eq(t, uint64(7), restored.Document().OperatorVersion)
	must.Eq(t, VerdictAccepted, applyCommand(t, restored, first).Verdict)
	must.Eq(t, VerdictConflict, applyCommand(t, restored, replacementOf(9, 3, nil)).Verdict)
	must.Eq(t, uint64(7), restored.Document().OperatorVersion)
}

// An invalid replacement must leave the document and the source text unchanged.
func TestInvalidReplacementLeavesDocumentUnchanged(t *testing.T) {
	invalid := map[string]func(*Replacement){
		"old operator version":       func(r *Replacement) { r.OperatorVersion = 3 },
		"unknown service":            func(r *Replacement) { r.Routes[0].Service = "nobody" },
		"unknown service in a split": func(r *Replacement) { r.Routes[1].Split[1].Service = "nobody" },
		"all weights zero":           func(r *Replacement) { r.Routes[1].Split = []SplitPart{{"stock", 0}} },
		"same host and path prefix":  func(r *Replacement) { r.Routes[1].Host, r.Routes[1].PathPrefix = "a.example", "/orders" },
		"duplicate route id":         func(r *Replacement) { r.Routes[1].ID = r.Routes[0].ID },
		"duplicate key":              func(r *Replacement) { r.Keys[1].Hash = r.Keys[0].Hash },
		"unknown account":            func(r *Replacement) { r.Keys[1].Account = "nobody" },
	}
	for name, change := range invalid {
		machine := NewStateMachine()
		must.Eq(t, VerdictAccepted, applyCommand(t, machine, replacementOf(3, 0, nil)).Verdict)
		before := machine.Document()
		result := applyCommand(t, machine, replacementOf(5, 3, change))
		must.Eq(t, VerdictInvalid, result.Verdict, must.Sprint(name))
		must.Eq(t, before, machine.Document())
		must.Eq(t, "source of 3", string(machine.Source()))
	}
}

// The delta between two replacements must produce the second from the first, and
// contain only the differences.
func TestDeltaBetweenReplacements(t *testing.T) {
	machine := NewStateMachine()
	applyCommand(t, machine, replacementOf(3, 0, nil))
	before := machine.Document()
	applyCommand(t, machine, replacementOf(4, 3, func(r *Replacement) {
		r.Routes[1].Split[0].Weight = 50
		r.Keys = r.Keys[:1]
		r.CallerLimits.IdleTimeout = time.Minute
	}))
	delta := Diff(before, machine.Document())
	must.Len(t, 1, delta.Routes.Put)
	must.Len(t, 1, delta.Keys.Removed)
	must.SliceEmpty(t, delta.Accounts.Put)
	data, err := codec.Marshal(delta)
	must.NoError(t, err)
	received := new(Delta)
	must.NoError(t, codec.Unmarshal(data, received))
	applied, err := received.Apply(before)
	must.NoError(t, err)
	must.Eq(t, machine.Document(), applied)
}

// Only ReplaceAll is compared by the operators' version number.
func TestReplacementIsIgnoredInOtherKindsOfChange(t *testing.T) {
	machine := NewStateMachine()
	must.Eq(t, VerdictAccepted, applyCommand(t, machine, replacementOf(3, 0, nil)).Verdict)
	command := replacementOf(4, 3, nil)
	command.Changes[0].Kind, command.Changes[0].Account = CreateAccount, &Account{ID: "new", RatePerSecond: 1, Burst: 1}
	must.False(t, command.IsReplacement())
	must.Eq(t, VerdictConflict, applyCommand(t, machine, command).Verdict)
	must.Eq(t, "source of 3", string(machine.Source()))
}

func TestReplaceAllBesideOtherChangesIsRefused(t *testing.T) {
	machine := NewStateMachine()
	command := replacementOf(3, 0, nil)
	command.Changes = append(command.Changes, Change{Kind: CreateAccount, Account: &Account{ID: "new", RatePerSecond: 1, Burst: 1}})
	command.BaseVersion = machine.Document().Version
	must.Eq(t, VerdictInvalid, applyCommand(t, machine, command).Verdict)
	must.Zero(t, machine.Document().OperatorVersion)
	must.Nil(t, machine.Source())
}

// sourceCommand returns a replacement that is identified by its source.
func sourceCommand(version, base uint64, change func(*Replacement)) *Command {
	command := replacementOf(version, base, change)
	command.ChangeID = SourceChangeID(command.Changes[0].Replacement.Source)
	return command
}

// Guards against an accepted configuration that is refused by an instance whose settings derive another preset from it.
func TestResentReplacementWithOtherDerivedSettingsIsNotRefused(t *testing.T) {
	derived := func(r *Replacement) {
		r.Preset.RetryBudgetPercent++
		r.Services[0].FloorPercent = 70
	}
	machine := NewStateMachine()
	accepted := applyCommand(t, machine, sourceCommand(3, 0, nil))
	must.Eq(t, VerdictAccepted, accepted.Verdict)
	must.Eq(t, accepted, applyCommand(t, machine, sourceCommand(3, 0, derived)))
	must.Eq(t, accepted.Version, machine.Document().Version)

	refused := applyCommand(t, machine, sourceCommand(9, 1, nil))
	must.Eq(t, VerdictConflict, refused.Verdict)
	must.Eq(t, refused, applyCommand(t, machine, sourceCommand(9, 1, derived)))
}

// A change ID that is not that of the source does not stand for the content.
func TestReplacementWithChosenIDMustNotChange(t *testing.T) {
	machine := NewStateMachine()
	must.Eq(t, VerdictAccepted, applyCommand(t, machine, replacementOf(3, 0, nil)).Verdict)
	other := replacementOf(3, 0, func(r *Replacement) { r.Preset.RetryBudgetPercent++ })
	must.Eq(t, VerdictReusedID, applyCommand(t, machine, other).Verdict)
}

// Guards against an accepted configuration that is refused after so many refusals that its result is no longer kept.
func TestResentReplacementIsNotRefusedAfterEviction(t *testing.T) {
	machine := NewStateMachine()
	must.Eq(t, VerdictAccepted, applyCommand(t, machine, sourceCommand(3, 0, nil)).Verdict)
	for i := range maxCachedResults {
		refused := &Command{ChangeID: fmt.Sprint(i), BaseVersion: 99, Changes: []Change{{Kind: UsePreset, Name: PresetPeak}}}
		must.Eq(t, VerdictConflict, applyCommand(t, machine, refused).Verdict)
	}
	again := applyCommand(t, machine, sourceCommand(3, 0, nil))
	must.Eq(t, VerdictAccepted, again.Verdict)
	must.Eq(t, 1, again.Version)
	must.Eq(t, 1, machine.Document().Version)
}
