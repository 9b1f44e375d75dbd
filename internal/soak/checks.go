package soak

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
)

// withdrawalBound is how long a withdrawn key may work after the change was accepted.
// It is the fleet's promise.
const withdrawalBound = 5 * time.Second

// checkRuns compares what callers heard with what backend servers have run. It may be
// called at any time: what it counts only grows.
func (r *run) checkRuns(executions *emulator.Executions) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for order, count := range executions.Orders {
		if count > 1 {
			r.once("order "+order, "order %s ran %d times", order, count)
		}
	}
	for id := range r.callers.notRun {
		if executions.Requests[id] > 0 {
			r.once("not run "+id, "request %s was said to be not run and had run", id)
		}
	}
	if executions.WithCredentials > 0 {
		r.once("keys", "%d requests reached a backend server with a key", executions.WithCredentials)
	}
	for _, id := range r.callers.unwhole {
		r.once("whole "+id, "the answer to request %s looked whole and was not", id)
	}
}

// once notes a broken promise unless it was noted under the same name.
func (r *run) once(name, format string, arguments ...any) {
	if !r.noted[name] {
		r.noted[name] = true
		r.findings.broke(format, arguments...)
	}
}

// checkOrders is called once no request is under way: no answered order may be missing.
func (r *run) checkOrders(executions *emulator.Executions) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for order := range r.callers.answered {
		if executions.Orders[order] == 0 {
			r.findings.broke("order %s was answered and no backend server has run it", order)
		}
	}
	r.findings.say("orders: %d sent, %d answered; %d requests run, %d said to be not run",
		r.callers.orders, len(r.callers.answered), executions.Total, len(r.callers.notRun))
}

// checkRate checks every window of the account that sends several times its rate.
func (r *run) checkRate() {
	r.callers.mu.Lock()
	all := r.callers.served[pressing.id]
	r.callers.mu.Unlock()
	if most, from, length := worstWindow(all, pressing.rate); float64(most) > pressing.rate*length.Seconds()+float64(pressing.burst) {
		r.findings.broke("%s got %d requests in %s from %.2f s on; rate and burst allow %.1f", pressing.id, most, length,
			from.Sub(r.findings.started).Seconds(), pressing.rate*length.Seconds()+float64(pressing.burst))
	}
	r.findings.say("%s: %d requests served", pressing.id, len(all))
}

// worstWindow returns the window that holds most requests above the rate, of those that
// were both sent and answered in it.
func worstWindow(all []served, rate float64) (most int, from time.Time, length time.Duration) {
	var worst float64
	for _, first := range all {
		var ends []time.Time
		for _, request := range all {
			if !request.sent.Before(first.sent) {
				ends = append(ends, request.ended)
			}
		}
		sortTimes(ends)
		for i, end := range ends {
			window := end.Sub(first.sent)
			if above := float64(i+1) - rate*window.Seconds(); above > worst {
				worst, most, from, length = above, i+1, first.sent, window
			}
		}
	}
	return most, from, length
}

// checkWithdrawn checks that a key has stopped working.
func (r *run) checkWithdrawn(id fleetconfig.AccountID, accepted time.Time) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for _, request := range r.callers.served[id] {
		if after := request.sent.Sub(accepted); after > withdrawalBound {
			r.once("withdrawn "+string(id), "a request with the withdrawn key of %s, sent %s after the change was accepted, was served", id, after)
			return
		}
	}
}

// checkCut checks that a planned stop cut no request off.
func (r *run) checkCut(instance int, began, ended time.Time) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	for _, cut := range r.callers.cut {
		if cut.instance == instance && cut.ended.After(began) && cut.sent.Before(ended) {
			r.findings.broke("the planned stop of instance %d cut a request off that was sent %s after its start", instance, cut.sent.Sub(began))
			return
		}
	}
}

// checkCalm checks that every lookup of an account within its rate was served since a
// time.
func (r *run) checkCalm(since time.Time) {
	r.callers.mu.Lock()
	defer r.callers.mu.Unlock()
	calm, lost := 0, 0
	for _, request := range r.callers.served[steady.id] {
		if request.sent.After(since) {
			calm++
		}
	}
	for _, failed := range r.callers.failed {
		if failed.sent.After(since) {
			lost++
			if lost == 1 {
				r.findings.broke("a lookup in the calm at the end was not served: status %d, %s", failed.status, failed.text)
			}
		}
	}
	if calm == 0 {
		r.findings.broke("no request was served in the calm at the end")
	}
	r.findings.say("calm at the end: %d served, %d not", calm, lost)
}
