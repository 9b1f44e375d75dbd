package backendproxy

import (
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/pipeline"
)

// repeatFilter refuses a repeat, before it waits for a slot, if the backend server may receive
// none now. The ingress then sends it to another backend server.
type repeatFilter struct {
	registry *Registry
}

func (*repeatFilter) Name() string { return "repeat" }

func (f *repeatFilter) Request(exchange *pipeline.Exchange) error {
	if exchange.Repeat == pipeline.RepeatNone || f.registry.mayRepeat(exchange, clock.Now()) {
		return nil
	}
	return f.refuse()
}

// beginDispatch charges the request to the budget of its server, right before the dispatch. It
// returns a refusal if the server may receive no repeat now.
func (f *repeatFilter) beginDispatch(exchange *pipeline.Exchange, now time.Time) error {
	if !f.registry.chargeRepeat(exchange, now) {
		return f.refuse()
	}
	return nil
}

func (f *repeatFilter) refuse() error {
	f.registry.repeatRefusals.Add(1)
	return pipeline.NewNotRunRefusal(pipeline.KindRetryBudget, http.StatusServiceUnavailable,
		"the backend server has received as many repeats as its requests allow", "send the request to another backend server", retryElsewhere)
}

// mayRepeat reports whether the backend server may receive a repeat now.
func (r *Registry) mayRepeat(exchange *pipeline.Exchange, now time.Time) bool {
	limits, limited := r.limits.RepeatLimits(exchange.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[exchange.BackendServer]
	return !limited || server == nil || server.repeats.Ask(limits, exchange.Urgency, now)
}

// chargeRepeat records that a request is about to be sent to its backend server. It returns
// false if the request is a repeat and the server may receive none now.
func (r *Registry) chargeRepeat(exchange *pipeline.Exchange, now time.Time) bool {
	limits, limited := r.limits.RepeatLimits(exchange.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[exchange.BackendServer]
	switch {
	case !limited:
	case exchange.Repeat != pipeline.RepeatNone:
		// A server that has just left the registry has no budget any more.
		if server == nil || !server.repeats.Take(limits, exchange.Urgency, now) {
			return false
		}
	case server != nil:
		server.repeats.RecordFirst(limits, now)
	}
	switch exchange.Repeat {
	case pipeline.RepeatRetry:
		r.retries.Add(1)
	case pipeline.RepeatCall:
		r.repeatedCalls.Add(1)
	}
	return true
}

// RepeatCredit returns how many repeats the backend servers may receive now, in total.
func (r *Registry) RepeatCredit() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	credit := 0.0
	for _, server := range r.servers {
		credit += server.repeats.Credit()
	}
	return credit
}
