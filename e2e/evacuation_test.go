package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	evacuatedDomain = "domain-c"
	// evacuationBound is the time after which no instance that reaches the others sends
	// requests to an evacuated domain.
	evacuationBound = 5 * time.Second
)

func (f *fleet) order(t *testing.T, kind fleetconfig.ChangeKind) uint64 {
	t.Helper()
	version, err := f.ApplyChanges(f.ctx, fleetconfig.Change{Kind: kind, Name: evacuatedDomain})
	must.NoError(t, err)
	return version
}

// evacuatedExecutions returns the number of requests that the servers of the domain have run.
func (f *fleet) evacuatedExecutions(t *testing.T) int {
	t.Helper()
	total := 0
	for i, instance := range f.Layout.Instances {
		if instance.FailureDomain == evacuatedDomain {
			executions, err := f.BackendExecutions(i)
			must.NoError(t, err)
			total += executions.Total
		}
	}
	return total
}

// requireEvacuated sends requests through every instance, also those in the domain, and checks
// that all are served and none in the domain.
func (f *fleet) requireEvacuated(t *testing.T) {
	t.Helper()
	before := f.evacuatedExecutions(t)
	for i := range 10 * len(f.Layout.Instances) {
		must.Eq(t, http.StatusOK, f.send(i%len(f.Layout.Instances), http.MethodGet, "/open", "").status)
	}
	must.Eq(t, before, f.evacuatedExecutions(t))
}

// An accepted evacuation comes into force although the leader is killed before it has spread,
// and holds when all daemons are killed and start again. Its end holds for an instance that
// starts again beside it.
func TestEvacuationSurvivesLeaderKillAndFullRestart(t *testing.T) {
	t.Parallel()
	const instances = 6
	fleet := start(t, instances, 3, false)
	leader := fleet.leader(t)
	version := fleet.order(t, fleetconfig.EvacuateDomain)
	accepted := time.Now()
	fleet.KillDaemon(leader)
	must.NoError(t, fleet.StartDaemon(leader))
	for i := 0; time.Since(accepted) < evacuationBound; i++ {
		if instance := i % instances; instance != leader {
			fleet.send(instance, http.MethodGet, "/open", "")
		}
	}
	must.NoError(t, fleet.WaitServing(fleet.ctx, version))
	fleet.requireEvacuated(t)

	before := fleet.evacuatedExecutions(t)
	for i := range instances {
		fleet.KillDaemon(i)
	}
	for i := range instances {
		must.NoError(t, fleet.StartDaemon(i))
	}
	for i := range instances {
		fleet.waitUntil(t, "the first request that a restarted instance serves", func() bool {
			return fleet.send(i, http.MethodGet, "/open", "").status == http.StatusOK
		})
	}
	must.NoError(t, fleet.WaitServing(fleet.ctx, version))
	must.Eq(t, before, fleet.evacuatedExecutions(t))
	fleet.requireEvacuated(t)

	fleet.KillDaemon(instances - 1)
	ended := fleet.order(t, fleetconfig.EndEvacuation)
	must.NoError(t, fleet.StartDaemon(instances-1))
	must.NoError(t, fleet.WaitServing(fleet.ctx, ended))
	for i, instance := range fleet.Layout.Instances {
		if instance.FailureDomain != evacuatedDomain {
			continue
		}
		earlier, err := fleet.BackendExecutions(i)
		must.NoError(t, err)
		fleet.waitUntil(t, "requests at a server that is taken back", func() bool {
			fleet.send(i, http.MethodGet, "/open", "")
			now, err := fleet.BackendExecutions(i)
			return err == nil && now.Total > earlier.Total
		})
	}
}

// A domain can be evacuated while it is cut off. Its instances learn of it when they reach the
// others again.
func TestEvacuationReachesDomainThatWasCutOff(t *testing.T) {
	t.Parallel()
	fleet := start(t, 6, 3, true)
	isolate := func(isolated bool) {
		for _, instance := range fleet.Layout.Instances {
			if instance.FailureDomain == evacuatedDomain {
				fleet.relay.Isolate(instance.ID, isolated)
			}
		}
	}
	isolate(true)
	version := fleet.order(t, fleetconfig.EvacuateDomain)
	isolate(false)
	must.NoError(t, fleet.WaitServing(fleet.ctx, version))
	fleet.requireEvacuated(t)
}
