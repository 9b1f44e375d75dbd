package backendproxy

import (
	"fmt"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
)

// HeaderLoad is the response header that reports the load of the backend server to the
// ingress.
const HeaderLoad = "Hemlock-Load"

// String encodes the load as a value of HeaderLoad.
func (l Load) String() string {
	return fmt.Sprintf("%d/%d/%d/%d/%d", l.Running, l.Queued, l.Slots, l.WeightPercent, l.FailureProbabilityPercent)
}

// ParseLoad decodes a value of HeaderLoad. It returns false when the text is invalid.
func ParseLoad(text string) (load Load, ok bool) {
	const fields = 5
	n, err := fmt.Sscanf(text, "%d/%d/%d/%d/%d",
		&load.Running, &load.Queued, &load.Slots, &load.WeightPercent, &load.FailureProbabilityPercent)
	return load, err == nil && n == fields
}

// MembershipLoad converts the load to the form that membership load reports carry.
func (l Load) MembershipLoad(server fleetconfig.BackendServerID) membership.ServerLoad {
	return membership.ServerLoad{
		Server:                    server,
		InFlight:                  uint32(max(l.Running+l.Queued, 0)),
		WeightPercent:             uint8(min(max(l.WeightPercent, 0), 100)),
		FailureProbabilityPercent: uint8(min(max(l.FailureProbabilityPercent, 0), 100)),
	}
}

// loadReporter reports the load and health of the backend server to the ingress, in a
// header of each response.
type loadReporter struct {
	registry *Registry
	monitor  HealthMonitor
}

func (r *loadReporter) setHeader(exchange *pipeline.Exchange) {
	load, known := r.registry.loadOf(exchange.BackendServer)
	if !known {
		return
	}
	now := clock.Now()
	load = r.addHealth(exchange.BackendServer, load, now)
	exchange.Writer.Header().Set(HeaderLoad, load.String())
}

// addHealth adds the weight and failure probability of the backend server to its load.
func (r *loadReporter) addHealth(server fleetconfig.BackendServerID, load Load, now time.Time) Load {
	load.WeightPercent = r.monitor.WeightPercent(server, now)
	load.FailureProbabilityPercent = r.monitor.FailureProbabilityPercent(server, now)
	return load
}

// Loads returns the load and health of the backend servers beside this instance.
func (p *Proxy) Loads() []membership.ServerLoad {
	now := clock.Now()
	var loads []membership.ServerLoad
	for server, load := range p.loadReporter.registry.loads() {
		loads = append(loads, p.loadReporter.addHealth(server, load, now).MembershipLoad(server))
	}
	return loads
}
