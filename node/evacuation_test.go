package node

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/pipeline"
)

// setEvacuated sets the evacuated failure domains, in ascending order.
func (f *testFleet) setEvacuated(domains ...fleetconfig.FailureDomain) {
	f.config.set(func(document *fleetconfig.Document) { document.EvacuatedDomains = domains })
}

// While a failure domain is evacuated, requests that its server runs are completed, new ones
// run elsewhere, and its instance serves callers as before. A service whose servers are all in
// evacuated domains refuses requests as not run.
func TestEvacuatedDomainGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	const serviceTime = 300 * time.Millisecond
	fleet := startFleet(t, 3, emulator.Config{Slots: 8, ServiceTime: serviceTime})
	sent := make(chan int, 1)
	go func() {
		response, err := fleet.client.Get(fleet.url(0, "/open"))
		if err != nil {
			sent <- 0
			return
		}
		sent <- response.StatusCode
		_ = response.Body.Close()
	}()
	waitFor(t, func() bool { return len(fleet.backends[0].Arrivals()) == 1 })
	fleet.setEvacuated(fleet.layout.Instances[0].FailureDomain)
	must.Eq(t, http.StatusOK, <-sent)
	for i := range 9 {
		response, _ := fleet.send(t, i%3, http.MethodPost, "/orders", "x")
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
	must.Len(t, 1, fleet.backends[0].Arrivals())

	fleet.setEvacuated("domain-a", "domain-b", "domain-c")
	for i := range 3 {
		response, _ := fleet.send(t, i, http.MethodPost, "/orders", "x")
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.Eq(t, "not-run", response.Header.Get(pipeline.HeaderOutcome))
		must.NotEq(t, "", response.Header.Get("Retry-After"))
		ready, _ := fleet.nodes[i].Ready()
		must.True(t, ready)
	}
	must.Len(t, 1, fleet.backends[0].Arrivals())

	fleet.setEvacuated()
	waitFor(t, func() bool {
		fleet.send(t, 0, http.MethodGet, "/open", "")
		return len(fleet.backends[0].Arrivals()) > 1
	})
}

// A request that arrives from an ingress with an older configuration is refused as not run, at
// once although the slot of the server is in use. One from an ingress with a newer configuration is accepted, since the evacuation may have ended.
func TestBackendProxyRefusesLateRequestsDuringEvacuation(t *testing.T) {
	t.Parallel()
	const serviceTime = 500 * time.Millisecond
	fleet := startFleet(t, 1, emulator.Config{Slots: 1, ServiceTime: serviceTime})
	forward := func(version uint64, dispatchBy string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodPost, "/orders", nil)
		request.Header.Set(pipeline.HeaderRequestID, "r")
		request.Header.Set(pipeline.HeaderBackendServer, "b1")
		request.Header.Set(pipeline.HeaderService, "catalogue")
		request.Header.Set(pipeline.HeaderDeadline, "5000")
		request.Header.Set(pipeline.HeaderDispatchBy, dispatchBy)
		request.Header.Set(pipeline.HeaderConfigurationVersion, strconv.FormatUint(version, 10))
		recorder := httptest.NewRecorder()
		fleet.nodes[0].backendProxy.ServeHTTP(recorder, request)
		return recorder
	}
	dispatchBy, ok := backendproxy.ParseClockReading(forward(0, "").Header().Get(pipeline.HeaderClock))
	must.True(t, ok)
	dispatchBy.Elapsed += time.Minute
	deadline := backendproxy.FormatClockReading(dispatchBy)
	running := make(chan int, 1)
	go func() { running <- forward(0, deadline).Code }()
	waitFor(t, func() bool { return len(fleet.backends[0].Arrivals()) == 1 })
	fleet.setEvacuated(fleet.layout.Instances[0].FailureDomain)
	current := fleet.config.View().Version()
	for _, version := range []uint64{0, current - 1, current} {
		refused := forward(version, deadline)
		must.Eq(t, string(pipeline.KindEvacuated), refused.Header().Get(pipeline.HeaderRefusal))
		must.Eq(t, "not-run", refused.Header().Get(pipeline.HeaderOutcome))
	}
	must.Eq(t, 0, len(running), must.Sprint("the requests were refused after the one that held the slot"))
	must.Eq(t, http.StatusOK, <-running)
	must.Len(t, 1, fleet.backends[0].Arrivals())
	must.Eq(t, 3, fleet.nodes[0].backendProxy.Statistics().EvacuationRefusals)
	must.Eq(t, http.StatusOK, forward(current+1, deadline).Code)
}
