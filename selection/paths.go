package selection

import (
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
)

// maxPaths limits the number of path monitors. All are dropped when the limit is reached.
const maxPaths = 4096

// pathMonitors holds this ingress's monitors of the paths to other instances. The
// monitors do not assess the backend servers of those instances. pathMonitors is safe for
// concurrent use.
type pathMonitors struct {
	mu       sync.Mutex
	monitors map[fleetconfig.InstanceID]*health.PathMonitor
}

func newPathMonitors() *pathMonitors {
	return &pathMonitors{monitors: make(map[fleetconfig.InstanceID]*health.PathMonitor)}
}

// monitor returns the monitor of a path and creates it if needed. The caller must hold
// mu.
func (p *pathMonitors) monitor(instance fleetconfig.InstanceID) *health.PathMonitor {
	monitor := p.monitors[instance]
	if monitor == nil {
		if len(p.monitors) >= maxPaths {
			clear(p.monitors)
		}
		monitor = &health.PathMonitor{}
		p.monitors[instance] = monitor
	}
	return monitor
}

// usable reports whether an attempt may take the path to a member.
func (p *pathMonitors) usable(member *membership.Member, now time.Time) bool {
	if member.Path == membership.PathIndirectOnly {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	monitor := p.monitors[member.Record.ID]
	return monitor == nil || monitor.Usable(now)
}

// beginProbe records that an attempt takes the path. If the path is avoided, the attempt
// counts as a probe; otherwise beginProbe does nothing.
func (p *pathMonitors) beginProbe(instance fleetconfig.InstanceID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if monitor := p.monitors[instance]; monitor != nil && monitor.Status(now) != health.PathUsable {
		monitor.BeginProbe(now)
	}
}

// recordResponse records that the proxy at the other end responded.
func (p *pathMonitors) recordResponse(instance fleetconfig.InstanceID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if monitor := p.monitors[instance]; monitor != nil {
		monitor.RecordResponse(now)
	}
}

// recordLoss records an attempt without any response. If the losses suffice to avoid the
// path, recordLoss avoids it, unless the slots of the healthy servers that this ingress
// could then still reach would be fewer than the service's floor.
func (p *pathMonitors) recordLoss(attempt *ingress.Attempt, service *fleetconfig.Service, pool *servicePool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	instance := attempt.Candidate.Instance
	monitor := p.monitor(instance)
	if attempt.ConnectFailed {
		monitor.RecordUnreachable(now)
	} else {
		monitor.RecordLoss(now)
	}
	if !monitor.ShouldAvoid() || service == nil {
		return
	}
	capacities, candidates := poolCapacities(pool, instance)
	for _, candidate := range candidates {
		if !health.MayEject(health.FloorForService(service), capacities, candidate) {
			return
		}
		capacities[candidate].Status = health.StatusEjected
	}
	monitor.Avoid(now)
}

// poolCapacities returns the capacity of each server of the pool, and the indexes of the
// servers on the given instance. A server that is excluded for another reason than draining,
// its rate or a refusal has the status ejected, even if the only reason is that this ingress avoids
// the path to it.
func poolCapacities(pool *servicePool, instance fleetconfig.InstanceID) (capacities []health.Capacity, candidates []int) {
	for i := range pool.pool.Len() {
		backend := pool.pool.Backend(i)
		status := health.StatusHealthy
		switch {
		case backend.Excluded&balance.ExcludedDraining != 0:
			status = health.StatusDraining
		case backend.Excluded&^(balance.ExcludedRate|balance.ExcludedRefused) != 0:
			status = health.StatusEjected
		}
		capacities = append(capacities, health.Capacity{Slots: backend.Slots, Withheld: pool.hosted[i].Server.Withheld, Status: status})
		if backend.ID.Instance == instance {
			candidates = append(candidates, i)
		}
	}
	return capacities, candidates
}
