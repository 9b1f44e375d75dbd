package ctl

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// The list of presets states limits for the whole fleet as the preset bounds them.
func TestRetryBudgetTextStatesFleetLimits(t *testing.T) {
	must.Eq(t, "10%", retryBudgetText(&fleetconfig.Preset{RetryBudgetPercent: 10, RetryFloorPerSecond: 2}))
	must.Eq(t, "20% and 64 in every 10s over the fleet", retryBudgetText(&fleetconfig.Preset{
		RetryBudgetPercent: 20, RetryFloorPerSecond: 6.4, RetryWindow: 10 * time.Second,
	}))
}
