package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/internal/testbed"
	"github.com/hemlockring/hemlockring/settings"
)

// startFleetWithControl starts a fleet whose first three instances have the role control
// and store the configuration. In the fleets of startFleet, the test sets the
// configuration directly.
func startFleetWithControl(t testing.TB, instances int, backend emulator.Config) *testFleet {
	t.Helper()
	layout, err := testbed.Create(t.TempDir(), testbed.Specs(instances, 3, 3))
	must.NoError(t, err)
	fleet := &testFleet{layout: layout, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	for i := range layout.Instances {
		fleet.startInstance(t, i)
		fleet.addBackend(t, &layout.Instances[i], backend)
	}
	t.Cleanup(fleet.client.CloseIdleConnections)
	fleet.waitForServers(t, instances)
	waitFor(t, func() bool { return fleet.leader() != nil })
	version := fleet.propose(t, addTestDocument()...)
	fleet.waitForShards(t)
	// The shard map may have come into force before the proposed version.
	fleet.waitForVersion(t, version)
	return fleet
}

func (f *testFleet) startInstance(t testing.TB, instance int) {
	t.Helper()
	loaded, err := settings.Load(f.layout.Instances[instance].SettingsFile)
	must.NoError(t, err)
	node, err := New(loaded, Options{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	must.NoError(t, err)
	f.run(t, node)
}

// leader returns the leader of the control instances, or nil.
func (f *testFleet) leader() *Node {
	for _, node := range f.nodes {
		if node.control != nil && node.control.IsLeader() {
			return node
		}
	}
	return nil
}

// waitForShards waits until the shard map on every instance is past its initial epoch
// and every shard has an owner.
func (f *testFleet) waitForShards(t testing.TB) {
	t.Helper()
	waitFor(t, func() bool {
		owned := 0
		for _, node := range f.nodes {
			shards := node.configuration.View().Document().Shards
			if shards.Epoch < 2 {
				return false
			}
			owned += node.quota.OwnedShards()
		}
		return owned == len(f.nodes[0].configuration.View().Document().Shards.Shards)
	})
}

// addTestDocument returns the changes that create the content of testDocument.
func addTestDocument() []fleetconfig.Change {
	document := testDocument()
	var changes []fleetconfig.Change
	for i := range document.Accounts {
		changes = append(changes, fleetconfig.Change{Kind: fleetconfig.CreateAccount, Account: &document.Accounts[i]})
	}
	for i := range document.Keys {
		changes = append(changes, fleetconfig.Change{Kind: fleetconfig.GiveKey, Key: &document.Keys[i]})
	}
	for i := range document.Services {
		changes = append(changes, fleetconfig.Change{Kind: fleetconfig.CreateService, Service: &document.Services[i]})
	}
	for i := range document.Routes {
		changes = append(changes, fleetconfig.Change{Kind: fleetconfig.CreateRoute, Route: &document.Routes[i]})
	}
	return changes
}

// propose proposes changes on the leader and returns the resulting version. It retries
// after errors and after conflicts with other changes.
func (f *testFleet) propose(t testing.TB, changes ...fleetconfig.Change) uint64 {
	t.Helper()
	var version uint64
	waitFor(t, func() bool {
		leader := f.leader()
		if leader == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		command := &fleetconfig.Command{
			ChangeID:    uuid.NewString(),
			BaseVersion: leader.configuration.View().Version(),
			Operator:    "test",
			Changes:     changes,
		}
		result, err := leader.configSync.Propose(ctx, command)
		if err == nil {
			err = result.Err()
		}
		if err != nil {
			return false
		}
		version = result.Version
		return true
	})
	return version
}

// waitForVersion waits until every instance serves from the version or a later one.
func (f *testFleet) waitForVersion(t testing.TB, version uint64) {
	t.Helper()
	waitFor(t, func() bool {
		for _, node := range f.nodes {
			if node.configuration.View().Version() < version {
				return false
			}
		}
		return true
	})
}

// After a key is withdrawn, every instance refuses requests that carry it, with status
// 401.
func TestWithdrawnKeyRejectedByAllInstances(t *testing.T) {
	t.Parallel()
	fleet := startFleetWithControl(t, 5, emulator.Config{Slots: 50})
	for i := range 5 {
		response, _ := fleet.send(t, i, http.MethodGet, "/orders", "")
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
	version := fleet.propose(t, fleetconfig.Change{Kind: fleetconfig.WithdrawKey, Name: string(fleetconfig.HashKey(testKey).ID())})
	fleet.waitForVersion(t, version)
	for i := range 5 {
		response, _ := fleet.send(t, i, http.MethodGet, "/orders", "")
		must.Eq(t, http.StatusUnauthorized, response.StatusCode)
	}
}

// After all control instances have stopped, the other instances continue to serve
// requests with the last configuration that they received.
func TestRequestsServedWithoutControl(t *testing.T) {
	t.Parallel()
	fleet := startFleetWithControl(t, 5, emulator.Config{Slots: 50})
	for i := range 3 {
		fleet.stops[i]()
	}
	for i := range 3 {
		must.NoError(t, <-fleet.ended[i])
	}
	for i := range 20 {
		response, _ := fleet.send(t, 3+i%2, http.MethodGet, "/open", "")
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
}
