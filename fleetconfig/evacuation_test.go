package fleetconfig

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var testDomains = []FailureDomain{"fd1", "fd2", "fd3"}

func evacuationCommand(id string, kind ChangeKind, domains ...FailureDomain) *Command {
	command := &Command{ChangeID: id, Operator: "operator"}
	for _, domain := range domains {
		command.Changes = append(command.Changes, Change{Kind: kind, Name: string(domain)})
	}
	return command
}

// evacuationModel is what operators expect of evacuations: the accepted orders decide, in
// their order, and nothing else does.
type evacuationModel struct {
	machine   *StateMachine
	evacuated map[FailureDomain]bool
	versions  []*Document
	sent      []*Command
	results   map[string]*Result
}

// send applies a new command and returns its result.
func (m *evacuationModel) send(t *rapid.T, command *Command) *Result {
	result := propose(t, m.machine, command)
	m.sent = append(m.sent, command)
	m.results[command.ChangeID] = result
	m.versions = append(m.versions, m.machine.Document())
	return result
}

// order starts or ends the evacuation of a domain. An order is accepted whatever else has
// changed, and creates a version only if it changes something.
func (m *evacuationModel) order(t *rapid.T, number int) {
	kind := rapid.SampledFrom([]ChangeKind{EvacuateDomain, EndEvacuation}).Draw(t, "kind")
	domain := rapid.SampledFrom(testDomains).Draw(t, "domain")
	before := m.machine.Document()
	command := evacuationCommand(fmt.Sprintf("order-%d", number), kind, domain)
	command.BaseVersion = rapid.Uint64Range(0, 50).Draw(t, "base")
	result := m.send(t, command)
	must.Eq(t, VerdictAccepted, result.Verdict)
	must.Eq(t, m.machine.Document().Version, result.Version)
	if m.evacuated[domain] == (kind == EvacuateDomain) {
		must.True(t, before == m.machine.Document())
	} else {
		must.Eq(t, before.Version+1, result.Version)
	}
	m.evacuated[domain] = kind == EvacuateDomain
}

// replace sends a complete configuration, based on the newest one or an older one.
func (m *evacuationModel) replace(t *rapid.T, number int) {
	current := m.machine.Document().OperatorVersion
	base := current - min(current, rapid.Uint64Range(0, 1).Draw(t, "behind"))
	command := replacementOf(current+1, base, nil)
	command.ChangeID = fmt.Sprintf("replacement-%d", number)
	result := m.send(t, command)
	must.Eq(t, base == current, result.Verdict == VerdictAccepted)
	if base == current {
		must.Eq(t, command.Changes[0].Replacement.Source, m.machine.Source())
	}
}

// resend repeats a command whose ack was lost, after any number of others.
func (m *evacuationModel) resend(t *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	command := rapid.SampledFrom(m.sent).Draw(t, "resent")
	before := m.machine.Document()
	must.Eq(t, m.results[command.ChangeID], propose(t, m.machine, command))
	must.True(t, before == m.machine.Document())
}

func (m *evacuationModel) check(t *rapid.T) {
	view := NewView(m.machine.Document())
	for _, domain := range testDomains {
		must.Eq(t, m.evacuated[domain], view.Evacuated(domain), must.Sprint(domain))
	}
	checkDocument(t, m.machine.Document())
}

// Evacuations follow the orders of operators in the order of the log, whatever the order of
// evacuations, ends, complete configurations, other changes, resends and restores. Every path
// of deltas from an earlier version yields them.
func TestEvacuationsFollowOrdersInLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &evacuationModel{machine: NewStateMachine(), evacuated: make(map[FailureDomain]bool), results: make(map[string]*Result)}
		model.versions = append(model.versions, model.machine.Document())
		for number := range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"order", "order", "replace", "preset", "resend", "restore"}).Draw(t, "step") {
			case "order":
				model.order(t, number)
			case "replace":
				model.replace(t, number)
			case "preset":
				model.send(t, &Command{ChangeID: fmt.Sprintf("preset-%d", number), BaseVersion: model.machine.Document().Version,
					Changes: []Change{{Kind: UsePreset, Name: rapid.SampledFrom([]string{PresetOrdinary, PresetPeak}).Draw(t, "preset")}}})
			case "resend":
				model.resend(t)
			case "restore":
				deltas := model.machine.deltas
				model.machine = restored(t, model.machine)
				model.machine.deltas = deltas
			}
			model.check(t)
		}
		last := model.machine.Document()
		from := rapid.SampledFrom(model.versions).Draw(t, "from")
		if delta, found := model.machine.DeltaSince(from.Version); found {
			applied, err := encodeAndDecode(t, delta).Apply(from)
			must.NoError(t, err)
			must.Eq(t, encoding(t, last), encoding(t, applied))
		} else {
			must.Eq(t, last.Version, from.Version)
		}
		data, err := EncodeDocument(last)
		must.NoError(t, err)
		decoded, err := DecodeDocument(data)
		must.NoError(t, err)
		must.Eq(t, encoding(t, last), encoding(t, decoded))
	})
}

// A change that is not an evacuation keeps its base version, also beside an evacuation.
func TestEvacuationBesideOtherChangeIsComparedByBaseVersion(t *testing.T) {
	machine := newSmallMachine(t)
	command := evacuationCommand("mixed", EvacuateDomain, "fd1")
	must.True(t, command.IgnoresBaseVersion())
	command.Changes = append(command.Changes, Change{Kind: UsePreset, Name: PresetPeak})
	must.False(t, command.IgnoresBaseVersion())
	must.Eq(t, VerdictConflict, propose(t, machine, command).Verdict)
	must.SliceEmpty(t, machine.Document().EvacuatedDomains)
	must.False(t, (&Command{}).IgnoresBaseVersion())
}

func TestInvalidEvacuationsAreRefused(t *testing.T) {
	var many []FailureDomain
	for i := range maxEvacuated + 1 {
		many = append(many, FailureDomain(fmt.Sprintf("fd-%d", i)))
	}
	for name, domains := range map[string][]FailureDomain{
		"empty name":  {""},
		"long name":   {FailureDomain(strings.Repeat("a", maxNameBytes+1))},
		"bad name":    {"a/b"},
		"too many":    many,
		"one invalid": {"fd1", "b c"},
	} {
		machine := newSmallMachine(t)
		must.Eq(t, VerdictInvalid, propose(t, machine, evacuationCommand("c", EvacuateDomain, domains...)).Verdict, must.Sprint(name))
		must.SliceEmpty(t, machine.Document().EvacuatedDomains)
	}
	machine := newSmallMachine(t)
	must.Eq(t, VerdictAccepted, propose(t, machine, evacuationCommand("c", EvacuateDomain, many[:maxEvacuated]...)).Verdict)
	document := *machine.Document()
	document.EvacuatedDomains = slices.Clone(document.EvacuatedDomains)
	slices.Reverse(document.EvacuatedDomains)
	must.SliceNotEmpty(t, Validate(&document))
}
