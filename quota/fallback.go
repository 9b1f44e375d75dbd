package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// usageHalfWindow is half of the longest time over which an ingress measures its own
	// use of an account.
	usageHalfWindow = 5 * time.Second
	// usageTimePadding is added to the time since an account was first used, so that its
	// first requests are not taken for a high rate.
	usageTimePadding = time.Second
	// fallbackRateFactor lets an ingress serve somewhat more than its measured rate,
	// because at a few requests a second, the number that arrives varies from one second to
	// the next. It does not apply to an account that was at its limit.
	fallbackRateFactor = 1.3
	// maxFallbackAccounts bounds the accounts whose use is tracked; 100 bytes each.
	maxFallbackAccounts = 80_000
)

// FallbackLimiter lets an ingress go on serving an account at its own recent rate for a
// bounded time while the account's owner is unreachable. Without it, every request of the
// account is refused after the loss of its owner, even under ordinary load, until there is a
// new owner.
//
// All ingresses together serve no more than the rate that the owners granted them recently,
// or fallbackRateFactor times that rate if the account was not at its limit. The granted
// rate never exceeds the account's rate plus a part of its burst. The requests that the
// ingresses serve without an owner are in addition to the tokens that were granted
// immediately before the owner was lost. If only some ingresses have lost the owner, the
// requests are also in addition to what the owner grants to the remaining ingresses, until
// the owner notices that ingresses are missing (see ingressTracker). Accounts can therefore
// exceed their limits, and operators must enable the fallback (Preset.QuotaGracePeriod). A
// FallbackLimiter is not safe for concurrent use.
type FallbackLimiter struct {
	accounts map[fleetconfig.AccountID]*fallbackAccount
}

// fallbackAccount is the recent use of one account at one ingress.
type fallbackAccount struct {
	limits Limits
	// firstUsed is when the account was first used at this ingress.
	firstUsed time.Time
	// halfStarted is when the current half of the measured time started. previousCount and
	// currentCount are the tokens used in the previous and in the current half.
	halfStarted                 time.Time
	previousCount, currentCount uint32
	// lastGranted is when a token of the owner was last used.
	lastGranted time.Time
	// lastRefused is when the owner last refused a token.
	lastRefused time.Time
	// ownerLostAt is when the first request had to be decided without the owner, or zero
	// while the owner responds.
	ownerLostAt time.Time
	// level is how many requests may run without the owner, computed for filledAt.
	level    float64
	filledAt time.Time
}

// NewFallbackLimiter returns a limiter that has not measured any use.
func NewFallbackLimiter() *FallbackLimiter {
	return &FallbackLimiter{accounts: make(map[fleetconfig.AccountID]*fallbackAccount)}
}

// RecordGranted records that a token of the owner was used. It ends the fallback for the
// account.
func (l *FallbackLimiter) RecordGranted(account fleetconfig.AccountID, limits Limits, now time.Time) {
	a := l.accounts[account]
	if a == nil {
		if len(l.accounts) >= maxFallbackAccounts {
			clear(l.accounts)
		}
		a = &fallbackAccount{halfStarted: now, firstUsed: now}
		l.accounts[account] = a
	}
	a.limits = limits
	a.ownerLostAt = time.Time{}
	a.lastGranted = now
	a.rotate(now)
	a.currentCount++
}

// RecordRefused records that the owner refused a request because the account was over its
// rate.
func (l *FallbackLimiter) RecordRefused(account fleetconfig.AccountID, now time.Time) {
	if a := l.accounts[account]; a != nil {
		a.lastRefused = now
	}
}

// Allow reports whether a request of the account may run without a token of its owner. The
// fallback for an account lasts at most maxDuration.
func (l *FallbackLimiter) Allow(account fleetconfig.AccountID, limits Limits, maxDuration time.Duration, now time.Time) bool {
	a := l.accounts[account]
	if a == nil || maxDuration <= 0 {
		return false
	}
	if a.ownerLostAt.IsZero() {
		// Tokens accrue from the last one that the owner granted, not from the first
		// request without the owner.
		a.ownerLostAt, a.filledAt = now, a.lastGranted
		a.level = 0
	}
	if now.Sub(a.ownerLostAt) > maxDuration {
		return false
	}
	factor := fallbackRateFactor
	if !a.lastRefused.IsZero() && a.ownerLostAt.Sub(a.lastRefused) < usageHalfWindow {
		factor = 1
	}
	rate := min(factor*a.measuredRate(a.ownerLostAt), limits.RatePerSecond)
	if limits.RatePerSecond < a.limits.RatePerSecond && a.limits.RatePerSecond > 0 {
		rate *= limits.RatePerSecond / a.limits.RatePerSecond
	}
	a.level += rate * now.Sub(a.filledAt).Seconds()
	a.filledAt = now
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}

// measuredRate returns the tokens used per second up to now.
func (a *fallbackAccount) measuredRate(now time.Time) float64 {
	a.rotate(now)
	elapsed := min(usageHalfWindow+now.Sub(a.halfStarted), now.Sub(a.firstUsed)+usageTimePadding)
	return float64(a.previousCount+a.currentCount) / elapsed.Seconds()
}

// rotate starts a new half when the current one is over.
func (a *fallbackAccount) rotate(now time.Time) {
	switch age := now.Sub(a.halfStarted); {
	case age >= 2*usageHalfWindow:
		a.previousCount, a.currentCount, a.halfStarted = 0, 0, now
	case age >= usageHalfWindow:
		a.previousCount, a.currentCount, a.halfStarted = a.currentCount, 0, a.halfStarted.Add(usageHalfWindow)
	}
}
