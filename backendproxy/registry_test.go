package backendproxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/retry"
	"github.com/hemlockring/hemlockring/throttle"
)

// testRegistry is a registry together with the servers that it last published.
type testRegistry struct {
	*Registry
	limits  testLimits
	servers []membership.Server
}

func newTestRegistry() *testRegistry {
	a := &testRegistry{}
	a.Registry = NewRegistry(func(servers []LocalServer) { a.servers = MembershipServers(servers) }, &a.limits)
	return a
}

// testLimits are Limits that a test can set.
type testLimits struct {
	maxConnections uint32
	// repeats limits repeats, unless it is zero.
	repeats retry.RepeatLimits
	cold    throttle.ColdLimit
}

func (*testLimits) QueueLength() int { return 8 }

func (*testLimits) RateOverage() float64 { return 0 }

func (*testLimits) ToleratedBacklog() time.Duration { return 0 }

func (l *testLimits) MaxConnections(fleetconfig.ServiceName) uint32 { return l.maxConnections }

func (l *testLimits) ColdLimit(fleetconfig.ServiceName) throttle.ColdLimit { return l.cold }

func (l *testLimits) RepeatLimits(fleetconfig.ServiceName) (retry.RepeatLimits, bool) {
	return l.repeats, l.repeats != retry.RepeatLimits{}
}

func (a *testRegistry) announce(t *testing.T, id string, processStart int64, sequence uint64, change func(*Announcement)) {
	t.Helper()
	announcement := Announcement{
		Service: "catalogue", Address: "127.0.0.1:80", Slots: 4, State: StateReady,
		LifetimeMillis: 5000, ProcessStartUnixMilli: processStart, Sequence: sequence,
	}
	if change != nil {
		change(&announcement)
	}
	must.NoError(t, a.Announce(fleetconfig.BackendServerID(id), announcement, time.Now()))
}

func (a *testRegistry) ids() []fleetconfig.BackendServerID {
	var ids []fleetconfig.BackendServerID
	for _, server := range a.servers {
		ids = append(ids, server.ID)
	}
	return ids
}

func setDraining(a *Announcement) { a.State = StateDraining }

// A stale announcement has no effect: one that is older than the last one received, that
// arrives after its sender has left, or whose address a newer process has taken.
func TestRegistryIgnoresStaleAnnouncements(t *testing.T) {
	a := newTestRegistry()
	a.announce(t, "one", 100, 5, nil)
	a.announce(t, "one", 100, 7, setDraining)
	a.announce(t, "one", 100, 6, nil)
	must.Eq(t, membership.ServerDraining, a.servers[0].State)

	a.Leave("one", time.Now())
	for _, sequence := range []uint64{6, 7, 8, 9} {
		a.announce(t, "one", 100, sequence, nil)
		must.SliceEmpty(t, a.ids())
	}

	a.announce(t, "two", 200, 1, nil)
	a.announce(t, "old", 150, 9, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"two"}, a.ids())
}

// A process that restarts under the same ID replaces the earlier registration, and a
// process that takes over an address replaces the server registered there.
func TestRegistryReplacesRestartedServer(t *testing.T) {
	a := newTestRegistry()
	a.announce(t, "one", 100, 9, setDraining)
	a.announce(t, "one", 300, 1, nil)
	must.Eq(t, membership.ServerReady, a.servers[0].State)
	a.announce(t, "two", 400, 1, func(an *Announcement) { an.Service = "stock" })
	must.Eq(t, []fleetconfig.BackendServerID{"two"}, a.ids())
	a.announce(t, "one", 300, 2, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"two"}, a.ids())
}

// Guards against a full registry that refuses the successors of servers that it holds.
func TestFullRegistryAcceptsSuccessors(t *testing.T) {
	a := newTestRegistry()
	at := func(port int) func(*Announcement) {
		return func(an *Announcement) { an.Address = fmt.Sprintf("127.0.0.1:%d", port) }
	}
	for i := range MaxServers {
		a.announce(t, fmt.Sprint(i), 100, 1, at(i+1))
	}
	a.announce(t, "0", 200, 1, at(1))
	must.True(t, a.acquires(t, "0"))
	a.announce(t, "successor", 300, 1, at(2))
	must.Len(t, MaxServers, a.ids())
	other := Announcement{Service: "catalogue", Address: "127.0.0.1:60000", Slots: 4, State: StateReady, LifetimeMillis: 5000}
	must.Error(t, a.Announce("other", other, time.Now()))
}

// The slots of a backend server are limited to its maximum number of connections divided
// by connPoolsPerServer, but to no less than one. The resulting number of slots is
// published, also when the maximum changes later.
func TestRegistryLimitsSlotsByMaxConnections(t *testing.T) {
	registry := newTestRegistry()
	registry.limits.maxConnections = 3 * connPoolsPerServer
	registry.announce(t, "b1", 1, 1, nil)
	slots := func() uint32 {
		must.Eq(t, int(registry.servers[0].Slots), registry.loads()["b1"].Slots)
		return registry.servers[0].Slots
	}
	must.Eq(t, 3, slots())
	for limit, expected := range map[uint32]uint32{2 * connPoolsPerServer: 2, 1: 1, 0: 4, 100: 4} {
		registry.limits.maxConnections = limit
		registry.Tick(time.Now())
		must.Eq(t, expected, slots())
	}
}

// Guards against an announcement of which only the beginning is read, or a later member of which replaces an earlier one.
func TestAnnouncementIsReadInFull(t *testing.T) {
	t.Parallel()
	registry := newTestRegistry()
	mux := http.NewServeMux()
	registry.RegisterHandlers(mux)
	const valid = `{"service":"catalogue","address":"127.0.0.1:80","slots":1,"state":"ready","lifetime_ms":5000}`
	put := func(body string) int {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/v1/servers/b1", strings.NewReader(body)))
		return recorder.Code
	}
	for _, body := range []string{
		valid + "}", valid + valid, strings.Replace(valid, `"slots":1`, `"slots":1,"slots":900`, 1), strings.Replace(valid, `"slots":1`, `"slots":1,"Slots":900`, 1),
		strings.Replace(valid, `"slots"`, `"slot"`, 1), valid + strings.Repeat(" ", maxAnnouncementBytes),
	} {
		must.Eq(t, http.StatusBadRequest, put(body), must.Sprint(body))
		must.SliceEmpty(t, registry.servers)
	}
	must.Eq(t, http.StatusNoContent, put(valid+"\n"))
	must.SliceLen(t, 1, registry.servers)
}
