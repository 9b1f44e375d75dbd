package fleetconfig

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// checkDocument checks the invariants of every version.
func checkDocument(t must.T, document *Document) {
	must.SliceEmpty(t, Validate(document))
	activeCount := 0
	for _, preset := range document.Presets {
		if preset.Name == document.ActivePreset {
			activeCount++
		}
	}
	must.Eq(t, 1, activeCount, must.Sprint("active presets"))
}

// Two replicas apply the same commands, and one of them is restored from a snapshot
// at random points. Their results must be equal, a refused command must have no
// effect, and exactly one preset must be active in every version.
func TestStateMachineReplicasAgreeAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left, right := newSmallMachine(t), newSmallMachine(t)
		accepted := int(left.Document().Version)
		for number := range rapid.IntRange(1, 25).Draw(t, "commands") {
			before := left.Document()
			beforeEncoding := encoding(t, before)
			command := drawCommand(t, before, number)
			result := propose(t, left, command)
			must.Eq(t, result, propose(t, right, command))

			must.Eq(t, beforeEncoding, encoding(t, before), must.Sprint("the command modified the document that it is based on"))
			if result.Verdict == VerdictAccepted {
				accepted++
			} else {
				must.SliceNotEmpty(t, result.Faults)
				must.True(t, before == left.Document())
			}
			must.Eq(t, uint64(accepted), left.Document().Version)
			checkDocument(t, left.Document())
			if rapid.Bool().Draw(t, "restore") {
				right = restored(t, right)
			}
			must.Eq(t, encoding(t, left.Document()), encoding(t, right.Document()))
			must.Eq(t, left.History(), right.History())
		}
	})
}

// Several operators send commands with the same base version, and send them again. At
// most one command is accepted. The commands after it get a conflict with the current
// version, the commands before it are invalid. A command that is sent again must get
// the same result, also after a restore.
func TestAtMostOneCommandPerBaseAcceptedAndResendsGetSameResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newSmallMachine(t)
		var sent []*Command
		results := make(map[string]*Result)
		for round := range rapid.IntRange(1, 4).Draw(t, "rounds") {
			base := machine.Document()
			accepted := 0
			for operator := range rapid.IntRange(2, 4).Draw(t, "operators") {
				command := drawCommand(t, base, round*10+operator)
				result := propose(t, machine, command)
				switch {
				case result.Verdict == VerdictAccepted:
					accepted++
				case accepted > 0:
					must.Eq(t, VerdictConflict, result.Verdict)
					must.Eq(t, base.Version+1, result.Version)
				default:
					must.Eq(t, VerdictInvalid, result.Verdict)
				}
				sent = append(sent, command)
				results[command.ChangeID] = result
			}
			must.LessEq(t, 1, accepted)
			if rapid.Bool().Draw(t, "restore") {
				machine = restored(t, machine)
			}
			resendAll(t, machine, sent, results)
		}
	})
}

// resendAll sends each command again from another session, which must get the same
// result. It also sends each with another base version, which must be refused because
// the change id is already used.
func resendAll(t *rapid.T, machine *StateMachine, sent []*Command, results map[string]*Result) {
	version := machine.Document().Version
	for _, command := range sent {
		again := *command
		again.Operator = "another session"
		must.Eq(t, results[command.ChangeID], propose(t, machine, &again))

		other := *command
		other.BaseVersion++
		must.Eq(t, VerdictReusedID, propose(t, machine, &other).Verdict)
	}
	must.Eq(t, version, machine.Document().Version)
}

func TestCachedResultsAndHistoryAreBounded(t *testing.T) {
	machine := NewStateMachine()
	for number := range maxCachedResults + 10 {
		preset := []string{PresetPeak, PresetOrdinary}[number%2]
		result := propose(t, machine, &Command{
			ChangeID:    fmt.Sprint(number),
			BaseVersion: uint64(number),
			Changes:     []Change{{Kind: UsePreset, Name: preset}},
		})
		must.Eq(t, VerdictAccepted, result.Verdict)
	}
	must.MapLen(t, maxCachedResults, machine.results.byID)
	must.SliceLen(t, maxHistory, machine.History())
	must.SliceLen(t, maxDeltas, machine.deltas.deltas)
	other := restored(t, machine)
	must.Eq(t, machine.results.list(), other.results.list())
	oldest := propose(t, other, &Command{ChangeID: "0", Changes: []Change{{Kind: UsePreset, Name: PresetPeak}}})
	must.Eq(t, VerdictConflict, oldest.Verdict)
}

func TestInvalidCommandListsAllFaults(t *testing.T) {
	result := propose(t, NewStateMachine(), &Command{ChangeID: "c", Changes: []Change{
		{Kind: CreateAccount, Account: &Account{ID: "bad name", RatePerSecond: -1}},
		{Kind: CreateRoute, Route: &Route{ID: "r", Host: "UPPER:80", PathPrefix: "/a//b", Service: "none"}},
		{Kind: UsePreset, Name: "none"},
		{Kind: SetHolders, Holders: []InstanceAddress{{ID: "i", Address: "host:1", FailureDomain: "d"}}},
	}})
	must.Eq(t, VerdictInvalid, result.Verdict)
	fields := make([]string, len(result.Faults))
	for i, fault := range result.Faults {
		fields[i] = fault.Subject + "/" + fault.Field
		must.NotEq(t, "", fault.Remedy)
	}
	must.SliceContainsAll(t, fields, []string{
		"account bad name/id", "account bad name/rate_per_second", "account bad name/burst",
		"route r/host", "route r/path_prefix", "route r/service", "preset none/", "holders/",
	})
}

func TestChangesJSONRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := drawChanges(t, NewDocument())
		data, err := json.Marshal(written)
		must.NoError(t, err)
		var read []Change
		must.NoError(t, json.Unmarshal(data, &read))
		must.Eq(t, encoding(t, written), encoding(t, read))
	})
}

// Arbitrary bytes as a log entry or snapshot must not lead to an invalid document.
func FuzzApplyAndRestore(f *testing.F) {
	command := &Command{ChangeID: "c", Changes: []Change{{Kind: UsePreset, Name: PresetPeak}}}
	entry, err := EncodeCommand(command)
	must.NoError(f, err)
	snapshot, err := NewStateMachine().Snapshot()
	must.NoError(f, err)
	f.Add(entry)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		machine := NewStateMachine()
		machine.Apply(1, data)
		checkDocument(t, machine.Document())
		if machine.Restore(data) == nil {
			checkDocument(t, machine.Document())
			NewView(machine.Document())
		}
	})
}
