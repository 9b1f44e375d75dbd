package node

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
)

// ejectedCount returns the number of backend servers that an instance knows to be
// ejected.
func (f *testFleet) ejectedCount(instance int) int {
	count := 0
	for _, placed := range f.nodes[instance].members.Snapshot().Servers("catalogue") {
		if placed.Server.Ejected {
			count++
		}
	}
	return count
}

// startFleetWithEjection starts a fleet whose preset enables ejection. send sends 20
// requests through the instances in turn.
func startFleetWithEjection(t *testing.T, floorPercent uint32) (fleet *testFleet, send func()) {
	t.Helper()
	fleet = startFleet(t, 4, emulator.Config{Slots: 20})
	fleet.config.set(func(document *fleetconfig.Document) {
		document.Presets = []fleetconfig.Preset{{Name: "ordinary", EjectionEnabled: true, QueueLength: 10, RetryBudgetPercent: 10}}
		document.ActivePreset = "ordinary"
		document.Services = []fleetconfig.Service{{Name: "catalogue", FloorPercent: floorPercent}}
	})
	sent := 0
	return fleet, func() {
		for range 20 {
			fleet.send(t, sent%4, http.MethodGet, "/open", "")
			sent++
		}
	}
}

// A backend server that announces itself as ready but answers every request with an
// error is ejected and receives no more requests except for probes. It returns to service
// after the fault ends.
func TestGrayBackendServerEjectedAndReinstated(t *testing.T) {
	t.Parallel()
	fleet, send := startFleetWithEjection(t, 50)
	// Each server must first be estimated as healthy from its responses.
	waitFor(t, func() bool {
		send()
		for _, backend := range fleet.backends {
			if backend.Executions().Total < 50 {
				return false
			}
		}
		return true
	})
	fleet.backends[1].SetFault(emulator.Fault{Kind: emulator.FaultError, Share: 1})
	waitFor(t, func() bool { send(); return fleet.ejectedCount(0) == 1 })
	before := fleet.backends[1].Executions().Total
	send()
	must.LessEq(t, before+3, fleet.backends[1].Executions().Total)

	fleet.backends[1].SetFault(emulator.Fault{})
	waitFor(t, func() bool {
		send()
		return fleet.ejectedCount(0) == 0 && fleet.backends[1].Executions().Total > before+50
	})
}

// When a second backend server fails, it is not ejected if that would leave less capacity
// than the floor.
func TestEjectionKeepsCapacityFloor(t *testing.T) {
	t.Parallel()
	fleet, send := startFleetWithEjection(t, 75)
	waitFor(t, func() bool { send(); return fleet.backends[0].Executions().Total > 100 })
	fleet.backends[0].SetFault(emulator.Fault{Kind: emulator.FaultError, Share: 1})
	waitFor(t, func() bool { send(); return fleet.ejectedCount(3) == 1 })
	// A second ejection would leave half of the slots; the floor is three quarters.
	fleet.backends[1].SetFault(emulator.Fault{Kind: emulator.FaultError, Share: 1})
	for range 60 {
		send()
		must.LessEq(t, 1, fleet.ejectedCount(3))
	}
}
