package ejection

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/membership"
)

const slowStart = time.Minute

func newTestService() *Service {
	view := fleetconfig.NewView(&fleetconfig.Document{ActivePreset: "p", Presets: []fleetconfig.Preset{{Name: "p", SlowStart: slowStart}}})
	return New(Config{
		Self:   "i1",
		Shards: noShards{},
		View:   func() *fleetconfig.View { return view },
		Logger: slog.New(slog.DiscardHandler),
	}, http.NewServeMux())
}

// noShards knows no owner of any service.
type noShards struct{}

func (noShards) ServiceReplicas(fleetconfig.ServiceName) []fleetconfig.InstanceAddress { return nil }

func (noShards) HoldsService(fleetconfig.ServiceName, time.Time) (uint64, bool) { return 0, false }

// localServer returns the announcement of a backend server with the given start time and
// end of warm-up.
func localServer(startedUnixMilli int64, warmUpEndsAt time.Time) []backendproxy.LocalServer {
	return []backendproxy.LocalServer{{
		Server:       membership.Server{ID: "b1", Service: "stock", Slots: 4, StartedUnixMilli: startedUnixMilli},
		WarmUpEndsAt: warmUpEndsAt,
	}}
}

// After a restart of the proxy, a backend server that is already warm must get its full
// weight at once. A server that is still warming up must get the weight that follows from
// its announced warm-up.
func TestWeightFollowsAnnouncedWarmUp(t *testing.T) {
	now := time.Now()
	service := newTestService()
	service.SetServers(localServer(1, now.Add(-time.Second)))
	must.Eq(t, 100, service.WeightPercent("b1", now))

	service.SetServers(localServer(2, now.Add(3*time.Second)))
	must.Less(t, 50, service.WeightPercent("b1", now))
	must.Eq(t, 100, service.WeightPercent("b1", now.Add(4*time.Second)))

	// A server that announced no warm-up uses the slow start of the preset.
	service.SetServers(localServer(3, time.Time{}))
	must.Less(t, 50, service.WeightPercent("b1", now.Add(4*time.Second)))
}

// The servers beside an instance are evacuated with its own failure domain only, and start
// slowly when the evacuation ends.
func TestWeightRampsUpAfterEvacuationOfOwnDomain(t *testing.T) {
	now := time.Now()
	service := newTestService()
	service.domain = "fd1"
	document := *service.view().Document()
	evacuate := func(domains ...fleetconfig.FailureDomain) {
		next := document
		next.EvacuatedDomains = domains
		view := fleetconfig.NewView(&next)
		service.view = func() *fleetconfig.View { return view }
	}
	service.SetServers(localServer(1, now.Add(-time.Second)))
	for _, step := range []struct {
		domain fleetconfig.FailureDomain
		weight int
	}{{"fd2", 100}, {"fd1", 10}} {
		evacuate(step.domain)
		service.tick(t.Context(), now)
		evacuate()
		service.tick(t.Context(), now)
		must.Eq(t, step.weight, service.WeightPercent("b1", now))
		must.Eq(t, 100, service.WeightPercent("b1", now.Add(slowStart)))
	}
}

// A restarted backend server must not inherit the failure probability of its previous
// process.
func TestSetServersDiscardsStateOfRestartedServer(t *testing.T) {
	now := time.Now()
	service := newTestService()
	service.SetServers(localServer(1, now))
	initial := service.FailureProbabilityPercent("b1", now)
	for range 5 {
		observation, admitted := service.Begin("b1", backendproxy.Attempt{Deadline: now.Add(time.Minute), LastResort: true}, now)
		must.True(t, admitted)
		observation.End(health.ResultFailed, now)
	}
	must.Greater(t, initial, service.FailureProbabilityPercent("b1", now))
	service.SetServers(localServer(1, now))
	must.Greater(t, initial, service.FailureProbabilityPercent("b1", now))
	service.SetServers(localServer(2, now))
	must.LessEq(t, initial, service.FailureProbabilityPercent("b1", now))
}

// Guards against reports of a restarted server that the permit owner ignores as old ones.
func TestIncarnationRisesWithEachMonitor(t *testing.T) {
	now := time.Now()
	var last uint64
	for process := range int64(20) {
		service := newTestService()
		for restart := range int64(20) {
			service.SetServers(localServer(process*100+restart+1, now))
			var reports []health.Report
			for _, action := range service.servers["b1"].monitor.Tick(now.Add(time.Hour)) {
				if report, ok := action.(health.SendReport); ok {
					reports = append(reports, report.Report)
				}
			}
			must.Len(t, 1, reports)
			must.Greater(t, last, reports[0].Incarnation)
			last = reports[0].Incarnation
		}
	}
}
