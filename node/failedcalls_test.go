package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
)

// Servers whose runs fail because a called service fails the calls are not taken for failing;
// the servers of the called service are.
func TestFailedCallsAreNoEvidenceAgainstTheCaller(t *testing.T) {
	t.Parallel()
	const instances, perSecond = 4, 40
	fleet := startFleet(t, instances, emulator.Config{})
	fleet.config.set(func(document *fleetconfig.Document) {
		document.Routes = append(document.Routes, fleetconfig.Route{ID: "inner", PathPrefix: "/inner", Service: "stock", OpenToAll: true})
		document.Services = append(document.Services, fleetconfig.Service{Name: "stock"})
		document.Presets = []fleetconfig.Preset{{Name: "calls", QueueLength: 32, CallPrecedence: true}}
		document.ActivePreset = "calls"
	})
	ledger := &arrivalLedger{runs: make(map[string]int)}
	for instance := range instances {
		if instance%2 == 0 {
			fleet.addServer(t, instance, "catalogue", ledger, 0, 1)
		} else {
			fleet.addServer(t, instance, "stock", ledger, 1, 0)
		}
	}
	waitFor(t, func() bool {
		for _, node := range fleet.nodes {
			if snapshot := node.members.Snapshot(); len(snapshot.Servers("catalogue")) < instances/2 || len(snapshot.Servers("stock")) < instances/2 {
				return false
			}
		}
		return true
	})
	highest := func(first int) (percent uint8) {
		for instance := first; instance < instances; instance += 2 {
			for _, server := range fleet.nodes[instance].backendProxy.Loads() {
				percent = max(percent, server.FailureProbabilityPercent)
			}
		}
		return percent
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go fleet.sendPath(ctx, http.MethodPost, "/open/item", perSecond)
	var callers uint8
	waitFor(t, func() bool {
		callers = max(callers, highest(0))
		return highest(1) > 60
	})
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		callers = max(callers, highest(0))
	}
	must.Less(t, 30, callers)
}
