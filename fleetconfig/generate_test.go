package fleetconfig

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/internal/codec"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// There are only a few names for items, so that changes often affect existing items.
var (
	accountIDs   = []AccountID{"a", "b", "c", "d"}
	serviceNames = []ServiceName{"catalogue", "stock"}
	routeIDs     = []string{"r1", "r2", "r3"}
	presetNames  = []string{PresetOrdinary, PresetPeak, PresetMaintenance, "extra"}
	keyTexts     = []string{"k1", "k2", "k3", "k4", "k5"}
	instances    = []InstanceAddress{
		{ID: "i1", Address: "192.0.2.1:7400", FailureDomain: "fd1"},
		{ID: "i2", Address: "192.0.2.2:7400", FailureDomain: "fd2"},
		{ID: "i3", Address: "192.0.2.3:7400", FailureDomain: "fd3"},
		{ID: "i4", Address: "192.0.2.4:7400", FailureDomain: "fd1"},
	}
)

func drawAccount(t *rapid.T) *Account {
	return &Account{
		ID:            rapid.SampledFrom(accountIDs).Draw(t, "account"),
		RatePerSecond: float64(rapid.IntRange(0, 5).Draw(t, "rate")),
		Burst:         uint32(rapid.IntRange(1, 5).Draw(t, "burst")),
	}
}

func drawRoute(t *rapid.T) *Route {
	return &Route{
		ID:         rapid.SampledFrom(routeIDs).Draw(t, "route"),
		PathPrefix: rapid.SampledFrom([]string{"/", "/orders", "/stock", "bad"}).Draw(t, "prefix"),
		Service:    rapid.SampledFrom(serviceNames).Draw(t, "service"),
		Timeout:    time.Second,
	}
}

func drawPreset(t *rapid.T) *Preset {
	return &Preset{
		Name:        rapid.SampledFrom(presetNames).Draw(t, "preset"),
		QueueLength: uint32(rapid.IntRange(0, 3).Draw(t, "queue")),
		SlowStart:   time.Second,
	}
}

func drawStep(t *rapid.T, document *Document) Change {
	if len(document.Shards.Shards) == 0 {
		return Change{Kind: PlaceShards, Shards: []ShardPlacement{
			{Replicas: instances[:2]}, {Replicas: instances[1:3]},
		}}
	}
	count := rapid.IntRange(1, len(instances)).Draw(t, "replicas")
	return Change{Kind: StepShard, Step: &ShardStep{
		Shard:    uint32(rapid.IntRange(0, 2).Draw(t, "shard")),
		Epoch:    document.Shards.Epoch + 1,
		Replicas: rapid.Permutation(instances).Draw(t, "order")[:count],
	}}
}

// newSmallMachine returns a state machine with a few items, so that most kinds of
// change can be accepted.
func newSmallMachine(t must.T) *StateMachine {
	machine := NewStateMachine()
	result := propose(t, machine, &Command{ChangeID: "setup", Changes: []Change{
		{Kind: CreateAccount, Account: &Account{ID: "a", RatePerSecond: 1, Burst: 1}},
		{Kind: CreateAccount, Account: &Account{ID: "b", RatePerSecond: 1, Burst: 1}},
		{Kind: GiveKey, Key: &Key{Hash: HashKey("k1"), Account: "a"}},
		{Kind: GiveKey, Key: &Key{Hash: HashKey("k2"), Account: "b"}},
		{Kind: CreateService, Service: &Service{Name: "stock"}},
		{Kind: CreateRoute, Route: &Route{ID: "r1", PathPrefix: "/", Service: "stock"}},
	}})
	must.Eq(t, VerdictAccepted, result.Verdict)
	return machine
}

// drawChange draws a change, often a valid one.
func drawChange(t *rapid.T, document *Document) Change {
	kind := rapid.SampledFrom([]ChangeKind{
		CreateAccount, UpdateAccount, RemoveAccount, GiveKey, WithdrawKey, CreateRoute, UpdateRoute, RemoveRoute,
		CreateService, UpdateService, RemoveService, CreatePreset, UpdatePreset, RemovePreset, UsePreset, StepShard, SetHolders,
	}).Draw(t, "kind")
	change := Change{Kind: kind}
	switch kind {
	case CreateAccount, UpdateAccount:
		change.Account = drawAccount(t)
	case RemoveAccount:
		change.Name = string(rapid.SampledFrom(accountIDs).Draw(t, "account"))
	case GiveKey:
		hash := HashKey(rapid.SampledFrom(keyTexts).Draw(t, "key"))
		change.Key = &Key{Hash: hash, Account: rapid.SampledFrom(accountIDs).Draw(t, "account")}
	case WithdrawKey:
		change.Name = string(HashKey(rapid.SampledFrom(keyTexts).Draw(t, "key")).ID())
	case CreateRoute, UpdateRoute:
		change.Route = drawRoute(t)
	case RemoveRoute:
		change.Name = rapid.SampledFrom(routeIDs).Draw(t, "route")
	case CreateService, UpdateService:
		name := rapid.SampledFrom(serviceNames).Draw(t, "service")
		change.Service = &Service{Name: name, FloorPercent: uint32(rapid.IntRange(0, 120).Draw(t, "floor"))}
	case RemoveService:
		change.Name = string(rapid.SampledFrom(serviceNames).Draw(t, "service"))
	case CreatePreset, UpdatePreset:
		change.Preset = drawPreset(t)
	case RemovePreset, UsePreset:
		change.Name = rapid.SampledFrom(presetNames).Draw(t, "preset")
	case StepShard:
		change = drawStep(t, document)
	case SetHolders:
		change.Holders = instances[:rapid.IntRange(0, len(instances)).Draw(t, "holders")]
	}
	return change
}

func drawChanges(t *rapid.T, document *Document) []Change {
	changes := make([]Change, rapid.IntRange(1, 2).Draw(t, "changes"))
	for i := range changes {
		changes[i] = drawChange(t, document)
	}
	return changes
}

func drawCommand(t *rapid.T, document *Document, number int) *Command {
	return &Command{
		ChangeID:    fmt.Sprintf("change-%d", number),
		BaseVersion: document.Version,
		Operator:    "operator",
		ProposedAt:  time.Unix(int64(number), 0).UTC(),
		Changes:     drawChanges(t, document),
	}
}

// propose applies a command and returns the result.
func propose(t must.T, machine *StateMachine, command *Command) *Result {
	entry, err := EncodeCommand(command)
	must.NoError(t, err)
	result, err := DecodeResult(machine.Apply(0, entry))
	must.NoError(t, err)
	return result
}

func encoding(t must.T, value any) string {
	data, err := codec.Marshal(value)
	must.NoError(t, err)
	return string(data)
}

// restored returns a state machine restored from a snapshot of the given one.
func restored(t must.T, machine *StateMachine) *StateMachine {
	data, err := machine.Snapshot()
	must.NoError(t, err)
	other := NewStateMachine()
	must.NoError(t, other.Restore(data))
	return other
}

// largeDocument returns a document with the given numbers of accounts and routes. Each
// account has one key.
func largeDocument(tb testing.TB, accounts, routes int) *Document {
	changes := []Change{{Kind: CreateService, Service: &Service{Name: "stock"}}}
	for i := range accounts {
		id := AccountID(fmt.Sprintf("account-%06d", i))
		hash := HashKey(string(id))
		changes = append(changes,
			Change{Kind: CreateAccount, Account: &Account{ID: id, RatePerSecond: 5, Burst: 10}},
			Change{Kind: GiveKey, Key: &Key{Hash: hash, Account: id}})
	}
	for i := range routes {
		id := fmt.Sprintf("route-%05d", i)
		changes = append(changes, Change{Kind: CreateRoute, Route: &Route{ID: id, PathPrefix: "/" + id, Service: "stock"}})
	}
	document, faults := edit(NewDocument(), changes)
	must.SliceEmpty(tb, faults)
	return document
}
