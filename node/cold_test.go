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

// A backend server that comes back cold from a crash is not crashed again by the requests that
// it would get when warm, but is used at once. The other servers run those that it does not get.
func TestServerThatReturnsColdIsNotOverloaded(t *testing.T) {
	t.Parallel()
	const (
		coldRate  = 10
		coldStart = 1500 * time.Millisecond
		downtime  = 300 * time.Millisecond
	)
	fleet := startFleet(t, 3, emulator.Config{Slots: 16, ServiceTime: 20 * time.Millisecond, ColdRate: coldRate, ColdStart: coldStart, Downtime: downtime})
	fleet.config.set(func(document *fleetconfig.Document) {
		document.Services = []fleetconfig.Service{{Name: "catalogue", ColdRate: coldRate, ColdStart: coldStart}}
		document.Presets = []fleetconfig.Preset{{
			Name: "cold", QueueLength: 32, ColdOverage: emulator.ColdTolerance, ColdSlack: emulator.ColdAllowance,
		}}
		document.ActivePreset = "cold"
	})
	ctx, cancel := context.WithTimeout(t.Context(), downtime+2*coldStart)
	defer cancel()
	response, err := fleet.client.Post(fleet.url(0, crashPath), "", nil)
	must.NoError(t, err)
	response.Body.Close()
	must.NotEq(t, http.StatusOK, response.StatusCode)
	load := fleet.sendLoad(ctx, t, []int{0, 1, 2}, 240)
	crashed := 0
	for _, backend := range fleet.backends {
		executions := backend.Executions()
		must.LessEq(t, emulator.ColdTolerance*coldRate+emulator.ColdAllowance, float64(executions.MostCold))
		crashed += executions.Crashes
	}
	must.Eq(t, 1, crashed)
	must.Positive(t, fleet.backends[0].Executions().MostCold, must.Sprint("it is used while it is cold"))
	must.Zero(t, load.refused.Load(), must.Sprint(load.refusals))
	must.Zero(t, load.other.Load())
}
