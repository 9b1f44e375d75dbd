package selection

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/linelimit"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/retry"
)

// RetryBudgets holds the retry budgets of this ingress, one per service. It is safe for
// concurrent use.
type RetryBudgets struct {
	proxyCount  func() int
	logger      *slog.Logger
	lineLimiter *linelimit.Limiter

	mu       sync.Mutex
	services map[fleetconfig.ServiceName]*serviceBudget
}

// serviceBudget is the budget of one service, with the preset and the proxy count that it
// was computed from.
type serviceBudget struct {
	budget     *retry.Budget
	preset     *fleetconfig.Preset
	proxyCount int
}

// NewRetryBudgets returns empty retry budgets. proxyCount returns the number of proxies
// in the fleet. logger receives a line for each retry decision, up to maxRetryLinesPerSecond.
func NewRetryBudgets(proxyCount func() int, logger *slog.Logger) *RetryBudgets {
	return &RetryBudgets{
		proxyCount:  proxyCount,
		logger:      logger,
		lineLimiter: linelimit.New(maxRetryLinesPerSecond),
		services:    make(map[fleetconfig.ServiceName]*serviceBudget),
	}
}

// maxRetryLinesPerSecond bounds the log messages about retry decisions.
const maxRetryLinesPerSecond = 20

// RequestStarted implements ingress.RetryPolicy.
func (r *RetryBudgets) RequestStarted(exchange *pipeline.Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(exchange).RecordRequest(exchange.Account, clock.Now())
}

// MayRetry implements ingress.RetryPolicy.
func (r *RetryBudgets) MayRetry(exchange *pipeline.Exchange, outcome pipeline.Outcome) bool {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.budget(exchange)
	decision := budget.Decide(retry.Attempt{
		Account:     exchange.Account,
		Idempotent:  exchange.Idempotent,
		Outcome:     outcome,
		ServerError: true,
		Attempts:    exchange.ReachedAttempts,
		Remaining:   exchange.Remaining(now),
	}, now)
	r.log(exchange, budget, decision, now)
	return decision == retry.DecisionRetry
}

// log writes a line with what decided on a retry. The caller must hold mu.
func (r *RetryBudgets) log(exchange *pipeline.Exchange, budget *retry.Budget, decision retry.Decision, now time.Time) {
	permitted, omitted := r.lineLimiter.Allow(now)
	if omitted > 0 {
		r.logger.Info("retry lines omitted", "lines", omitted)
	}
	if !permitted {
		return
	}
	requests, retries, floor := budget.InWindow(now)
	r.logger.Info("retry decided", "request", exchange.RequestID, "service", string(exchange.Service), "decision", decision.String(),
		"attempts", exchange.ReachedAttempts, "requests", requests, "retries", retries, "floor", floor, "proxies", r.services[exchange.Service].proxyCount)
}

// budget returns the budget of the exchange's service, adapted to the current preset and
// proxy count. The caller must hold mu.
func (r *RetryBudgets) budget(exchange *pipeline.Exchange) *retry.Budget {
	name := exchange.Service
	preset := exchange.View.ActivePreset()
	entry := r.services[name]
	if entry == nil {
		entry = &serviceBudget{budget: retry.NewBudget(preset), preset: preset}
		r.services[name] = entry
	}
	if proxyCount := r.proxyCount(); entry.preset != preset || entry.proxyCount != proxyCount {
		entry.budget.SetFleetLimits(preset, proxyCount)
		entry.proxyCount = proxyCount
	}
	if entry.preset != preset {
		entry.budget.SetPreset(preset)
		entry.preset = preset
	}
	return entry.budget
}
