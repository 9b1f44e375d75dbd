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

// maxPaths bounds the paths that are remembered.
const maxPaths = 4096

// paths keeps this ingress's verdicts on the paths to other instances. They never
// say anything about the backend servers there. It is safe for concurrent use.
type paths struct {
	mu       sync.Mutex
	monitors map[fleetconfig.InstanceID]*health.PathMonitor
}

func newPaths() *paths {
	return &paths{monitors: make(map[fleetconfig.InstanceID]*health.PathMonitor)}
}

// monitor returns the monitor of a path. The caller holds the lock.
func (p *paths) monitor(instance fleetconfig.InstanceID) *health.PathMonitor {
	found := p.monitors[instance]
	if found == nil {
		if len(p.monitors) >= maxPaths {
			clear(p.monitors)
		}
		found = &health.PathMonitor{}
		p.monitors[instance] = found
	}
	return found
}

// usable reports whether an attempt may take the path to a member.
func (p *paths) usable(member *membership.Member, now time.Time) bool {
	if member.Path == membership.PathIndirectOnly {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.monitors[member.Record.ID]
	return found == nil || found.Usable(now)
}

// tried marks that an attempt takes the path, for one that was avoided.
func (p *paths) tried(instance fleetconfig.InstanceID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found := p.monitors[instance]; found != nil && found.Status(now) != health.PathUsable {
		found.BeginProbe(now)
	}
}

// answered records that the proxy at the other end answered.
func (p *paths) answered(instance fleetconfig.InstanceID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found := p.monitors[instance]; found != nil {
		found.RecordResponse(now)
	}
}

// lost records an attempt without any sign of life, and avoids the path when that
// leaves the service its floor in this ingress's own view.
func (p *paths) lost(attempt *ingress.Attempt, service *fleetconfig.Service, pool *servicePool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	instance := attempt.Candidate.Instance
	found := p.monitor(instance)
	if attempt.Unreached {
		found.RecordUnreachable(now)
	} else {
		found.RecordLoss(now)
	}
	if !found.ShouldAvoid() || service == nil {
		return
	}
	capacities, candidates := capacitiesOf(pool, instance)
	for _, candidate := range candidates {
		if !health.MayEject(health.FloorForService(service), capacities, candidate) {
			return
		}
		capacities[candidate].Status = health.StatusEjected
	}
	found.Avoid(now)
}

// capacitiesOf returns the capacity that this ingress reaches, and which parts of
// it are at the given instance.
func capacitiesOf(pool *servicePool, instance fleetconfig.InstanceID) (capacities []health.Capacity, candidates []int) {
	for i := range pool.pool.Len() {
		backend := pool.pool.Backend(i)
		standing := health.StatusHealthy
		switch {
		case backend.Excluded&balance.ExcludedDraining != 0:
			standing = health.StatusDraining
		case backend.Excluded != 0:
			standing = health.StatusEjected
		}
		capacities = append(capacities, health.Capacity{Slots: backend.Slots, Status: standing})
		if backend.ID.Instance == instance {
			candidates = append(candidates, i)
		}
	}
	return capacities, candidates
}
