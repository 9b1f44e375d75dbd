package backendproxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
	"github.com/hemlockring/hemlockring/membership"
)

// Guards against orders sent to a server that has left, after an announcement from before its departure arrives late.
func TestLateAnnouncementDoesNotReturnServerThatHasLeft(t *testing.T) {
	a := newTestRegistry()
	a.announce(t, "one", 100, 5, nil)
	a.Leave("one", time.Now())
	a.announce(t, "one", 100, 6, nil) // Sent before Leave, never received before.
	must.SliceEmpty(t, a.ids())
	a.Tick(time.Now().Add(departureRetention / 2))
	a.announce(t, "one", 100, 7, nil)
	must.SliceEmpty(t, a.ids())
}

// A server that starts again under its ID is in service with its first announcement, whose sequence starts anew.
func TestRestartedServerReturnsUnderItsID(t *testing.T) {
	a := newTestRegistry()
	a.announce(t, "one", 100, 5, nil)
	a.Leave("one", time.Now())
	a.announce(t, "one", 200, 1, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"one"}, a.ids())
	must.Eq(t, membership.ServerReady, a.servers[0].State)
	must.True(t, a.acquires(t, "one"))
	a.announce(t, "one", 100, 6, nil)
	must.Eq(t, 200, a.servers[0].ProcessStartUnixMilli)
}

// Servers that give neither a sequence nor the start of their process are always believed.
func TestServerWithoutOrderReturnsAfterLeaving(t *testing.T) {
	a := newTestRegistry()
	a.announce(t, "one", 0, 0, nil)
	a.Leave("one", time.Now())
	a.announce(t, "one", 0, 0, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"one"}, a.ids())
}

// Guards against a late announcement of a server that left before it announced itself to a restarted instance.
func TestDepartureOfUnknownServerIsRemembered(t *testing.T) {
	a := newTestRegistry()
	now := time.Now()
	a.Leave("one", now)
	a.announce(t, "one", now.Add(-time.Minute).UnixMilli(), 9, nil)
	must.SliceEmpty(t, a.ids())
	a.announce(t, "one", now.Add(time.Second).UnixMilli(), 1, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"one"}, a.ids())
}

// Guards against a restarted server that is out of service because its former process's departure is reported twice.
func TestRepeatedLeaveDoesNotKeepRestartedServerOut(t *testing.T) {
	a := newTestRegistry()
	now := time.Now()
	a.Leave("one", now)
	a.Leave("one", now.Add(time.Second))
	a.announce(t, "one", now.Add(time.Second/2).UnixMilli(), 1, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"one"}, a.ids())
}

// Guards against a late announcement that returns a draining server whose registration has expired.
func TestLateAnnouncementDoesNotReturnExpiredServer(t *testing.T) {
	a := newTestRegistry()
	a.announce(t, "one", 100, 6, setDraining)
	a.Tick(time.Now().Add(10 * time.Second))
	must.SliceEmpty(t, a.ids())
	a.announce(t, "one", 100, 5, nil)
	must.SliceEmpty(t, a.ids())
	a.announce(t, "one", 100, 7, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"one"}, a.ids())
}

// Guards against a server that has stated its exit and is in service again after its registration has expired.
func TestStatedExitHoldsAfterExpiry(t *testing.T) {
	a := newTestRegistry()
	a.announce(t, "one", 100, 5, nil)
	slot := &Slot{admission: a.Registry.servers["one"].admission}
	a.observeStatus("one", slot, ServerStatus{Leaving: true}, time.Now())
	a.Tick(time.Now().Add(10 * time.Second))
	must.SliceEmpty(t, a.ids())
	a.announce(t, "one", 100, 6, nil)
	must.Eq(t, membership.ServerDraining, a.servers[0].State)
	a.announce(t, "one", 200, 1, nil)
	must.Eq(t, membership.ServerReady, a.servers[0].State)
}

// Guards against a restarted server that is out of service because its former process's departure is reported late.
func TestLateLeaveDoesNotKeepRestartedServerOut(t *testing.T) {
	a := newTestRegistry()
	a.announce(t, "one", 100, 5, nil)
	a.announce(t, "one", 200, 1, nil)
	a.Leave("one", time.Now())
	must.SliceEmpty(t, a.ids())
	a.announce(t, "one", 200, 2, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"one"}, a.ids())

	a.Leave("one", time.Now().Add(lateLeaveTime))
	a.announce(t, "one", 200, 3, nil)
	must.SliceEmpty(t, a.ids())
}

// Guards against a restarted server that a late departure of its former, already removed process keeps out of service.
func TestLateLeaveOfRemovedProcessDoesNotKeepRestartedServerOut(t *testing.T) {
	for name, remove := range map[string]func(*testRegistry){
		"left":    func(a *testRegistry) { a.Leave("one", time.Now()) },
		"silent":  func(a *testRegistry) { a.Tick(time.Now().Add(10 * time.Second)) },
		"crashed": func(a *testRegistry) { a.markCrashed("one", a.Registry.servers["one"].admission, time.Now()) },
	} {
		a := newTestRegistry()
		a.announce(t, "one", 100, 5, nil)
		remove(a)
		must.SliceEmpty(t, a.ids(), must.Sprint(name))
		a.announce(t, "one", 200, 1, nil)
		a.Leave("one", time.Now())
		a.announce(t, "one", 200, 2, nil)
		must.Eq(t, []fleetconfig.BackendServerID{"one"}, a.ids(), must.Sprint(name))
	}
}

// Guards against a late announcement that returns a server which left after the clock was set back.
func TestDepartureHoldsAfterStepOfClock(t *testing.T) {
	a := newTestRegistry()
	start := time.Now().Add(time.Minute).UnixMilli()
	a.announce(t, "one", start, 1, nil)
	a.Leave("one", time.Now())
	a.announce(t, "one", start, 2, nil)
	must.SliceEmpty(t, a.ids())
}

// Guards against a late announcement of a server whose address another one has taken and left.
func TestReplacedServerDoesNotReturn(t *testing.T) {
	a := newTestRegistry()
	a.announce(t, "one", 100, 5, nil)
	a.announce(t, "two", 200, 1, nil)
	a.Leave("two", time.Now())
	a.announce(t, "one", 100, 6, nil)
	must.SliceEmpty(t, a.ids())
}

// Guards against an announcement without a sequence that ends the draining of a server that numbers them.
func TestAnnouncementWithoutSequenceDoesNotEndDraining(t *testing.T) {
	a := newTestRegistry()
	a.announce(t, "one", 100, 5, setDraining)
	a.announce(t, "one", 100, 0, nil)
	must.Eq(t, membership.ServerDraining, a.servers[0].State)
}

func TestDeparturesAreBounded(t *testing.T) {
	a := newTestRegistry()
	start := time.Now()
	for i := range 2 * maxDepartures {
		a.Leave(fleetconfig.BackendServerID(fmt.Sprint(i)), start.Add(time.Duration(i)*time.Millisecond))
	}
	must.MapLen(t, maxDepartures, a.departed)
	must.MapNotContainsKey(t, a.departed, "0")
	a.Tick(start.Add(2 * departureRetention))
	must.MapEmpty(t, a.departed)
}

// A server that has left stays out of service in whatever order its news arrives, until a later process announces itself.
func TestServerStaysOutWhateverOrderItsNewsArrivesIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const start = 1_000
		a := newTestRegistry()
		now := time.UnixMilli(start * 10)
		announce := func(process int64, sequence uint64) {
			must.NoError(t, a.Announce("one", Announcement{
				Service: "catalogue", Address: "127.0.0.1:80", Slots: 4, State: StateReady,
				LifetimeMillis: 5000, ProcessStartUnixMilli: process, Sequence: sequence,
			}, now))
		}
		sequences := rapid.Permutation([]uint64{1, 2, 3, 4, 5, 6}).Draw(t, "sequences")
		leaves := rapid.IntRange(0, len(sequences)).Draw(t, "announcements before the departure")
		for i, sequence := range sequences {
			if i == leaves {
				a.Leave("one", now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause in ms")) * time.Millisecond)
			a.Tick(now)
			announce(start, sequence)
			if i >= leaves {
				must.SliceEmpty(t, a.ids())
			}
		}
		announce(now.UnixMilli()+1, 1)
		must.Eq(t, []fleetconfig.BackendServerID{"one"}, a.ids())
	})
}
