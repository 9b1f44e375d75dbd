package selection

import (
	"log/slog"
	"sync"
	"sync/atomic"
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
	logger      *slog.Logger
	lineLimiter *linelimit.Limiter
	// allowed and refused count the decisions on retries.
	allowed, refused atomic.Uint64

	mu       sync.Mutex
	services map[fleetconfig.ServiceName]*serviceBudget
}

// serviceBudget is the budget of one service with its preset.
type serviceBudget struct {
	budget *retry.Budget
	preset *fleetconfig.Preset
}

// maxRetryLinesPerSecond bounds the log messages about retries that were refused.
const maxRetryLinesPerSecond = 20

// NewRetryBudgets returns empty retry budgets. logger receives a line for each retry that was
// refused, up to maxRetryLinesPerSecond.
func NewRetryBudgets(logger *slog.Logger) *RetryBudgets {
	return &RetryBudgets{
		logger:      logger,
		lineLimiter: linelimit.New(maxRetryLinesPerSecond),
		services:    make(map[fleetconfig.ServiceName]*serviceBudget),
	}
}

// Statistics returns how many retries were allowed, and how many were refused for want of
// budget.
func (r *RetryBudgets) Statistics() (allowed, refused uint64) {
	return r.allowed.Load(), r.refused.Load()
}

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
	decision := r.budget(exchange).Decide(retry.Attempt{
		Account:     exchange.Account,
		Urgency:     urgencyOf(exchange),
		Idempotent:  exchange.Idempotent,
		Outcome:     outcome,
		ServerError: true,
		Attempts:    exchange.ReachedAttempts,
		Remaining:   exchange.Remaining(now),
	}, now)
	switch decision {
	case retry.DecisionRetry:
		r.allowed.Add(1)
		return true
	case retry.DecisionBudgetExhausted:
		r.refused.Add(1)
		r.logRefused(exchange, "ingress", now)
	}
	return false
}

func urgencyOf(exchange *pipeline.Exchange) fleetconfig.Urgency {
	return fleetconfig.UrgencyOf(exchange.View.Account(exchange.Account), exchange.Route)
}

// RetryRefused implements ingress.RetryPolicy.
func (r *RetryBudgets) RetryRefused(exchange *pipeline.Exchange) {
	now := clock.Now()
	r.refused.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(exchange).Exhausted(urgencyOf(exchange), now)
	r.logRefused(exchange, "backend-proxies", now)
}

// logRefused writes a line on a retry that was refused for want of budget. The caller must
// hold mu.
func (r *RetryBudgets) logRefused(exchange *pipeline.Exchange, by string, now time.Time) {
	permitted, omitted := r.lineLimiter.Allow(now)
	if omitted > 0 {
		r.logger.Info("retry lines omitted", "lines", omitted)
	}
	if permitted {
		r.logger.Info("retry refused", "request", exchange.RequestID, "service", string(exchange.Service), "account", string(exchange.Account),
			"by", by, "attempts", exchange.ReachedAttempts, "repeated_call", exchange.RepeatedCall)
	}
}

// budget returns the budget of the exchange's service, adapted to the current preset. The
// caller must hold mu.
func (r *RetryBudgets) budget(exchange *pipeline.Exchange) *retry.Budget {
	preset := exchange.View.ActivePreset()
	entry := r.services[exchange.Service]
	if entry == nil {
		entry = &serviceBudget{budget: retry.NewBudget(preset), preset: preset}
		r.services[exchange.Service] = entry
	}
	if entry.preset != preset {
		entry.budget.SetPreset(preset)
		entry.preset = preset
	}
	return entry.budget
}
