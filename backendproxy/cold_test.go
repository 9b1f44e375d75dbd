package backendproxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/queue"
	"github.com/hemlockring/hemlockring/throttle"
)

var coldLimit = throttle.ColdLimit{PerSecond: 12, Bound: 26, Start: 3 * time.Second}

// newColdRegistry returns a registry that limits cold servers and was created long ago.
func newColdRegistry() *testRegistry {
	registry := newTestRegistry()
	registry.limits.cold = coldLimit
	registry.createdAt = clock.Now().Add(-time.Minute)
	return registry
}

func coldFor(remaining time.Duration) func(*Announcement) {
	millis := remaining.Milliseconds()
	return func(a *Announcement) { a.WarmUpMillis = &millis }
}

// admits returns how many of the requests that arrive within the time get a slot.
func (a *testRegistry) admits(t *testing.T, within time.Duration) int {
	t.Helper()
	count := 0
	for end := clock.Now().Add(within); clock.Now().Before(end); time.Sleep(time.Millisecond) {
		if a.acquires(t, "b1") {
			count++
		}
	}
	return count
}

// A server is limited from the announcement that it is cold until the one that it is warm, and
// the fleet is told of both.
func TestColdServerIsLimitedAsLongAsItAnnounces(t *testing.T) {
	registry := newColdRegistry()
	registry.announce(t, "b1", 100, 1, coldFor(0))
	must.False(t, registry.servers[0].Limited)
	must.Greater(t, 20, registry.admits(t, 300*time.Millisecond))

	registry.announce(t, "b1", 100, 2, coldFor(3*time.Second))
	must.True(t, registry.servers[0].Cold)
	must.Eq(t, 12, registry.servers[0].MilliRate.PerSecond())
	must.Zero(t, registry.admits(t, 200*time.Millisecond), must.Sprint("it has had its share of this second"))
	load, _ := registry.loadOf("b1")
	parsed, ok := ParseLoad(load.String(), load.formatStatus())
	must.True(t, ok)
	must.True(t, parsed.MembershipLoad("b1").Cold)
	must.Eq(t, 12, parsed.Rate.PerSecond)

	registry.announce(t, "b1", 100, 3, coldFor(0))
	must.False(t, registry.servers[0].Cold)
	must.False(t, registry.servers[0].Limited)
	must.True(t, registry.acquires(t, "b1"))
}

// The cold time ends without another announcement.
func TestFleetIsToldThatColdTimeHasEnded(t *testing.T) {
	registry := newColdRegistry()
	registry.announce(t, "b1", 100, 1, coldFor(400*time.Millisecond))
	must.True(t, registry.servers[0].Cold)
	must.LessEq(t, 3, registry.admits(t, 100*time.Millisecond))
	time.Sleep(310 * time.Millisecond)
	registry.Tick(clock.Now())
	must.False(t, registry.servers[0].Cold)
	must.True(t, registry.acquires(t, "b1"))
}

// A server that does not state how long it stays cold is cold for the configured time after
// its process has started.
func TestServerThatHasJustStartedIsTreatedAsCold(t *testing.T) {
	registry := newColdRegistry()
	registry.announce(t, "b1", clock.Now().UnixMilli(), 1, nil)
	must.True(t, registry.servers[0].Cold)
	registry.announce(t, "b2", 100, 1, func(a *Announcement) { a.Address = "127.0.0.1:81" })
	must.False(t, registry.servers[1].Cold)
	registry.limits.cold = throttle.ColdLimit{}
	registry.Tick(clock.Now())
	must.False(t, registry.servers[0].Cold)
	must.Greater(t, 20, registry.admits(t, 300*time.Millisecond))
}

// A former process of this instance may have sent the cold server its share of this second.
// So may the queue that it had before it drained.
func TestRestartedProxySendsColdServerNothingInTheFirstSecond(t *testing.T) {
	registry := newColdRegistry()
	registry.createdAt = clock.Now().Add(-500 * time.Millisecond)
	registry.announce(t, "b1", 100, 1, coldFor(3*time.Second))
	must.Zero(t, registry.admits(t, 200*time.Millisecond))
	time.Sleep(310 * time.Millisecond)
	must.True(t, registry.acquires(t, "b1"))

	registry.announce(t, "b1", 100, 2, setDraining)
	registry.announce(t, "b1", 100, 3, coldFor(3*time.Second))
	must.Zero(t, registry.admits(t, 200*time.Millisecond))
}

// Requests that wait for a slot when the server turns cold go to other servers, but for those
// that no other server can run.
func TestQueuedRequestsDoNotRunTogetherWhenServerTurnsCold(t *testing.T) {
	registry := newColdRegistry()
	registry.announce(t, "b1", 100, 1, coldFor(0))
	var running []*Slot
	for range 4 {
		slot, _ := registry.acquire(t.Context(), "b1", "catalogue", queue.Item{Deadline: clock.Now().Add(time.Minute)})
		running = append(running, slot)
	}
	const waiting = 6
	refused := make(chan bool, waiting)
	for range waiting {
		go func() {
			slot, _ := registry.acquire(t.Context(), "b1", "catalogue", queue.Item{Deadline: clock.Now().Add(time.Minute)})
			refused <- slot == nil
		}()
	}
	for registry.Registry.servers["b1"].admission.load().Queued < waiting {
		time.Sleep(time.Millisecond)
	}
	registry.announce(t, "b1", 100, 2, coldFor(3*time.Second))
	for _, slot := range running {
		slot.Release()
	}
	for range waiting {
		must.True(t, <-refused)
	}
}
