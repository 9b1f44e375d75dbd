package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

const testWindow = 10 * time.Second

// In any period of the window's length, the retries of all proxies together are at most the
// percentage of their requests in that period plus the fleet's floor.
func TestBudgetWindowBoundsFleetRetries(t *testing.T) {
	type event struct {
		at    time.Duration
		retry bool
	}
	preset := fleetconfig.Preset{RetryBudgetPercent: 14, RetryFloorPerSecond: 4, RetryWindow: testWindow}
	rapid.Check(t, func(t *rapid.T) {
		proxies := rapid.IntRange(1, 12).Draw(t, "proxies")
		budgets := make([]*Budget, proxies)
		for i := range budgets {
			budgets[i] = NewBudget(&preset)
			budgets[i].SetFleetLimits(&preset, proxies)
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 20, 100, 3000}).Draw(t, "ms")) * time.Millisecond
			at := epoch.Add(now)
			budget := budgets[rapid.IntRange(0, proxies-1).Draw(t, "proxy")]
			account := fleetconfig.AccountID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"))
			budget.RecordRequest(account, at)
			events = append(events, event{at: now})
			if rapid.IntRange(0, 2).Draw(t, "fails") > 0 && budget.Take(account, at) {
				events = append(events, event{at: now, retry: true})
			}
		}
		for first := range events {
			requests, retries := 0, 0
			for _, e := range events[first:] {
				if e.at-events[first].at >= testWindow {
					break
				}
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
			// A request up to one slot before the period can allow a retry in it.
			for _, e := range events[:first] {
				if !e.retry && events[first].at-e.at <= testWindow/windowSlots {
					requests++
				}
			}
			must.LessEq(t, 0.14*float64(requests)+4*testWindow.Seconds()+1e-9, float64(retries))
		}
	})
}

// Guards against refused retries when failures occur at the same time. 21 proxies share 80
// requests per second. During one second in ten, two of fifteen requests fail and may be
// retried. With buckets that fill evenly, a third of these got no retry; with the window,
// at most one in fifty may get none.
func TestBudgetWindowAllowsRetryBursts(t *testing.T) {
	const proxies, perSecond, seconds = 21, 80, 300
	preset := fleetconfig.Preset{RetryBudgetPercent: 14, RetryFloorPerSecond: 4.2, RetryWindow: testWindow}
	budgets := make([]*Budget, proxies)
	for i := range budgets {
		budgets[i] = NewBudget(&preset)
		budgets[i].SetFleetLimits(&preset, proxies)
	}
	asked, refused := 0, 0
	for i := range perSecond * seconds {
		now := epoch.Add(time.Duration(i) * time.Second / perSecond)
		budget := budgets[(i*13)%proxies]
		account := fleetconfig.AccountID(rune('a' + (i*7)%27))
		budget.RecordRequest(account, now)
		failing := i/perSecond%10 == 5
		if failing && i%5 < 2 && i%3 == 0 {
			asked++
			if budget.Decide(Attempt{Account: account, Idempotent: true, Outcome: pipeline.OutcomeUnknown, Attempts: 1, Remaining: time.Second}, now) != DecisionRetry {
				refused++
			}
		}
	}
	must.Positive(t, asked)
	must.LessEq(t, asked/50, refused)
}

// After a pause longer than the window, the earlier counts no longer apply.
func TestWindowDropsExpiredCounts(t *testing.T) {
	w := newWindow(testWindow, epoch)
	for range 100 {
		w.request(epoch)
	}
	must.True(t, w.take(0.01, 0, epoch))
	must.False(t, w.take(0.01, 0, epoch.Add(time.Second)))
	later := epoch.Add(time.Hour)
	must.False(t, w.take(0.01, 0, later))
	must.True(t, w.take(0, 1, later))
	must.False(t, w.take(0, 1, later.Add(testWindow)))
	must.True(t, w.take(0, 1, later.Add(testWindow+testWindow/windowSlots)))
}
