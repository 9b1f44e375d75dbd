package soak

import (
	"context"
	"time"

	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/admin/client"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/testbed"
)

const (
	// meanEvacuationInterval is the mean time between the ends of two Evacuate events, and
	// minEvacuation and maxEvacuation bound how long one lasts.
	meanEvacuationInterval = 6 * time.Second
	minEvacuation          = 8 * time.Second
	maxEvacuation          = 11 * time.Second
	// evacuationBound is the time after the acceptance of an evacuation from which on the
	// backend servers beside undisturbed instances of the domain receive nothing.
	evacuationBound = 5 * time.Second
	// orderInterval is the time between two attempts to start or end an evacuation.
	orderInterval = 200 * time.Millisecond
)

// planEvacuations returns the Evacuate events.
func planEvacuations(seed uint64, duration time.Duration, instances int) []Event {
	shape := eventSeries{kind: Evacuate, stream: 4, minDuration: minEvacuation, maxDuration: maxEvacuation, meanInterval: meanEvacuationInterval}
	return shape.plan(seed, duration, instances)
}

// evacuate evacuates the failure domain of an instance, checks what its backend servers receive,
// and takes it back.
func (r *run) evacuate(ctx context.Context, event Event) error {
	end := time.Now().Add(event.Duration)
	domain := r.layout.Instances[event.Instance].FailureDomain
	accepted := r.operators.order(ctx, fleetconfig.EvacuateDomain, domain)
	binding := time.Now().Add(evacuationBound)
	testbed.Sleep(ctx, time.Until(end))
	var err error
	if accepted {
		err = r.checkEvacuation(event, domain, binding)
	}
	r.operators.order(ctx, fleetconfig.EndEvacuation, domain)
	return err
}

// checkEvacuation checks that the backend servers of an evacuated domain have received nothing
// since the evacuation became binding, except beside instances that were disturbed during the
// event.
func (r *run) checkEvacuation(event Event, domain fleetconfig.FailureDomain, binding time.Time) error {
	undisturbed := 0
	for i, instance := range r.layout.Instances {
		if instance.FailureDomain != domain || r.disturbedBetween(i, event.Start, event.Start+event.Duration) {
			continue
		}
		undisturbed++
		arrivals, err := r.fleet.BackendArrivals(i)
		if err != nil {
			return err
		}
		for _, arrival := range arrivals {
			if arrival.UnixMilli > binding.UnixMilli() {
				r.findings.violated("request %s reached the server of instance %d %.1f s after the evacuation of %s was accepted", arrival.Request, i,
					time.UnixMilli(arrival.UnixMilli).Sub(binding).Seconds()+evacuationBound.Seconds(), domain)
			}
		}
	}
	r.findings.printf("evacuation of %s: checked at %d undisturbed instances", domain, undisturbed)
	return nil
}

// order starts or ends an evacuation and reports whether that was accepted. It records what the
// final configuration must have: the last accepted order holds unless a later one may have been
// accepted.
func (o *operators) order(ctx context.Context, kind fleetconfig.ChangeKind, domain fleetconfig.FailureDomain) (accepted bool) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	// The attempts have one change id, so that a late one does not undo a later order.
	request := &api.ChangeRequest{ChangeID: client.NewChangeID(), Changes: []fleetconfig.Change{{Kind: kind, Name: string(domain)}}}
	reply, err := o.client.Change(ctx, request)
	for err != nil && testbed.Sleep(ctx, orderInterval) {
		reply, err = o.client.Change(ctx, request)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.findings.printf("%s %s: not confirmed: %v", kind, domain, err)
		delete(o.evacuated, domain)
		return false
	}
	o.evacuated[domain] = kind == fleetconfig.EvacuateDomain
	o.latestVersion = max(o.latestVersion, reply.Version)
	return true
}

// checkEvacuations compares the final configuration with the last orders. The caller holds mu.
func (o *operators) checkEvacuations(view *fleetconfig.View) {
	for domain, evacuated := range o.evacuated {
		if view.Evacuated(domain) != evacuated {
			o.findings.violated("the last accepted order for %s set evacuated to %v, the final configuration has the opposite", domain, evacuated)
		}
	}
}
