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

func newService() *Service {
	view := fleetconfig.NewView(&fleetconfig.Document{ActivePreset: "p", Presets: []fleetconfig.Preset{{Name: "p", SlowStart: slowStart}}})
	return New(Config{
		Self:   "i1",
		View:   func() *fleetconfig.View { return view },
		Logger: slog.New(slog.DiscardHandler),
	}, http.NewServeMux())
}

// local returns a backend server that has just announced itself.
func local(started int64, warmAt time.Time) []backendproxy.LocalServer {
	return []backendproxy.LocalServer{{
		Server: membership.Server{ID: "b1", Service: "stock", Slots: 4, StartedUnixMilli: started},
		WarmAt: warmAt,
	}}
}

// A proxy that restarts beside a backend server that is warm gives it its full share at
// once, one that is still slow as much as its own word says.
func TestTheSlowStartIsAsLongAsTheBackendServerSays(t *testing.T) {
	now := time.Now()
	service := newService()
	service.SetServers(local(1, now.Add(-time.Second)))
	must.Eq(t, 100, service.WeightPercent("b1", now))

	service.SetServers(local(2, now.Add(3*time.Second)))
	must.Less(t, 50, service.WeightPercent("b1", now))
	must.Eq(t, 100, service.WeightPercent("b1", now.Add(4*time.Second)))

	// One that has said nothing starts slowly.
	service.SetServers(local(3, time.Time{}))
	must.Less(t, 50, service.WeightPercent("b1", now.Add(4*time.Second)))
}

// What is known of a backend server does not hold for its next life.
func TestAnotherLifeOfABackendServerStartsWithoutDoubt(t *testing.T) {
	now := time.Now()
	service := newService()
	service.SetServers(local(1, now))
	fresh := service.DoubtPercent("b1", now)
	for range 5 {
		observation, admitted := service.Begin("b1", backendproxy.Arrival{Deadline: now.Add(time.Minute), LastResort: true}, now)
		must.True(t, admitted)
		observation.End(health.ResultFailed, now)
	}
	must.Greater(t, fresh, service.DoubtPercent("b1", now))
	service.SetServers(local(1, now))
	must.Greater(t, fresh, service.DoubtPercent("b1", now))
	service.SetServers(local(2, now))
	must.LessEq(t, fresh, service.DoubtPercent("b1", now))
}
