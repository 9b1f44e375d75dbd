package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// The slack of an account is the preset's number and its share of what the account may run in
// the window, rounded down.
func TestSlackGrowsWithLimitsOfAccount(t *testing.T) {
	document := fleetconfig.NewDocument()
	document.Accounts = []fleetconfig.Account{{ID: "large", RatePerSecond: 100, Burst: 100}, {ID: "none"}, {ID: "small", RatePerSecond: 2, Burst: 2}}
	for i := range document.Presets {
		document.Presets[i].QuotaSlack, document.Presets[i].QuotaSlackPercent, document.Presets[i].QuotaWindow = 8, 4, 5*time.Second
	}
	view := fleetconfig.NewView(document)
	must.Eq(t, 8+24, LimitsOf(view, "large").Slack)
	must.Eq(t, 8, LimitsOf(view, "small").Slack)
	must.Eq(t, 8, LimitsOf(view, "none").Slack)
}

// An account that is below its rate, with responses that take longer than burst / rate, reaches
// its rate only with slack for the requests that are running.
func TestSlackOfLargeAccountCoversRunningRequests(t *testing.T) {
	const rate, perSecond = 100, 90
	limits := Limits{RatePerSecond: rate, Burst: rate, Slack: 8}
	preset := &fleetconfig.Preset{QuotaSlack: 8, QuotaSlackPercent: 4, QuotaWindow: 5 * time.Second}
	before := refusedShare(limits, perSecond, 1200*time.Millisecond)
	limits.Slack = slackOf(limits, preset)
	after := refusedShare(limits, perSecond, 1200*time.Millisecond)
	t.Logf("refused below the rate: %.3f with a slack of 8, %.3f with %d", before, after, limits.Slack)
	must.Greater(t, 0.01, before)
	must.Zero(t, after)
}

// refusedShare returns the share of the requests of an account that find no token, if each holds
// its token for the given time.
func refusedShare(limits Limits, perSecond int, held time.Duration) float64 {
	now := time.Unix(1_000_000, 0)
	b := &bucket{limits: limits, level: float64(limits.Burst), updatedAt: now}
	type running struct {
		id   GrantID
		ends time.Time
	}
	var open []running
	refused, sent := 0, 20*perSecond
	for i := range sent {
		now = now.Add(time.Second / time.Duration(perSecond))
		for len(open) > 0 && !now.Before(open[0].ends) {
			b.report("a", &UsageReport{Grant: open[0].id, Spent: 1, SinceLastSpent: 0}, now)
			open = open[1:]
		}
		reply := b.lend("a", &TokenRequest{Account: "x", Grant: GrantID(i + 1), Waiting: 1}, MaxTokenLifetime, now)
		if reply.Count == 0 {
			refused++
			continue
		}
		open = append(open, running{GrantID(i + 1), now.Add(held)})
	}
	return float64(refused) / float64(sent)
}
