package e2e

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
)

const (
	exitService = "exiting"
	exitPath    = "/exiting"
	// drainPeriod is how long after the acknowledgement of an exit requests may still arrive.
	drainPeriod = 2 * time.Second
)

// exitingServer is a backend server whose announcements the test sends.
type exitingServer struct {
	announcer emulator.Announcer
	served    atomic.Int64
}

// startExitingServer starts a server of exitService beside an instance.
func (f *fleet) startExitingServer(t *testing.T, instance int, name string, number int) *exitingServer {
	t.Helper()
	local := f.Layout.Instances[instance].LocalAddress
	host, _, err := net.SplitHostPort(local)
	must.NoError(t, err)
	listener, err := net.Listen("tcp", host+":0")
	must.NoError(t, err)
	server := &exitingServer{announcer: emulator.Announcer{LocalAddress: local, ID: fmt.Sprintf("%s-%d", name, number), Announcement: backendproxy.Announcement{
		Service: exitService, Address: listener.Addr().String(), Slots: 8, LifetimeMillis: 60_000,
	}}}
	httpServer := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { server.served.Add(1) })}
	go func() { _ = httpServer.Serve(listener) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	return server
}

// announce sends an announcement of a process of the server.
func (s *exitingServer) announce(f *fleet, process time.Time, sequence uint64, state string) error {
	announcer := s.announcer
	announcer.Announcement.ProcessStartUnixMilli = process.UnixMilli()
	announcer.Announcement.Sequence = sequence
	announcer.Announcement.State = state
	return announcer.Announce(f.ctx)
}

// serves waits until the server gets a request.
func (s *exitingServer) serves(t *testing.T, f *fleet) {
	t.Helper()
	before := s.served.Load()
	f.waitUntil(t, "a request at the server", func() bool {
		f.send(0, http.MethodGet, exitPath, "")
		return s.served.Load() > before
	})
}

// Guards against a server in service again whose exit was acknowledged: its earlier announcement arrives after the process of its instance has ended, however it ended, and started again.
func TestAcknowledgedExitHoldsThroughRestartOfItsInstance(t *testing.T) {
	t.Parallel()
	const instance = 4
	fleet := start(t, 5, 3, false)
	version, err := fleet.ApplyChanges(fleet.ctx,
		fleetconfig.Change{Kind: fleetconfig.CreateService, Service: &fleetconfig.Service{Name: exitService}},
		fleetconfig.Change{Kind: fleetconfig.CreateRoute, Route: &fleetconfig.Route{ID: exitService, PathPrefix: exitPath, Service: exitService, OpenToAll: true, Timeout: time.Second}})
	must.NoError(t, err)
	must.NoError(t, fleet.WaitServing(fleet.ctx, version))
	kill := func() { fleet.KillDaemon(instance) }
	restart := func() { must.NoError(t, fleet.StartDaemon(instance)) }
	endings := []struct {
		name string
		end  func()
	}{
		{"killed", kill},
		{"stopped", func() { must.NoError(t, fleet.StopDaemon(instance)) }},
		{"killed twice", func() { kill(); restart(); kill() }},
		{"killed with another instance", func() { kill(); fleet.KillDaemon(0); must.NoError(t, fleet.StartDaemon(0)) }},
	}
	start := time.Now().Add(-time.Minute)
	var servers []*exitingServer
	for i, ending := range endings {
		left, draining := fleet.startExitingServer(t, instance, "left", i), fleet.startExitingServer(t, instance, "draining", i)
		servers = []*exitingServer{left, draining}
		for _, server := range servers {
			must.NoError(t, server.announce(fleet, start, 2, backendproxy.StateReady))
			server.serves(t, fleet)
		}
		must.NoError(t, left.announcer.Leave(fleet.ctx))
		must.NoError(t, draining.announce(fleet, start, 4, backendproxy.StateDraining))
		ending.end()
		restart()
		for _, server := range servers {
			// The late announcement is accepted, or the instance does not listen yet.
			fleet.waitUntil(t, "the late announcement", func() bool { return server.announce(fleet, start, 3, backendproxy.StateReady) == nil })
		}
		must.NoError(t, fleet.WaitServing(fleet.ctx, version))
		time.Sleep(drainPeriod)
		before := []int64{left.served.Load(), draining.served.Load()}
		for range 20 {
			fleet.send(0, http.MethodGet, exitPath, "")
			fleet.send(instance, http.MethodGet, exitPath, "")
		}
		must.Eq(t, before, []int64{left.served.Load(), draining.served.Load()}, must.Sprint(ending.name))
	}
	// A later process is registered at once.
	for _, server := range servers {
		must.NoError(t, server.announce(fleet, start.Add(time.Second), 1, backendproxy.StateReady))
		server.serves(t, fleet)
	}
}
