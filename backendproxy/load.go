package backendproxy

import (
	"fmt"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
)

// HeaderLoad carries the load of the backend server back to the ingress.
const HeaderLoad = "Hemlock-Load"

// String returns the load as it is written in HeaderLoad.
func (l Load) String() string {
	return fmt.Sprintf("%d/%d/%d/%d/%d", l.Running, l.Queued, l.Slots, l.WeightPercent, l.FailureProbabilityPercent)
}

// ParseLoad reads a value of HeaderLoad.
func ParseLoad(text string) (load Load, ok bool) {
	const fields = 5
	n, err := fmt.Sscanf(text, "%d/%d/%d/%d/%d",
		&load.Running, &load.Queued, &load.Slots, &load.WeightPercent, &load.FailureProbabilityPercent)
	return load, err == nil && n == fields
}

// MembershipLoad returns the load in the form that spreads.
func (l Load) MembershipLoad(server fleetconfig.BackendServerID) membership.ServerLoad {
	return membership.ServerLoad{
		Server:                    server,
		InFlight:                  uint32(max(l.Running+l.Queued, 0)),
		WeightPercent:             uint8(min(max(l.WeightPercent, 0), 100)),
		FailureProbabilityPercent: uint8(min(max(l.FailureProbabilityPercent, 0), 100)),
	}
}

// loadReporter tells the ingress with each response how the backend server fares.
type loadReporter struct {
	registry *Registry
	watch    HealthMonitor
}

func (r *loadReporter) report(exchange *pipeline.Exchange) {
	load, known := r.registry.loadOf(exchange.BackendServer)
	if !known {
		return
	}
	now := clock.Now()
	load = r.judged(exchange.BackendServer, load, now)
	exchange.Writer.Header().Set(HeaderLoad, load.String())
}

// judged adds what the watch says of the backend server.
func (r *loadReporter) judged(server fleetconfig.BackendServerID, load Load, now time.Time) Load {
	load.WeightPercent = r.watch.WeightPercent(server, now)
	load.FailureProbabilityPercent = r.watch.FailureProbabilityPercent(server, now)
	return load
}

// Loads returns how the backend servers beside this instance fare.
func (p *Proxy) Loads() []membership.ServerLoad {
	now := clock.Now()
	var loads []membership.ServerLoad
	for server, load := range p.load.registry.loads() {
		loads = append(loads, p.load.judged(server, load, now).MembershipLoad(server))
	}
	return loads
}
