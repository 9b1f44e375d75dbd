package retry

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// The bound of the simulated fleet: in every window, at most a ratio of the requests and a slack.
const (
	simulatedRatio = 0.2
	simulatedSlack = 64
	// simulatedRefusals is how many servers without credit a request meets before it is given up.
	simulatedRefusals = 8
	simulatedAccounts = 27
	testWindow        = 10 * time.Second
)

var simulatedPreset = fleetconfig.Preset{
	RetryBudgetPercent:  100 * simulatedRatio,
	RetryFloorPerSecond: simulatedSlack / 10.0,
	RetryWindow:         testWindow,
}

// simulatedFleet simulates the retries of a fleet in virtual time. Each instance is an ingress and has one
// backend server. Requests fail, are retried elsewhere, and take a while to arrive.
type simulatedFleet struct {
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	instances []*simulatedInstance
	// services holds what arrived, by service. Servers of the first service send calls to the
	// second.
	services [2]simulatedService
	// groups is the partition group of each instance, all zero without a partition.
	groups []int
	// failing is the share of the runs that fail.
	failing float64
	// ranks is how many urgencies the requests have, from 1 on.
	ranks int
	// asked counts the retries that failed requests needed, refused those that the budgets refused.
	asked, refused int
	// askedBy and refusedBy count them by urgency.
	askedBy, refusedBy map[fleetconfig.Urgency]int
}

type simulatedService struct {
	requests, repeats []time.Duration
}

// simulatedInstance is one process. Its budgets are those of the running process.
type simulatedInstance struct {
	service     int
	budgets     [2]*Budget
	repeats     RepeatBudget
	frozenUntil time.Duration
}

// simulatedRequest is a request on its way through the fleet.
type simulatedRequest struct {
	ingress, service int
	// account is the client account, empty for a call.
	account  fleetconfig.AccountID
	urgency  fleetconfig.Urgency
	attempts int
	// refusals counts the servers that had no credit for the request.
	refusals int
	// repeatedCall says that a repeated run sends it.
	repeatedCall bool
	done         func(answered bool)
}

type simulatedEvent struct {
	at  time.Duration
	run func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(event any)    { *q = append(*q, event.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimulatedFleet returns a fleet in which every third instance has a server of the second
// service.
func newSimulatedFleet(instances int, seed uint64) *simulatedFleet {
	fleet := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 35)), groups: make([]int, instances), ranks: 1,
		askedBy: make(map[fleetconfig.Urgency]int), refusedBy: make(map[fleetconfig.Urgency]int)}
	for i := range instances {
		instance := &simulatedInstance{}
		if i%3 == 2 {
			instance.service = 1
		}
		fleet.instances = append(fleet.instances, instance)
		fleet.restart(i)
	}
	return fleet
}

func (f *simulatedFleet) after(delay time.Duration, run func()) {
	heap.Push(&f.events, simulatedEvent{at: f.now + delay, run: run})
}

// at schedules a fault.
func (f *simulatedFleet) at(at time.Duration, run func()) { f.after(at-f.now, run) }

func (f *simulatedFleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at < until {
		event := heap.Pop(&f.events).(simulatedEvent)
		f.now = event.at
		event.run()
	}
}

// restart replaces the process of an instance.
func (f *simulatedFleet) restart(index int) {
	instance := f.instances[index]
	for service := range instance.budgets {
		instance.budgets[service] = NewBudget(&simulatedPreset)
	}
	instance.repeats = RepeatBudget{}
}

// reachable returns the instances in the group of an instance.
func (f *simulatedFleet) reachable(from int) []int {
	var found []int
	for i := range f.instances {
		if f.groups[i] == f.groups[from] {
			found = append(found, i)
		}
	}
	return found
}

// offer sends requests of callers to random instances at a rate per second, with exponential gaps.
func (f *simulatedFleet) offer(service int, rate float64) {
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		number := f.random.IntN(simulatedAccounts)
		f.start(&simulatedRequest{
			ingress: f.random.IntN(len(f.instances)), service: service, account: fleetconfig.AccountID(rune('a' + number)),
			urgency: fleetconfig.Urgency(1 + number%f.ranks), done: func(bool) {},
		})
		f.offer(service, rate)
	})
}

// budget returns the budget of a service at an ingress.
func (f *simulatedFleet) budget(ingress, service int) *Budget {
	return f.instances[ingress].budgets[service]
}

// admits charges a request to the budget of a server, with the number of servers that its
// proxy sees.
func (f *simulatedFleet) admits(request *simulatedRequest, target int) bool {
	servers := 0
	for _, i := range f.reachable(target) {
		if f.instances[i].service == request.service {
			servers++
		}
	}
	limits, _ := RepeatLimitsOf(&simulatedPreset, servers)
	repeats := &f.instances[target].repeats
	if request.repeatedCall || request.attempts > 0 {
		return repeats.Ask(limits, request.urgency, epoch.Add(f.now)) && repeats.Take(limits, request.urgency, epoch.Add(f.now))
	}
	repeats.RecordFirst(limits, epoch.Add(f.now))
	return true
}

func (f *simulatedFleet) start(request *simulatedRequest) {
	f.budget(request.ingress, request.service).RecordRequest(request.account, epoch.Add(f.now))
	f.attempt(request, -1)
}

// attempt sends the request to a server other than the one tried last.
func (f *simulatedFleet) attempt(request *simulatedRequest, tried int) {
	var candidates []int
	for _, i := range f.reachable(request.ingress) {
		if i != tried && f.instances[i].service == request.service {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		request.done(false)
		return
	}
	target := candidates[f.random.IntN(len(candidates))]
	delay := time.Duration(f.random.IntN(20)) * time.Millisecond
	if f.random.IntN(10) == 0 {
		delay += time.Duration(f.random.IntN(1500)) * time.Millisecond // Waits for a slot.
	}
	delay = max(delay, f.instances[target].frozenUntil-f.now)
	f.after(delay, func() { f.arrive(request, target) })
}

// arrive records the arrival of a request at a server and runs it.
func (f *simulatedFleet) arrive(request *simulatedRequest, target int) {
	if !f.admits(request, target) {
		if request.refusals++; request.refusals >= simulatedRefusals {
			f.budget(request.ingress, request.service).Exhausted(request.urgency, epoch.Add(f.now))
			f.recordRefused(request)
			return
		}
		f.attempt(request, target)
		return
	}
	request.attempts++
	service := &f.services[request.service]
	repeat := request.repeatedCall || request.attempts > 1
	if repeat {
		service.repeats = append(service.repeats, f.now)
	} else {
		service.requests = append(service.requests, f.now)
	}
	if f.random.Float64() < f.failing {
		f.retry(request, target)
		return
	}
	if request.service == 0 && f.random.IntN(2) == 0 {
		f.start(&simulatedRequest{ingress: target, service: 1, urgency: request.urgency, repeatedCall: repeat, done: func(answered bool) {
			if answered {
				request.done(true)
			} else {
				f.retry(request, target)
			}
		}})
		return
	}
	request.done(true)
}

// retry sends a failed request again if the budget permits it.
func (f *simulatedFleet) retry(request *simulatedRequest, failedAt int) {
	if request.attempts >= MaxAttempts {
		request.done(false)
		return
	}
	f.asked++
	f.askedBy[request.urgency]++
	if !f.budget(request.ingress, request.service).Take(request.account, request.urgency, epoch.Add(f.now)) {
		f.recordRefused(request)
		return
	}
	f.attempt(request, failedAt)
}

// recordRefused ends a request that the budgets permit no retry.
func (f *simulatedFleet) recordRefused(request *simulatedRequest) {
	f.refused++
	f.refusedBy[request.urgency]++
	request.done(false)
}

// excess returns by how much the repeats of the worst window exceed the bound. The ratio is taken
// of the requests in the window, the one before or the one half a window before.
func (s *simulatedService) excess() (worst float64, at time.Duration) {
	count := func(times []time.Duration, from, to time.Duration) int {
		first, _ := slices.BinarySearch(times, from)
		end, _ := slices.BinarySearch(times, to+1)
		return end - first
	}
	worst = -simulatedSlack
	for _, from := range s.repeats {
		requests := 0
		for _, shift := range []time.Duration{0, testWindow / 2, testWindow} {
			requests = max(requests, count(s.requests, from-shift, from+testWindow-shift))
		}
		over := float64(count(s.repeats, from, from+testWindow)) - simulatedRatio*float64(requests) - simulatedSlack
		if over > worst {
			worst, at = over, from
		}
	}
	return worst, at
}

// Faults that must not let the repeats of the fleet exceed the bound.
var boundFaults = map[string]func(*simulatedFleet){
	"none": func(*simulatedFleet) {},
	"all instances restart": func(f *simulatedFleet) {
		f.at(20*time.Second, func() { f.restartShare(1) })
	},
	"half of the instances restart again and again": func(f *simulatedFleet) {
		for second := 15; second < 35; second += 3 {
			f.at(time.Duration(second)*time.Second, func() { f.restartShare(0.5) })
		}
	},
	"partition in two": func(f *simulatedFleet) {
		f.at(15*time.Second, func() { f.partition(2) })
		f.at(25*time.Second, func() { f.partition(1) })
	},
	"partition in five": func(f *simulatedFleet) {
		f.at(15*time.Second, func() { f.partition(5) })
		f.at(25*time.Second, func() { f.partition(1) })
	},
	"instances freeze": func(f *simulatedFleet) {
		f.at(18*time.Second, func() {
			for _, instance := range f.instances {
				if f.random.IntN(3) == 0 {
					instance.frozenUntil = f.now + 4*time.Second
				}
			}
		})
	},
	"partition, freeze and restarts": func(f *simulatedFleet) {
		f.at(12*time.Second, func() { f.partition(3) })
		f.at(16*time.Second, func() { f.restartShare(0.4) })
		f.at(18*time.Second, func() { f.instances[0].frozenUntil, f.instances[1].frozenUntil = 22*time.Second, 22*time.Second })
		f.at(19*time.Second, func() { f.partition(1) })
		f.at(21*time.Second, func() { f.restartShare(1) })
	},
}

func (f *simulatedFleet) restartShare(share float64) {
	for i := range f.instances {
		if f.random.Float64() < share {
			f.restart(i)
		}
	}
}

func (f *simulatedFleet) partition(groups int) {
	for i := range f.groups {
		f.groups[i] = f.random.IntN(groups)
	}
}

// Restarts, partitions, freezes and calls must not let repeats exceed the bound in any window.
func TestFleetRepeatsStayWithinBound(t *testing.T) {
	const instances, seeds = 30, 5
	for name, fault := range boundFaults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				fleet := newSimulatedFleet(instances, seed)
				fleet.ranks = 1 + int(seed)%3
				fleet.offer(0, 80)
				fleet.offer(1, 30)
				fleet.at(8*time.Second, func() { fleet.failing = 0.6 })
				fault(fleet)
				fleet.run(45 * time.Second)
				for i := range fleet.services {
					worst, at := fleet.services[i].excess()
					must.LessEq(t, 0, worst, must.Sprint(fmt.Sprintf("seed %d, service %d, at %s", seed, i, at)))
				}
			}
		})
	}
}
