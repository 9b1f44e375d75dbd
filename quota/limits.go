package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Limits bound the requests of one client account.
type Limits struct {
	// RatePerSecond is how many tokens a second the bucket gains.
	RatePerSecond float64
	// Burst is the most tokens that may be in the bucket.
	Burst uint32
	// Slack is how many lent tokens take no place in the burst. It comes from the
	// preset in force (Preset.QuotaSlack).
	Slack uint32
}

// burstUsed returns how much of the burst lent tokens take.
func (l Limits) burstUsed(lent uint32) float64 {
	if lent <= l.Slack {
		return 0
	}
	return float64(lent - l.Slack)
}

// LimitsOf returns the limits of an account; an unknown one may run nothing.
func LimitsOf(view *fleetconfig.View, id fleetconfig.AccountID) Limits {
	if view == nil {
		return Limits{}
	}
	account := view.Account(id)
	if account == nil {
		return Limits{}
	}
	return Limits{RatePerSecond: max(account.RatePerSecond, 0), Burst: account.Burst, Slack: view.ActivePreset().QuotaSlack}
}

// Durations of the protocol between borrowers and owners.
const (
	// MaxTokenLifetime is the longest life of a lent token.
	MaxTokenLifetime = 2 * time.Second
	// minTokenLifetime is the shortest life that is worth lending.
	minTokenLifetime = 200 * time.Millisecond
	// maxWait is the longest wait that a refusal names.
	maxWait = time.Hour
	// maxReportDelay is how long the news of a spent token may wait at most.
	maxReportDelay = time.Second
	// borrowerRetention is how long an ingress counts as one that uses an account.
	borrowerRetention = 2 * time.Second
)

// Bounds on state.
const (
	// maxGrantsPerAccount is how many grants of one account may be open at once.
	maxGrantsPerAccount = 1024
	// maxTrackedBorrowers is how many ingresses of one account are told apart.
	maxTrackedBorrowers = 32
	// prefetchDivisor is the part of the burst that all ingresses together may hold
	// without a request that needs it.
	prefetchDivisor = 4
)
