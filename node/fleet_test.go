package node

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/internal/testbed"
	"github.com/hemlockring/hemlockring/settings"
	"github.com/hemlockring/hemlockring/shard"
)

const (
	testKey    = "test-key-of-acme"
	testShards = 4

	smallKey   = "test-key-of-small"
	smallRate  = 20
	smallBurst = 10
)

// testConfiguration is a configuration that tests set directly. It is always current.
type testConfiguration struct {
	view atomic.Pointer[fleetconfig.View]
}

func (c *testConfiguration) View() *fleetconfig.View { return c.view.Load() }

func (*testConfiguration) Current(time.Time) (bool, time.Duration) { return true, 0 }

func (*testConfiguration) CurrentUntil() time.Time { return time.Now().Add(time.Minute) }

// set applies a change to the configuration, which all nodes share.
func (c *testConfiguration) set(change func(document *fleetconfig.Document)) {
	document := testDocument()
	if view := c.view.Load(); view != nil {
		*document = *view.Document()
		document.Version++
	}
	change(document)
	c.view.Store(fleetconfig.NewView(document))
}

func testDocument() *fleetconfig.Document {
	document := &fleetconfig.Document{
		Version: 1,
		Accounts: []fleetconfig.Account{
			{ID: "acme", RatePerSecond: 1e6, Burst: 1e6},
			{ID: "small", RatePerSecond: smallRate, Burst: smallBurst},
		},
		Keys: []fleetconfig.Key{
			{Hash: fleetconfig.HashKey(testKey), Account: "acme"},
			{Hash: fleetconfig.HashKey(smallKey), Account: "small"},
		},
		Routes: []fleetconfig.Route{
			{ID: "orders", PathPrefix: "/orders", Service: "catalogue"},
			{ID: "open", PathPrefix: "/open", Service: "catalogue", OpenToAll: true},
			{ID: "short", PathPrefix: "/short", Service: "catalogue", Timeout: 300 * time.Millisecond},
		},
		Services: []fleetconfig.Service{{Name: "catalogue"}},
	}
	slices.SortFunc(document.Keys, func(a, b fleetconfig.Key) int { return bytes.Compare(a.Hash[:], b.Hash[:]) })
	return document
}

// testFleet is a fleet of nodes in this process. The slices stops and ended are indexed
// like nodes.
type testFleet struct {
	layout   *testbed.Layout
	config   *testConfiguration
	nodes    []*Node
	stops    []context.CancelFunc
	ended    []chan error
	backends []*emulator.Server
	client   *http.Client
}

// startFleet starts instances with one emulated backend server each, or none if the
// backend configuration has no slots.
func startFleet(t testing.TB, instances int, backend emulator.Config) *testFleet {
	t.Helper()
	return startFleetWith(t, instances, func(int) emulator.Config { return backend })
}

// startFleetWith is startFleet with a separate backend configuration for each instance.
func startFleetWith(t testing.TB, instances int, backend func(instance int) emulator.Config) *testFleet {
	t.Helper()
	layout, err := testbed.Create(t.TempDir(), testbed.Specs(instances, 1, 3))
	must.NoError(t, err)
	return startFleetOf(t, layout, backend)
}

// startFleetOf starts the instances of a layout like startFleetWith.
func startFleetOf(t testing.TB, layout *testbed.Layout, backend func(instance int) emulator.Config) *testFleet {
	t.Helper()
	fleet := &testFleet{layout: layout, config: &testConfiguration{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	var addresses []fleetconfig.InstanceAddress
	for _, instance := range layout.Instances {
		addresses = append(addresses, fleetconfig.InstanceAddress{ID: instance.ID, Address: instance.FleetAddress, FailureDomain: instance.FailureDomain})
	}
	fleet.config.set(func(document *fleetconfig.Document) { document.Shards = shard.InitialMap(testShards, addresses) })
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	for i := range layout.Instances {
		loaded, err := settings.Load(layout.Instances[i].SettingsFile)
		must.NoError(t, err)
		node, err := New(loaded, Options{Configuration: fleet.config}, logger)
		must.NoError(t, err)
		fleet.run(t, node)
		if config := backend(i); config.Slots > 0 {
			fleet.addBackend(t, &layout.Instances[i], config)
		}
	}
	t.Cleanup(fleet.client.CloseIdleConnections)
	fleet.waitForServers(t, len(fleet.backends))
	fleet.waitForLeases(t)
	fleet.openShards(t)
	return fleet
}

func (f *testFleet) run(t testing.TB, node *Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	f.nodes = append(f.nodes, node)
	f.stops = append(f.stops, cancel)
	f.ended = append(f.ended, ended)
	t.Cleanup(cancel)
}

func (f *testFleet) addBackend(t testing.TB, instance *testbed.Instance, config emulator.Config) {
	t.Helper()
	server := emulator.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	address, err := server.Listen(ctx, "127.0.0.1:0")
	must.NoError(t, err)
	announcer := &emulator.Announcer{LocalAddress: instance.LocalAddress, ID: "b1", ProcessStart: server.ProcessStart, Down: server.Down, Announcement: backendproxy.Announcement{
		Service: "catalogue", Address: address, Slots: uint32(config.Slots), State: backendproxy.StateReady, LifetimeMillis: 3000,
	}}
	if config.ColdRate > 0 {
		announcer.ColdRemaining = server.ColdRemaining
	}
	go announcer.Run(ctx)
	f.backends = append(f.backends, server)
}

func (f *testFleet) waitForServers(t testing.TB, want int) {
	t.Helper()
	waitFor(t, func() bool {
		for _, node := range f.nodes {
			if len(node.members.Snapshot().Servers("catalogue")) < want {
				return false
			}
		}
		return true
	})
}

// waitForLeases waits until every shard has an owner.
func (f *testFleet) waitForLeases(t testing.TB) {
	t.Helper()
	waitFor(t, func() bool {
		owned := 0
		for _, node := range f.nodes {
			owned += node.quota.OwnedShards()
		}
		return owned == testShards
	})
}

// openShards ends the initial epoch of the shard map once every replica has confirmed it,
// as the leader of the control instances does in a fleet with control instances.
func (f *testFleet) openShards(t testing.TB) {
	t.Helper()
	f.waitForReplicas(t)
	f.config.set(func(document *fleetconfig.Document) { document.Shards.Epoch++ })
	f.waitForReplicas(t)
}

// waitForReplicas waits until all replicas of the order records are ready.
func (f *testFleet) waitForReplicas(t testing.TB) {
	t.Helper()
	shards := f.config.View().Document().Shards
	waitFor(t, func() bool {
		for number, placement := range shards.Shards {
			ready := 0
			for _, status := range f.nodes[0].orders.FetchStatuses(context.Background(), shards, number) {
				if status.Ready && status.Epoch == shards.Epoch {
					ready++
				}
			}
			if ready < len(placement.Replicas) {
				return false
			}
		}
		return true
	})
}

func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(90*time.Second), wait.Gap(5*time.Millisecond)))
}

// url returns the URL of a path on the caller port of an instance.
func (f *testFleet) url(instance int, path string) string {
	return "http://" + f.layout.Instances[instance].CallerAddress + path
}

// send sends a request with the test account's key.
func (f *testFleet) send(t testing.TB, instance int, method, path, body string) (*http.Response, string) {
	t.Helper()
	return f.sendWithKey(t, instance, testKey, method, path, body)
}

// sendWithKey sends a request with a key and returns the response and its body.
func (f *testFleet) sendWithKey(t testing.TB, instance int, key, method, path, body string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, f.url(instance, path), strings.NewReader(body))
	must.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := f.client.Do(request)
	must.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	return response, string(data)
}

// executions returns the executions on all backend servers: their number, the number for
// each order, and how many carried a client account's key.
func (f *testFleet) executions() (total int, byOrder map[string]int, keys int) {
	byOrder = make(map[string]int)
	for _, backend := range f.backends {
		executions := backend.Executions()
		total += executions.Total
		keys += executions.WithCredentials
		for order, count := range executions.Orders {
			byOrder[order] += count
		}
	}
	return total, byOrder, keys
}
