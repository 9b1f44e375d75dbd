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
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	load := fleet.sendPath(ctx, http.MethodPost, "/open/item", perSecond)
	must.Positive(t, load.failed.Load())
	for instance, node := range fleet.nodes {
		for _, server := range node.backendProxy.Loads() {
			if instance%2 == 0 {
				must.Less(t, 30, server.FailureProbabilityPercent)
			} else {
				must.Greater(t, 60, server.FailureProbabilityPercent)
			}
		}
	}
}
