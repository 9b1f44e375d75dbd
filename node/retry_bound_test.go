package node

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/pipeline"
)

// The bound on repeats in the tests below, as operators state it: in every window, at most a
// ratio of the requests and a slack.
const (
	repeatWindow = 2 * time.Second
	repeatRatio  = 0.2
	repeatSlack  = 16
)

// headerRepeatedRun is how the servers of these tests mark requests that a repeated run sends.
const headerRepeatedRun = "X-Repeated-Run"

// arrivalLedger records what arrives at the servers of one service.
type arrivalLedger struct {
	mu       sync.Mutex
	runs     map[string]int
	requests []time.Time
	repeats  []time.Time
}

// arrive records an arrival and reports whether it is a repeat: another attempt of a request, or
// a request that a repeated run sends.
func (l *arrivalLedger) arrive(request *http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := request.Header.Get(pipeline.HeaderRequestID)
	l.runs[id]++
	repeat := l.runs[id] > 1 || request.Header.Get(headerRepeatedRun) != ""
	if repeat {
		l.repeats = append(l.repeats, time.Now())
	} else {
		l.requests = append(l.requests, time.Now())
	}
	return repeat
}

// countBetween returns how many of the times lie in [from, to].
func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && !at.After(to) {
			count++
		}
	}
	return count
}

// excess returns by how much the repeats of the worst window exceed the bound. The ratio is
// taken of the requests in the window, the one before or the one half a window before.
func (l *arrivalLedger) excess() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	worst := -float64(repeatSlack)
	for _, from := range l.repeats {
		requests := 0
		for _, shift := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
			requests = max(requests, countBetween(l.requests, from.Add(-shift), from.Add(repeatWindow-shift)))
		}
		repeats := countBetween(l.repeats, from, from.Add(repeatWindow))
		worst = max(worst, float64(repeats)-repeatRatio*float64(requests)-repeatSlack)
	}
	return worst
}

// addServer starts a server at an instance and announces it. It answers a share of its requests with
// status 500, at once, and sends the given number of calls for each of the others.
func (f *testFleet) addServer(t *testing.T, instance int, service fleetconfig.ServiceName, ledger *arrivalLedger, failing float64, calls int) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		repeated := ledger.arrive(request)
		if rand.Float64() < failing {
			http.Error(w, "failed", http.StatusInternalServerError)
			return
		}
		for range calls {
			if !f.call(request, instance, repeated) {
				http.Error(w, "a call failed", http.StatusInternalServerError)
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	const slots = 64
	announcer := &emulator.Announcer{LocalAddress: f.layout.Instances[instance].LocalAddress, ID: "s-" + strconv.Itoa(instance), Announcement: backendproxy.Announcement{
		Service: service, Address: server.Listener.Addr().String(), Slots: slots, State: backendproxy.StateReady, LifetimeMillis: 3000,
	}}
	go announcer.Run(ctx)
}

// call sends a request of a server's own through the ingress beside it.
func (f *testFleet) call(running *http.Request, instance int, repeated bool) bool {
	call, err := http.NewRequestWithContext(running.Context(), http.MethodGet, f.url(instance, "/inner/item"), nil)
	if err != nil {
		return false
	}
	call.Header.Set(pipeline.HeaderCallerRequest, running.Header.Get(pipeline.HeaderRequestID))
	if repeated {
		call.Header.Set(headerRepeatedRun, "1")
	}
	response, err := f.client.Do(call)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func TestCallsOfRepeatedRunsDoNotExceedRetryBound(t *testing.T) {
	t.Parallel()
	const instances, perSecond = 6, 120
	fleet := startFleet(t, instances, emulator.Config{})
	fleet.config.set(func(document *fleetconfig.Document) {
		document.Routes = append(document.Routes, fleetconfig.Route{ID: "inner", PathPrefix: "/inner", Service: "stock", OpenToAll: true})
		document.Services = append(document.Services, fleetconfig.Service{Name: "stock"})
		document.Presets = []fleetconfig.Preset{{
			Name: "bounded", QueueLength: 32, RetryBudgetPercent: 100 * repeatRatio, RetryWindow: repeatWindow,
			RetryFloorPerSecond: repeatSlack / repeatWindow.Seconds(),
		}}
		document.ActivePreset = "bounded"
	})
	catalogue := &arrivalLedger{runs: make(map[string]int)}
	stock := &arrivalLedger{runs: make(map[string]int)}
	for instance := range instances {
		if instance%2 == 0 {
			fleet.addServer(t, instance, "catalogue", catalogue, 0.5, 1)
		} else {
			fleet.addServer(t, instance, "stock", stock, 0.4, 0)
		}
	}
	waitFor(t, func() bool {
		for _, node := range fleet.nodes {
			snapshot := node.members.Snapshot()
			if len(snapshot.Servers("catalogue")) < instances/2 || len(snapshot.Servers("stock")) < instances/2 {
				return false
			}
		}
		return true
	})
	ctx, cancel := context.WithTimeout(t.Context(), 4*repeatWindow)
	defer cancel()
	load := fleet.sendPath(ctx, http.MethodGet, "/open/item", perSecond)
	for name, ledger := range map[string]*arrivalLedger{"catalogue": catalogue, "stock": stock} {
		t.Logf("%s: %d requests, %d repeats, %.1f beyond the bound", name, len(ledger.requests), len(ledger.repeats), ledger.excess())
		must.LessEq(t, 0, ledger.excess(), must.Sprint(name))
		must.Positive(t, len(ledger.repeats))
	}
	t.Logf("%d of %d requests answered", load.served.Load(), load.served.Load()+load.failed.Load())
}
