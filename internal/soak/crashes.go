package soak

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/internal/testbed"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// meanCrashInterval is the mean time between the ends of two QueryOfDeath events, and
	// minCrashDuration and maxCrashDuration bound how long the request is repeated.
	meanCrashInterval = 5 * time.Second
	minCrashDuration  = 6 * time.Second
	maxCrashDuration  = 9 * time.Second
	// crashRequestInterval is the time between two copies of the request.
	crashRequestInterval = 150 * time.Millisecond
	// crashesUntilRefused is the number of crashes after which the request is refused, within
	// quarantineDelay, at instances that were not disturbed meanwhile. maxLateCrashes is how
	// many copies may still crash a server after that.
	crashesUntilRefused = 3
	quarantineDelay     = 3 * time.Second
	maxLateCrashes      = 3
	// coldStart is how long a server is cold after a crash, and coldRate the requests per
	// second that it then tolerates, fewer than it usually gets.
	coldStart = 1500 * time.Millisecond
	coldRate  = 10
)

// planCrashes returns the QueryOfDeath events.
func planCrashes(seed uint64, duration time.Duration, instances int) []Event {
	shape := eventSeries{kind: QueryOfDeath, stream: 2, minDuration: minCrashDuration, maxDuration: maxCrashDuration, meanInterval: meanCrashInterval}
	return shape.plan(seed, duration, instances)
}

// undisturbedQueryOfDeath returns an event after all others, when every instance is undisturbed.
func (r *run) undisturbedQueryOfDeath() Event {
	return Event{
		Start:    r.arguments.Duration + recoveryBound,
		Kind:     QueryOfDeath,
		Duration: maxCrashDuration,
		Variant:  int(r.arguments.Seed % variantCount),
	}
}

// repeatQueryOfDeath sends a request that crashes the server that runs it to all instances in
// turn. The variant decides whether it is idempotent.
func (r *run) repeatQueryOfDeath(ctx context.Context, event Event) {
	method := http.MethodGet
	if event.Variant%2 == 1 {
		method = http.MethodPost
	}
	id := strconv.FormatInt(event.Start.Milliseconds(), 10)
	ended := time.Now().Add(event.Duration)
	planStart := time.Now().Add(-event.Start)
	crashes, late := 0, 0
	var refusedFrom time.Time
	for copies := event.Instance; time.Now().Before(ended) && testbed.Sleep(ctx, crashRequestInterval); copies++ {
		instance := copies % len(r.callers.direct)
		checked := !refusedFrom.IsZero() && time.Now().After(refusedFrom)
		if checked && r.disturbed(instance, time.Since(planStart)) {
			continue
		}
		if !r.sendQueryOfDeath(instance, method, id) {
			continue
		}
		if crashes++; crashes == crashesUntilRefused {
			refusedFrom = time.Now().Add(quarantineDelay)
		}
		if checked {
			late++
		}
	}
	r.findings.printf("request %s: %d copies ended with a crash, %d of them late", id, crashes, late)
	if late > maxLateCrashes {
		r.findings.violated("request %s crashed servers %d times more than %s after its third crash", id, late, quarantineDelay)
	}
}

// sendQueryOfDeath sends one copy and reports whether a server crashed under it.
func (r *run) sendQueryOfDeath(instance int, method, id string) bool {
	request, err := http.NewRequest(method, "http://"+r.callers.direct[instance]+"/lookup?"+emulator.CrashParameter+"="+id, nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+steadyAccount.key())
	response, err := r.callers.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.Header.Get(pipeline.HeaderRefusal) == string(pipeline.KindServerCrashed)
}

// disturbed reports whether the plan has a fault of an instance or its network in the time
// that it takes to quarantine a request, up to now.
func (r *run) disturbed(instance int, now time.Duration) bool {
	return r.disturbedBetween(instance, now-quarantineDelay, now)
}

// disturbedBetween reports whether the plan has a fault of an instance or its network in a period.
// The times are from the start of the plan.
func (r *run) disturbedBetween(instance int, from, to time.Duration) bool {
	for _, event := range Plan(r.arguments.Seed, r.arguments.Duration, len(r.layout.Instances)) {
		involved := event.Instance == instance || (event.Kind == OneWayPartition && event.Peer == instance)
		if involved && event.Kind.affectsInstance() && event.Start <= to && from <= event.Start+event.Duration+settleTime {
			return true
		}
	}
	return false
}
