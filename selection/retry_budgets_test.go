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

// When backend proxies refuse a retry, the ingress stops the retries of that service for a moment, and
// of no other service.
func TestRetryRefusedPausesRetriesOfService(t *testing.T) {
	preset := fleetconfig.Preset{Name: "limited", RetryBudgetPercent: 1, RetryFloorPerSecond: 2, RetryWindow: 10 * time.Second}
	view := fleetconfig.NewView(&fleetconfig.Document{Version: 1, Presets: []fleetconfig.Preset{preset}, ActivePreset: "limited"})
	retries := NewRetryBudgets(slog.New(slog.DiscardHandler))
	exchange := func(service fleetconfig.ServiceName, account string) *pipeline.Exchange {
		return &pipeline.Exchange{
			Service:         service,
			Account:         fleetconfig.AccountID(account),
			View:            view,
			Idempotent:      true,
			ReachedAttempts: 1,
			Deadline:        clock.Now().Add(time.Minute),
		}
	}
	must.True(t, retries.MayRetry(exchange("catalogue", "a"), pipeline.OutcomeUnknown))
	// The first balance of the account is used up.
	must.False(t, retries.MayRetry(exchange("catalogue", "a"), pipeline.OutcomeUnknown))
	must.True(t, retries.MayRetry(exchange("catalogue", "b"), pipeline.OutcomeUnknown))
	retries.RetryRefused(exchange("catalogue", "b"))
	must.False(t, retries.MayRetry(exchange("catalogue", "c"), pipeline.OutcomeUnknown))
	must.True(t, retries.MayRetry(exchange("stock", "c"), pipeline.OutcomeUnknown))
	allowed, refused := retries.Statistics()
	must.Eq(t, 3, allowed)
	must.Eq(t, 3, refused)
}
