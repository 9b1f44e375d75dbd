package inifile

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

const example = `
[fleet]
preset = peak
holders = i1@192.0.2.1:7400@fd1, i2@192.0.2.2:7400@fd2

[account shop]
rate_per_second = 50  ; a comment
burst = 20

[service stock]
floor_percent = 60

[route lookups]
host = shop.example
path_prefix = /stock
service = stock
idempotency = always
timeout = 5s
large_answers = true
below_prefix = true
`

// accept applies the changes as one command, which must be accepted.
func accept(t must.T, machine *fleetconfig.StateMachine, id string, changes []fleetconfig.Change) {
	entry, err := fleetconfig.EncodeCommand(&fleetconfig.Command{
		ChangeID:    id,
		BaseVersion: machine.Document().Version,
		Changes:     changes,
	})
	must.NoError(t, err)
	result, err := fleetconfig.DecodeResult(machine.Apply(0, entry))
	must.NoError(t, err)
	must.NoError(t, result.Err())
}

func TestParseAndApplyFile(t *testing.T) {
	machine := fleetconfig.NewStateMachine()
	file, err := Parse("fleet.ini", []byte(example))
	must.NoError(t, err)
	changes, err := file.Changes(machine.Document())
	must.NoError(t, err)
	accept(t, machine, "first", changes)

	document := machine.Document()
	must.Eq(t, "peak", document.ActivePreset)
	must.Eq(t, []fleetconfig.Account{{ID: "shop", RatePerSecond: 50, Burst: 20}}, document.Accounts)
	must.Eq(t, []fleetconfig.Service{{Name: "stock", FloorPercent: 60}}, document.Services)
	must.Eq(t, []fleetconfig.Route{{
		ID: "lookups", Host: "shop.example", PathPrefix: "/stock", Service: "stock",
		Idempotency: fleetconfig.IdempotentAlways, Timeout: 5 * time.Second, LargeResponses: true, BelowPrefix: true,
	}}, document.Routes)
	must.SliceLen(t, 2, document.Holders)

	changes, err = file.Changes(document)
	must.NoError(t, err)
	must.SliceEmpty(t, changes)
}

func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse("fleet.ini", []byte(`
stray = 1
[account shop]
rate_per_second = many
rate_per_second = 5
colour = red
[account shop]
[route r]
timeout = 5
service = stock
[fleet]
holders = i1
[shop]
`))
	var faults *FaultsError
	must.True(t, errors.As(err, &faults))
	places := make([]string, len(faults.Faults))
	for i, fault := range faults.Faults {
		places[i] = fault.Section + "/" + fault.Key + "/" + fault.Problem
		must.Eq(t, "fleet.ini", fault.File)
		must.NotEq(t, "", fault.Remedy)
	}
	must.SliceContainsAll(t, places, []string{
		"DEFAULT/stray/is before the first section",
		"account shop/rate_per_second/is given more than once",
		`account shop/rate_per_second/"many" is not a number`,
		"account shop/burst/is missing",
		"account shop/colour/is unknown here",
		"account shop//is given twice",
		`route r/timeout/"5" is not a duration`,
		"route r/path_prefix/is missing",
		`fleet/holders/"i1" is not a valid holder`,
		"shop//is unknown",
	})

	_, err = Parse("fleet.ini", []byte("[route r]\nnonsense\npath_prefix = /r\nservice = none\n[x]\n"))
	must.ErrorContains(t, err, "nonsense")
	must.ErrorContains(t, err, "[x]")
	_, err = Parse("fleet.ini", []byte("[route r]\npath_prefix = /r\nservice = none\n"))
	must.ErrorContains(t, err, "[route r] service")
}

// A file that omits an account whose keys have not been withdrawn must be refused
// before a command is sent.
func TestChangesRefuseRemovingAccountWithKeys(t *testing.T) {
	machine := fleetconfig.NewStateMachine()
	accept(t, machine, "setup", []fleetconfig.Change{
		{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: "shop", RatePerSecond: 1, Burst: 1}},
		{Kind: fleetconfig.GiveKey, Key: &fleetconfig.Key{Hash: fleetconfig.HashKey("k"), Account: "shop"}},
	})
	file, err := Parse("fleet.ini", []byte("[fleet]\npreset = peak\n"))
	must.NoError(t, err)
	_, err = file.Changes(machine.Document())
	must.ErrorContains(t, err, "withdraw the key")
}

// Each of several random files that are applied in sequence must yield the document
// that the file defines, whatever the document was before. Applying a file a second
// time must change nothing.
func TestChangesYieldDocumentOfFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := fleetconfig.NewStateMachine()
		for round := range rapid.IntRange(1, 5).Draw(t, "files") {
			text := drawFile(t)
			file, err := Parse("drawn.ini", []byte(text))
			must.NoError(t, err, must.Sprint(text))
			changes, err := file.Changes(machine.Document())
			must.NoError(t, err)
			if len(changes) > 0 {
				accept(t, machine, fmt.Sprint(round), changes)
			}
			must.Eq(t, file.wanted(machine.Document()), machine.Document())
			changes, err = file.Changes(machine.Document())
			must.NoError(t, err)
			must.SliceEmpty(t, changes)
		}
	})
}

func drawFile(t *rapid.T) string {
	var text strings.Builder
	preset := rapid.SampledFrom([]string{"ordinary", "peak", "extra"}).Draw(t, "preset")
	fmt.Fprintf(&text, "[fleet]\npreset = %s\n[preset %s]\nqueue_length = %d\n", preset, preset, rapid.IntRange(0, 3).Draw(t, "queue"))
	for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID[string]).Draw(t, "accounts") {
		fmt.Fprintf(&text, "[account %s]\nrate_per_second = %d\nburst = 1\n", name, rapid.IntRange(1, 3).Draw(t, "rate"))
	}
	for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"s", "t"}), rapid.ID[string]).Draw(t, "services") {
		fmt.Fprintf(&text, "[service %s]\n[route %s]\npath_prefix = /%s\nservice = %s\n", name, name, name, name)
	}
	return text.String()
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte("[account a]\nrate_per_second = %(x)s\n\"\"\"\n[a.b]\n=\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("fuzz.ini", data)
		if err != nil {
			must.NotEq(t, "", err.Error())
			return
		}
		must.SliceEmpty(t, fleetconfig.Validate(file.standalone()))
	})
}

// BenchmarkParse reads a file with 80,000 accounts.
func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	for i := range 80_000 {
		fmt.Fprintf(&text, "[account account-%06d]\nrate_per_second = 5\nburst = 10\n", i)
	}
	data := []byte(text.String())
	for b.Loop() {
		_, err := Parse("large.ini", data)
		must.NoError(b, err)
	}
}

// Guards against a file that resets what only other tools can set.
func TestFieldsWithoutKeySurviveFile(t *testing.T) {
	file, err := Parse("fleet.ini", []byte(example+`
[preset peak]
queue_length = 7
`))
	must.NoError(t, err)
	current := fleetconfig.NewDocument()
	current.Accounts = []fleetconfig.Account{{ID: "shop", RatePerSecond: 1, Burst: 1, Priority: 3}}
	current.Services = []fleetconfig.Service{{Name: "stock", MaxConnections: 90}}
	current.Routes = []fleetconfig.Route{{
		ID: "lookups", PathPrefix: "/old", Service: "stock", MaxAttempts: 2, LatencyTarget: time.Second, Priority: 2,
		Split: []fleetconfig.SplitPart{{Service: "stock", Weight: 1}},
	}}
	current.Presets = []fleetconfig.Preset{{Name: "peak", QueueLength: 1, RetryFloorPerSecond: 2, RetryWindow: time.Second, QuotaSlack: 4, RateOveragePercent: 30}}
	wanted := file.wanted(current)
	must.Eq(t, fleetconfig.Account{ID: "shop", RatePerSecond: 50, Burst: 20, Priority: 3}, wanted.Accounts[0])
	must.Eq(t, fleetconfig.Service{Name: "stock", FloorPercent: 60, MaxConnections: 90}, wanted.Services[0])
	must.Eq(t, current.Routes[0].Split, wanted.Routes[0].Split)
	must.Eq(t, 2, wanted.Routes[0].MaxAttempts)
	must.Eq(t, time.Second, wanted.Routes[0].LatencyTarget)
	must.Eq(t, 2, wanted.Routes[0].Priority)
	must.Eq(t, "/stock", wanted.Routes[0].PathPrefix)
	must.Eq(t, fleetconfig.Preset{Name: "peak", QueueLength: 7, RetryFloorPerSecond: 2, RetryWindow: time.Second, QuotaSlack: 4, RateOveragePercent: 30}, wanted.Presets[0])

	current.Routes[0].Service = "catalogue"
	must.SliceEmpty(t, file.wanted(current).Routes[0].Split)
}

// The cold rate of a service that the file does not name is zero, and one out of range is a fault.
func TestColdRateOfServiceIsReadAndChecked(t *testing.T) {
	parse := func(keys string) ([]fleetconfig.Change, error) {
		file, err := Parse("fleet.ini", []byte(strings.Replace(example, "floor_percent = 60", keys, 1)))
		if err != nil {
			return nil, err
		}
		return file.Changes(fleetconfig.NewDocument())
	}
	machine := fleetconfig.NewStateMachine()
	changes, err := parse("cold_rate = 12.5\ncold_start = 3s")
	must.NoError(t, err)
	accept(t, machine, "cold", changes)
	must.Eq(t, []fleetconfig.Service{{Name: "stock", ColdRate: 12.5, ColdStart: 3 * time.Second}}, machine.Document().Services)
	for _, keys := range []string{"cold_rate = -1", "cold_rate = NaN", "cold_rate = 1e9", "cold_rate = few", "cold_start = -1s", "cold_start = 2h"} {
		_, err := parse(keys)
		must.ErrorContains(t, err, "cold_", must.Sprint(keys))
	}
}
