package node

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
)

// Each server runs one request and holds others that it will run too late for a further one.
// With admission by room the ingresses know this from the responses and load reports, and
// refuse the further request without an attempt.
func TestIngressRefusesRequestWithoutRoomAtOnce(t *testing.T) {
	t.Parallel()
	const instances, serviceTime, timeout = 3, 400 * time.Millisecond, 1200 * time.Millisecond
	// On a busy machine the callers of a round may come one after the other.
	const maxPressure = 20 * time.Second
	fleet := startFleet(t, instances, emulator.Config{Slots: 1, ServiceTime: serviceTime})
	fleet.config.set(func(document *fleetconfig.Document) {
		document.Routes[1].Timeout = timeout
		document.Presets = []fleetconfig.Preset{{Name: "by-room", QueueLength: 32, AdmissionByRoom: true}}
		document.ActivePreset = "by-room"
	})
	get := func(instance int) (status int, body string, took time.Duration) {
		started := time.Now()
		response, err := fleet.client.Get(fleet.url(instance, "/open/item"))
		if err != nil {
			return 0, err.Error(), 0
		}
		defer response.Body.Close()
		data, err := io.ReadAll(response.Body)
		if err != nil {
			return 0, err.Error(), 0
		}
		return response.StatusCode, string(data), time.Since(started)
	}
	// The first requests teach the times.
	for i := range 2 * instances {
		waitFor(t, func() bool { status, _, _ := get(i % instances); return status == http.StatusOK })
	}
	var callers sync.WaitGroup
	for i := range 8 * instances {
		callers.Go(func() { get(i % instances) })
	}
	refused := 0
	for pressed := time.Now(); refused == 0 && time.Since(pressed) < maxPressure; {
		time.Sleep(serviceTime / 2)
		for instance := range instances {
			for range 4 {
				callers.Go(func() { get(instance) })
			}
			status, body, took := get(instance)
			if status == http.StatusServiceUnavailable && strings.Contains(body, "can run the request in time") && took < timeout/8 {
				refused++
			}
		}
	}
	callers.Wait()
	must.Positive(t, refused)
	waitFor(t, func() bool { status, _, _ := get(0); return status == http.StatusOK })
}
