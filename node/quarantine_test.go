package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/internal/testbed"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quarantine"
)

const (
	crashPath = "/open/item?" + emulator.CrashParameter
	// quarantineDelay is the time from the third crash under a request until all instances
	// refuse it, and maxLateRuns how many runs are allowed after that.
	quarantineDelay = 3 * time.Second
	maxLateRuns     = 3
)

// crashes returns how often backend servers crashed, and how often a request that crashes
// them ran.
func (f *testFleet) crashes() (crashes, runs int) {
	for _, backend := range f.backends {
		executions := backend.Executions()
		crashes += executions.Crashes
		runs += executions.CrashRuns
	}
	return crashes, runs
}

// pathLoad counts the responses to a load of one request.
type pathLoad struct {
	served, failed atomic.Int64
}

// sendPath sends the same request to the instances in turn until ctx ends.
func (f *testFleet) sendPath(ctx context.Context, method, path string, perSecond int) *pathLoad {
	load := &pathLoad{}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return load
		case <-ticker.C:
		}
		pending.Go(func() {
			request, err := http.NewRequest(method, f.url(i%len(f.nodes), path), nil)
			if err != nil {
				load.failed.Add(1)
				return
			}
			response, err := f.client.Do(request)
			if err != nil {
				load.failed.Add(1)
				return
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				load.served.Add(1)
			} else {
				load.failed.Add(1)
			}
		})
	}
}

// allQuarantine reports whether a request is quarantined at every instance.
func (f *testFleet) allQuarantine() bool {
	for _, node := range f.nodes {
		if !node.quarantine.AnyQuarantined() {
			return false
		}
	}
	return true
}

// sendCopies sends the same request so often to each instance, one copy after the other.
func (f *testFleet) sendCopies(t *testing.T, method, path string, each int) {
	t.Helper()
	for i := range each * len(f.nodes) {
		request, err := http.NewRequest(method, f.url(i%len(f.nodes), path), nil)
		must.NoError(t, err)
		response, err := f.client.Do(request)
		must.NoError(t, err)
		response.Body.Close()
	}
}

func TestRequestThatCrashedThreeServersIsNotSentToMore(t *testing.T) {
	t.Parallel()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			fleet := startFleet(t, 6, emulator.Config{Slots: 4, ServiceTime: 30 * time.Millisecond})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var loads sync.WaitGroup
			loads.Go(func() { fleet.sendPath(ctx, method, crashPath, 10) })
			loads.Go(func() { fleet.sendPath(ctx, method, "/open/other", 60) })
			waitFor(t, func() bool {
				crashes, _ := fleet.crashes()
				return crashes >= 3 || fleet.allQuarantine()
			})
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(fleet.allQuarantine), wait.Timeout(quarantineDelay), wait.Gap(5*time.Millisecond)))
			_, before := fleet.crashes()
			fleet.sendCopies(t, method, crashPath, 20)
			cancel()
			loads.Wait()
			crashes, runs := fleet.crashes()
			t.Logf("%d crashes, %d runs in all", crashes, runs)
			must.LessEq(t, maxLateRuns, runs-before)
		})
	}
}

// innocentLoad sends requests of which half are the same word for word, and counts those that
// were refused as quarantined.
type innocentLoad struct {
	answered, failed, quarantined atomic.Int64
}

func (f *testFleet) sendInnocents(ctx context.Context, perSecond int) *innocentLoad {
	load := &innocentLoad{}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return load
		case <-ticker.C:
		}
		pending.Go(func() {
			path := "/open/popular"
			if i%2 == 0 {
				path = fmt.Sprintf("/open/item/%d", i)
			}
			response, err := f.client.Get(f.url(i/2%len(f.nodes), path))
			if err != nil {
				load.failed.Add(1)
				return
			}
			response.Body.Close()
			switch {
			case response.StatusCode == http.StatusOK:
				load.answered.Add(1)
			case response.Header.Get(pipeline.HeaderRefusal) == string(pipeline.KindQuarantined):
				load.quarantined.Add(1)
			default:
				load.failed.Add(1)
			}
		})
	}
}

func TestRequestsBesideQueriesOfDeathAreServed(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 9, emulator.Config{Slots: 4, ServiceTime: 30 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var loads sync.WaitGroup
	loads.Go(func() { fleet.sendPath(ctx, http.MethodGet, crashPath, 6) })
	loads.Go(func() { fleet.sendPath(ctx, http.MethodPost, "/open/other?"+emulator.CrashParameter, 6) })
	innocents := fleet.sendInnocents(ctx, 100)
	loads.Wait()
	crashes, runs := fleet.crashes()
	answered, failed := innocents.answered.Load(), innocents.failed.Load()
	t.Logf("%d crashes, %d runs, %d requests answered, %d failed", crashes, runs, answered, failed)
	must.Zero(t, innocents.quarantined.Load())
	// Two requests crash at most three servers each, and copies may be under way at others.
	must.LessEq(t, 10, crashes)
	must.Greater(t, 19*failed, answered)
}

// quarantine crashes servers with crashPath until every instance refuses it.
func (f *testFleet) quarantineCrashPath(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.sendPath(ctx, http.MethodGet, crashPath, 10)
	waitFor(t, f.allQuarantine)
}

func TestRestartedInstanceRefusesQuarantinedRequest(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 4, emulator.Config{Slots: 4, ServiceTime: 30 * time.Millisecond})
	fleet.quarantineCrashPath(t)
	_, before := fleet.crashes()
	fleet.restart(t, 0)
	waitFor(t, fleet.nodes[0].quarantine.AnyQuarantined)
	response, err := fleet.client.Get(fleet.url(0, crashPath))
	must.NoError(t, err)
	response.Body.Close()
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, string(pipeline.KindQuarantined), response.Header.Get(pipeline.HeaderRefusal))
	must.Eq(t, pipeline.OutcomeNotRun.String(), response.Header.Get(pipeline.HeaderOutcome))
	_, after := fleet.crashes()
	must.Eq(t, before, after)
}

// A request with the same head and another body is another request.
func TestRequestWithOtherBodyIsNotQuarantined(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, emulator.Config{Slots: 4, ServiceTime: 10 * time.Millisecond})
	fingerprint := func(body string) quarantine.Request {
		hasher := fleet.nodes[0].fingerprintKey.NewHasher(quarantine.Content{
			Service: "catalogue", Account: "acme", Method: http.MethodPut, Target: "/orders/1", DeclaredLength: int64(len(body)),
		})
		_, _ = hasher.Write([]byte(body))
		sum, known := hasher.Sum()
		must.True(t, known)
		return quarantine.Request{Fingerprint: sum, Account: "acme", Service: "catalogue"}
	}
	for id := range quarantine.CrashID(3) {
		fleet.nodes[1].quarantine.WitnessCrash(id, []quarantine.Request{fingerprint("bad")}, 0)
	}
	waitFor(t, fleet.nodes[0].quarantine.AnyQuarantined)
	response, _ := fleet.send(t, 0, http.MethodPut, "/orders/1", "bad")
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	response, body := fleet.send(t, 0, http.MethodPut, "/orders/1", "good")
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, "good", body)
}

// The witness of a crash is cut off at the moment of the crash, and the fleet learns of it from
// the others alone; then it learns what the others know.
func TestQuarantineReachesInstanceThatWasCutOff(t *testing.T) {
	t.Parallel()
	layout, err := testbed.CreateRelayed(t.TempDir(), testbed.Specs(5, 1, 5))
	must.NoError(t, err)
	relay, err := testbed.StartRelay(layout)
	must.NoError(t, err)
	t.Cleanup(relay.Close)
	fleet := startFleetOf(t, layout, func(int) emulator.Config { return emulator.Config{Slots: 4, ServiceTime: 30 * time.Millisecond} })
	cutOff := layout.Instances[4].ID
	waitFor(t, func() bool {
		response, err := fleet.client.Get(fleet.url(4, crashPath))
		if err == nil {
			response.Body.Close()
		}
		return fleet.backends[4].Executions().Crashes > 0
	})
	relay.Isolate(cutOff, true)
	others := *fleet
	others.nodes = fleet.nodes[:4]
	others.quarantineCrashPath(t)
	crashes, _ := fleet.crashes()
	must.LessEq(t, 8, crashes)
	relay.Isolate(cutOff, false)
	waitFor(t, fleet.nodes[4].quarantine.AnyQuarantined)
}
