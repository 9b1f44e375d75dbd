package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Limits bounds the request rate of one client account.
type Limits struct {
	// RatePerSecond is how many tokens the bucket gains each second.
	RatePerSecond float64
	// Burst is the capacity of the bucket.
	Burst uint32
	// Slack is how many lent tokens do not count against the burst. It comes from the
	// active preset (Preset.QuotaSlack and QuotaSlackPercent).
	Slack uint32
}

// burstUsed returns how much of the burst the lent tokens use.
func (l Limits) burstUsed(lent uint32) float64 {
	if lent <= l.Slack {
		return 0
	}
	return float64(lent - l.Slack)
}

// LimitsOf returns the limits of an account. They are zero for an unknown account, which
// may run no requests.
func LimitsOf(view *fleetconfig.View, id fleetconfig.AccountID) Limits {
	if view == nil {
		return Limits{}
	}
	account := view.Account(id)
	if account == nil {
		return Limits{}
	}
	limits := Limits{RatePerSecond: max(account.RatePerSecond, 0), Burst: account.Burst}
	limits.Slack = slackOf(limits, view.ActivePreset())
	return limits
}

// slackOf returns the slack that a preset gives an account with the limits.
func slackOf(limits Limits, preset *fleetconfig.Preset) uint32 {
	const percent = 100
	perWindow := limits.RatePerSecond*preset.QuotaWindow.Seconds() + float64(limits.Burst)
	return preset.QuotaSlack + uint32(min(preset.QuotaSlackPercent/percent*perWindow, maxSlack))
}

// maxSlack bounds the part of the slack that grows with an account's limits.
const maxSlack = 1 << 20

// Durations of the protocol between borrowers and owners.
const (
	// MaxTokenLifetime is the longest lifetime of a lent token.
	MaxTokenLifetime = 2 * time.Second
	// minTokenLifetime is the shortest lifetime for which tokens are lent.
	minTokenLifetime = 200 * time.Millisecond
	// maxWait is the longest wait that a refusal states.
	maxWait = time.Hour
	// maxReportDelay is the longest time that the report of a spent token may be delayed.
	maxReportDelay = time.Second
	// borrowerRetention is how long after its last token request an ingress counts as using
	// an account.
	borrowerRetention = 2 * time.Second
)

// Bounds on the owner's state.
const (
	// maxGrantsPerAccount is how many grants of one account may be outstanding at once.
	maxGrantsPerAccount = 1024
	// maxTrackedBorrowers is how many ingresses are tracked for each account.
	maxTrackedBorrowers = 32
	// prefetchDivisor limits prefetching: the tokens that all ingresses together hold
	// without a request that needs them are at most about the burst divided by
	// prefetchDivisor.
	prefetchDivisor = 4
)
