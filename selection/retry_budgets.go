package selection

import (
	"sync"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/retry"
)

// RetryBudgets keeps the retry budgets of this ingress, one for each service. It is
// safe for concurrent use.
type RetryBudgets struct {
	proxies func() int

	mu       sync.Mutex
	services map[fleetconfig.ServiceName]*serviceBudget
}

// serviceBudget is the budget of one service with the preset that it follows.
type serviceBudget struct {
	budget  *retry.Budget
	preset  *fleetconfig.Preset
	proxies int
}

// NewRetryBudgets returns budgets without requests. proxies returns how many proxies the
// fleet has.
func NewRetryBudgets(proxies func() int) *RetryBudgets {
	return &RetryBudgets{proxies: proxies, services: make(map[fleetconfig.ServiceName]*serviceBudget)}
}

// Started implements ingress.RetryPolicy.
func (r *RetryBudgets) Started(exchange *pipeline.Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(exchange).Request(exchange.Account, clock.Now())
}

// MayRetry implements ingress.RetryPolicy.
func (r *RetryBudgets) MayRetry(exchange *pipeline.Exchange, outcome pipeline.Outcome) bool {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict := r.budget(exchange).Decide(retry.Attempt{
		Account:    exchange.Account,
		Idempotent: exchange.Idempotent,
		Outcome:    outcome,
		Failed:     true,
		Attempts:   exchange.Reached,
		Remaining:  exchange.Remaining(now),
	}, now)
	return verdict == retry.VerdictRetry
}

// budget returns the budget of the exchange's service under the preset in force.
// The caller holds the lock.
func (r *RetryBudgets) budget(exchange *pipeline.Exchange) *retry.Budget {
	name := exchange.Service
	preset := exchange.View.Preset()
	found := r.services[name]
	if found == nil {
		found = &serviceBudget{budget: retry.NewBudget(preset), preset: preset}
		r.services[name] = found
	}
	if proxies := r.proxies(); found.preset != preset || found.proxies != proxies {
		found.budget.Divide(preset, proxies)
		found.proxies = proxies
	}
	if found.preset != preset {
		found.budget.SetPreset(preset)
		found.preset = preset
	}
	return found.budget
}
