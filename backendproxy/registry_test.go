package backendproxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
)

// announced is a registry with what it last told the fleet.
type announced struct {
	*Registry
	limits  testLimits
	servers []membership.Server
}

func newAnnounced() *announced {
	a := &announced{}
	a.Registry = NewRegistry(func(servers []LocalServer) { a.servers = MembershipServers(servers) }, &a.limits)
	return a
}

// testLimits are limits that a test sets.
type testLimits struct {
	maxConnections uint32
}

func (*testLimits) QueueLength() int { return 8 }

func (l *testLimits) MaxConnections(fleetconfig.ServiceName) uint32 { return l.maxConnections }

func (a *announced) announce(t *testing.T, id string, born int64, sequence uint64, change func(*Announcement)) {
	t.Helper()
	announcement := Announcement{
		Service: "catalogue", Address: "127.0.0.1:80", Slots: 4, State: StateReady,
		LifetimeMillis: 5000, ProcessStartUnixMilli: born, Sequence: sequence,
	}
	if change != nil {
		change(&announcement)
	}
	must.NoError(t, a.Announce(fleetconfig.BackendServerID(id), announcement, time.Now()))
}

func (a *announced) ids() []fleetconfig.BackendServerID {
	var ids []fleetconfig.BackendServerID
	for _, server := range a.servers {
		ids = append(ids, server.ID)
	}
	return ids
}

func draining(a *Announcement) { a.State = StateDraining }

// An announcement that arrives late changes nothing: not after a newer one, not
// after its sender has left, not after another process has taken its address.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	a := newAnnounced()
	a.announce(t, "one", 100, 5, nil)
	a.announce(t, "one", 100, 7, draining)
	a.announce(t, "one", 100, 6, nil)
	must.Eq(t, membership.ServerDraining, a.servers[0].State)

	a.Leave("one")
	a.announce(t, "one", 100, 8, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"one"}, a.ids()) // A newer one is no late one.
	a.Leave("one")
	a.announce(t, "one", 100, 8, nil)
	must.SliceEmpty(t, a.ids())

	a.announce(t, "two", 200, 1, nil)
	a.announce(t, "old", 150, 9, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"two"}, a.ids())
}

// A process that starts anew under its id begins from nothing, and one that takes
// an address over replaces whoever had it.
func TestANewLifeReplacesTheFormerOne(t *testing.T) {
	a := newAnnounced()
	a.announce(t, "one", 100, 9, draining)
	a.announce(t, "one", 300, 1, nil)
	must.Eq(t, membership.ServerReady, a.servers[0].State)
	a.announce(t, "two", 400, 1, func(an *Announcement) { an.Service = "stock" })
	must.Eq(t, []fleetconfig.BackendServerID{"two"}, a.ids())
	a.announce(t, "one", 300, 2, nil)
	must.Eq(t, []fleetconfig.BackendServerID{"two"}, a.ids())
}

// A backend server that takes fewer connections than it has slots runs no more
// requests than connections, and the fleet hears of it; the limit may change.
func TestConnectionsLimitTheSlots(t *testing.T) {
	registry := newAnnounced()
	registry.limits.maxConnections = 3 * connPools
	registry.announce(t, "b1", 1, 1, nil)
	slots := func() uint32 {
		must.Eq(t, int(registry.servers[0].Slots), registry.loads()["b1"].Slots)
		return registry.servers[0].Slots
	}
	must.Eq(t, 3, slots())
	for limit, expected := range map[uint32]uint32{2 * connPools: 2, 1: 1, 0: 4, 100: 4} {
		registry.limits.maxConnections = limit
		registry.Tick(time.Now())
		must.Eq(t, expected, slots())
	}
}
