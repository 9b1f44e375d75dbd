package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
	"github.com/hemlockring/hemlockring/pipeline"
)

var epoch = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// TestBudgetBoundsRetries checks, while presets change, that retries and hedges never
// exceed the percentage of the requests, plus the minimum rate multiplied by the elapsed
// time, plus the initial balance, for the service and for each account, and that a request
// that is not idempotent and may have run gets no further attempt.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		preset := fleetconfig.Preset{RetryBudgetPercent: 10}
		budget := NewBudget(&preset)
		now := epoch
		requestShare, retries := 0.0, 0.0
		requestShareByAccount, retriesByAccount := map[fleetconfig.AccountID]float64{}, map[fleetconfig.AccountID]float64{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 60).Draw(t, "preset") == 0 {
				preset.RetryBudgetPercent = rapid.SampledFrom([]uint32{5, 10, 20}).Draw(t, "percent")
				budget.SetPreset(&preset)
			}
			attempt := Attempt{
				Account:     fleetconfig.AccountID(fmt.Sprintf("a%d", rapid.IntRange(0, 2).Draw(t, "account"))),
				Idempotent:  rapid.Bool().Draw(t, "idempotent"),
				Outcome:     pipeline.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
				ServerError: rapid.Bool().Draw(t, "failed"),
				Attempts:    rapid.IntRange(1, MaxAttempts).Draw(t, "attempts"),
				Remaining:   time.Duration(rapid.IntRange(-1, 3).Draw(t, "remaining")),
			}
			budget.RecordRequest(attempt.Account, now)
			requestShare += float64(preset.RetryBudgetPercent) / percent
			requestShareByAccount[attempt.Account] += float64(preset.RetryBudgetPercent) / percent
			hedge := rapid.Bool().Draw(t, "hedge")
			decide := budget.Decide
			if hedge {
				decide = budget.DecideHedge
			}
			decision := decide(attempt, now)
			if decision != DecisionRetry {
				continue
			}
			must.True(t, attempt.Idempotent || (!hedge && attempt.Outcome == pipeline.OutcomeNotRun))
			must.Less(t, MaxAttempts, attempt.Attempts)
			must.Positive(t, attempt.Remaining)
			retries++
			retriesByAccount[attempt.Account]++
			elapsed := now.Sub(epoch).Seconds()
			must.LessEq(t, requestShare+minServiceRate*elapsed+1.001, retries)
			must.LessEq(t, requestShareByAccount[attempt.Account]+minAccountRate*elapsed+1.001, retriesByAccount[attempt.Account])
		}
	})
}

// TestBudgetBoundsAmplification checks that a service that fails every request receives at
// most 1.1 attempts per request over time.
func TestBudgetBoundsAmplification(t *testing.T) {
	budget := NewBudget(&fleetconfig.Preset{RetryBudgetPercent: 9})
	const requests = 20_000
	attempts := 0
	for i := range requests {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		account := fleetconfig.AccountID(fmt.Sprintf("a%d", i%8))
		budget.RecordRequest(account, now)
		attempts++
		for attempt := 1; budget.Decide(Attempt{Account: account, Outcome: pipeline.OutcomeNotRun, Attempts: attempt, Remaining: time.Second}, now) == DecisionRetry; attempt++ {
			attempts++
		}
	}
	must.LessEq(t, 1.1, float64(attempts)/requests)
	must.Greater(t, 1.05, float64(attempts)/requests)
}

// TestHedgeDelay checks that a hedge waits for the quantile of the service's own latencies
// and never starts for a request that is not idempotent.
func TestHedgeDelay(t *testing.T) {
	var latencies health.Histogram
	preset := fleetconfig.Preset{HedgeAfter: time.Millisecond}
	_, ok := HedgeDelay(&preset, true, &latencies)
	must.False(t, ok)
	for i := range 1000 {
		latencies.Record(time.Duration(i) * time.Millisecond)
	}
	delay, ok := HedgeDelay(&preset, true, &latencies)
	must.True(t, ok)
	must.Between(t, 900*time.Millisecond, delay, 1200*time.Millisecond)
	_, ok = HedgeDelay(&preset, false, &latencies)
	must.False(t, ok)
	_, ok = HedgeDelay(&fleetconfig.Preset{}, true, &latencies)
	must.False(t, ok)
}
