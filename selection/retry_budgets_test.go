package selection

import (
	"log/slog"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// An ingress divides the fleet's retry budget by the current number of proxies. Retries
// already used in the window still count after that number changes.
func TestRetryBudgetsDivideByProxyCount(t *testing.T) {
	preset := fleetconfig.Preset{Name: "limited", RetryBudgetPercent: 1, RetryFloorPerSecond: 2, RetryWindow: 10 * time.Second}
	view := fleetconfig.NewView(&fleetconfig.Document{Version: 1, Presets: []fleetconfig.Preset{preset}, ActivePreset: "limited"})
	proxies := 10
	retries := NewRetryBudgets(func() int { return proxies }, slog.New(slog.DiscardHandler))
	allowed := func() int {
		count := 0
		for i := range 40 {
			exchange := &pipeline.Exchange{
				Service:         "catalogue",
				Account:         fleetconfig.AccountID(rune('a' + i)),
				View:            view,
				Idempotent:      true,
				ReachedAttempts: 1,
				Deadline:        clock.Now().Add(time.Minute),
			}
			if retries.MayRetry(exchange, pipeline.OutcomeUnknown) {
				count++
			}
		}
		return count
	}
	must.Eq(t, 2, allowed()) // Two per second for 10 s, divided by ten proxies.
	proxies = 4
	must.Eq(t, 3, allowed()) // Five with four proxies, two of them already used.
}
