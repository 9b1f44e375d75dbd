package e2e

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/bench"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/internal/testbed"
	"github.com/hemlockring/hemlockring/pipeline"
)

// TestMain runs the hemlockbench command instead of the tests in processes that the tests
// start.
func TestMain(m *testing.M) {
	if os.Getenv(testbed.ProcessEnvVar) != "" {
		os.Exit(bench.Main())
	}
	os.Exit(m.Run())
}

const (
	service         = "catalogue"
	accountKey      = "key-of-acme"
	testTimeout     = 3 * time.Minute
	withdrawalBound = 5 * time.Second
	slots           = 20
	serviceTime     = 2 * time.Millisecond
)

// fleet is a running fleet with a client and the relay of its datagrams, if it has one.
type fleet struct {
	*testbed.Fleet
	ctx    context.Context
	client *http.Client
	relay  *testbed.Relay
}

// start starts a fleet in three failure domains. If relayed is true, its datagrams pass
// through a relay.
func start(t *testing.T, instances, controls int, relayed bool) *fleet {
	t.Helper()
	return startSpecs(t, testbed.Specs(instances, controls, 3), relayed)
}

// startSpecs starts a fleet and waits until it serves. Every instance with the proxy role
// gets a backend server.
func startSpecs(t *testing.T, specs []testbed.InstanceSpec, relayed bool) *fleet {
	t.Helper()
	var backendInstances []int
	for i, spec := range specs {
		if !spec.ControlOnly {
			backendInstances = append(backendInstances, i)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	create := testbed.Create
	if relayed {
		create = testbed.CreateRelayed
	}
	layout, err := create(t.TempDir(), specs)
	must.NoError(t, err)
	started := &fleet{ctx: ctx, client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	if relayed {
		started.relay, err = testbed.StartRelay(layout)
		must.NoError(t, err)
		t.Cleanup(started.relay.Close)
	}
	started.Fleet, err = testbed.StartFleet(layout, testbed.BackendSpec{Service: service, Slots: slots, ServiceTime: serviceTime, Instances: backendInstances})
	must.NoError(t, err)
	t.Cleanup(started.Kill)
	t.Cleanup(started.client.CloseIdleConnections)
	version, err := started.ApplyChanges(ctx, documentChanges()...)
	must.NoError(t, err)
	must.NoError(t, started.WaitServing(ctx, version))
	return started
}

func documentChanges() []fleetconfig.Change {
	account := &fleetconfig.Account{ID: "acme", RatePerSecond: 10_000, Burst: 10_000}
	return []fleetconfig.Change{
		{Kind: fleetconfig.CreateService, Service: &fleetconfig.Service{Name: service, FloorPercent: 50}},
		{Kind: fleetconfig.CreateRoute, Route: &fleetconfig.Route{ID: "open", PathPrefix: "/open", Service: service, OpenToAll: true, Timeout: 5 * time.Second}},
		{Kind: fleetconfig.CreateRoute, Route: &fleetconfig.Route{ID: "orders", PathPrefix: "/orders", Service: service, Timeout: 5 * time.Second}},
		{Kind: fleetconfig.CreateAccount, Account: account},
		{Kind: fleetconfig.GiveKey, Key: &fleetconfig.Key{Hash: fleetconfig.HashKey(accountKey), Account: "acme"}},
	}
}

// requestResult is the response to a request, or the error if there is none.
type requestResult struct {
	status    int
	outcome   string
	refusal   string
	requestID string
	err       error
}

// send sends a request with the account's key through an instance. If order is not empty,
// it is the request's Idempotency-Key.
func (f *fleet) send(instance int, method, path, order string) requestResult {
	request, err := http.NewRequestWithContext(f.ctx, method, "http://"+f.Layout.Instances[instance].CallerAddress+path, strings.NewReader(order))
	if err != nil {
		return requestResult{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	if order != "" {
		request.Header.Set(pipeline.HeaderIdempotencyKey, order)
		request.Header.Set(emulator.HeaderOrder, order)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return requestResult{err: err}
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return requestResult{
		status:    response.StatusCode,
		outcome:   response.Header.Get(pipeline.HeaderOutcome),
		refusal:   response.Header.Get(pipeline.HeaderRefusal),
		requestID: response.Header.Get(pipeline.HeaderRequestID),
		err:       err,
	}
}

// waitUntil waits until the condition holds and fails the test on a timeout.
func (f *fleet) waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.NoError(t, testbed.WaitUntil(f.ctx, what, condition))
}

// leader returns the index of the instance that is the leader of the control instances.
func (f *fleet) leader(t *testing.T) int {
	t.Helper()
	found := -1
	f.waitUntil(t, "a leader", func() bool {
		for i, instance := range f.Layout.Instances {
			if f.Daemons[i] == nil || !instance.Control {
				continue
			}
			ready, err := f.Readiness(i)
			if err == nil && ready.IsLeader {
				found = i
			}
		}
		return found >= 0
	})
	return found
}
