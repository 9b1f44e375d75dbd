package node

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/internal/emulator"
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

// waitForCrashes waits until so many servers have crashed, and returns the number of runs at
// the end of quarantineDelay after that.
func (f *testFleet) waitForCrashes(t *testing.T, count int) (runs int) {
	t.Helper()
	waitFor(t, func() bool {
		crashes, _ := f.crashes()
		return crashes >= count
	})
	time.Sleep(quarantineDelay)
	_, runs = f.crashes()
	return runs
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
			before := fleet.waitForCrashes(t, 3)
			time.Sleep(2 * quarantineDelay)
			cancel()
			loads.Wait()
			crashes, runs := fleet.crashes()
			t.Logf("%d crashes, %d runs in all", crashes, runs)
			must.LessEq(t, maxLateRuns, runs-before)
		})
	}
}
