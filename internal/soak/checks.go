package soak

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
)

// withdrawalBound is how long a withdrawn key may be accepted after the withdrawal was
// accepted. The fleet guarantees it.
const withdrawalBound = 5 * time.Second

// checkExecutions compares the callers' observations with the executions on the backend
// servers. It may be called at any time, because the execution counts only grow.
func (r *run) checkExecutions(executions *emulator.Executions) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for order, count := range executions.Orders {
		if count > 1 {
			r.reportOnce("order "+order, "order %s ran %d times", order, count)
		}
	}
	for id := range r.callers.notRun {
		if executions.Requests[id] > 0 {
			r.reportOnce("not run "+id, "request %s was reported as not run but had run", id)
		}
	}
	if executions.WithCredentials > 0 {
		r.reportOnce("keys", "%d requests reached a backend server with a key", executions.WithCredentials)
	}
	for _, id := range r.callers.quarantined {
		r.reportOnce("quarantined "+id, "request %s, which crashes no server, was refused as one that does", id)
	}
	for _, id := range r.callers.corrupted {
		r.reportOnce("corrupted "+id, "the response to request %s was complete but corrupted", id)
	}
}

// reportOnce reports a violation unless one was reported under the same name.
func (r *run) reportOnce(name, format string, arguments ...any) {
	if !r.reported[name] {
		r.reported[name] = true
		r.findings.violated(format, arguments...)
	}
}

// checkOrders checks that every answered order has run. No request may be in flight when
// it is called.
func (r *run) checkOrders(executions *emulator.Executions) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for order := range r.callers.answered {
		if executions.Orders[order] == 0 {
			r.findings.violated("order %s was answered, but no backend server has run it", order)
		}
	}
	r.findings.printf("orders: %d sent, %d answered; %d requests run, %d reported as not run",
		r.callers.ordersSent, len(r.callers.answered), executions.Total, len(r.callers.notRun))
}

// checkColdServers checks that no server got more requests in a second than it tolerated after a
// crash.
func (r *run) checkColdServers(executions *emulator.Executions) {
	if bound := emulator.ColdTolerance*coldRate + emulator.ColdAllowance; float64(executions.MostCold) > bound {
		r.findings.violated("a cold backend server got %d requests in a second, and tolerated %g", executions.MostCold, bound)
	}
	r.findings.printf("cold backend servers: at most %d requests in a second", executions.MostCold)
}

// checkRateLimit checks that overRateAccount stayed within its rate and burst in every
// time window.
func (r *run) checkRateLimit() {
	r.callers.mu.Lock()
	requests := r.callers.served[overRateAccount.id]
	r.callers.mu.Unlock()
	if count, from, length := worstWindow(requests, overRateAccount.rate); float64(count) > overRateAccount.rate*length.Seconds()+float64(overRateAccount.burst) {
		r.findings.violated("%s was served %d requests in %s, starting at %.2f s; rate and burst allow %.1f", overRateAccount.id, count, length,
			from.Sub(r.findings.started).Seconds(), overRateAccount.rate*length.Seconds()+float64(overRateAccount.burst))
	}
	r.findings.printf("%s: %d requests served", overRateAccount.id, len(requests))
}

// worstWindow returns the time window in which the number of requests exceeds the rate
// the most. A request counts only if it was both sent and answered in the window.
func worstWindow(requests []servedRequest, rate float64) (count int, from time.Time, length time.Duration) {
	var worstExcess float64
	for _, first := range requests {
		var ends []time.Time
		for _, request := range requests {
			if !request.sent.Before(first.sent) {
				ends = append(ends, request.ended)
			}
		}
		sortTimes(ends)
		for i, end := range ends {
			window := end.Sub(first.sent)
			if excess := float64(i+1) - rate*window.Seconds(); excess > worstExcess {
				worstExcess, count, from, length = excess, i+1, first.sent, window
			}
		}
	}
	return count, from, length
}

// checkWithdrawnKey checks that no request with a withdrawn key was served that was sent
// later than withdrawalBound after the withdrawal was accepted.
func (r *run) checkWithdrawnKey(id fleetconfig.AccountID, accepted time.Time) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for _, request := range r.callers.served[id] {
		if after := request.sent.Sub(accepted); after > withdrawalBound {
			r.reportOnce("withdrawn "+string(id), "a request with the withdrawn key of %s was served, sent %s after the withdrawal was accepted", id, after)
			return
		}
	}
}

// checkInterrupted checks that a planned stop of an instance interrupted no request on
// direct connections to it.
func (r *run) checkInterrupted(instance int, started, ended time.Time) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for _, request := range r.callers.interrupted {
		if request.instance == instance && request.ended.After(started) && request.sent.Before(ended) {
			r.findings.violated("the planned stop of instance %d interrupted a request that was sent %s after the stop began", instance, request.sent.Sub(started))
			return
		}
	}
}

// checkFaultFreePeriod checks that every lookup of steadyAccount sent after the given time
// was served.
func (r *run) checkFaultFreePeriod(since time.Time) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	servedCount, failedCount := 0, 0
	for _, request := range r.callers.served[steadyAccount.id] {
		if request.sent.After(since) {
			servedCount++
		}
	}
	for _, lookup := range r.callers.failedLookups {
		if lookup.sent.After(since) {
			failedCount++
			if failedCount == 1 {
				r.findings.violated("a lookup in the fault-free period at the end was not served: status %d, %s", lookup.status, lookup.text)
			}
		}
	}
	if servedCount == 0 {
		r.findings.violated("no request was served in the fault-free period at the end")
	}
	r.findings.printf("fault-free period at the end: %d lookups served, %d failed", servedCount, failedCount)
}
