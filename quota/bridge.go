package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// usageHalfWindow is half of the longest time over which an ingress measures its own
	// use of an account.
	usageHalfWindow = 5 * time.Second
	// usageTimePadding is added to a short measured time, so that the first requests of
	// an account do not pass for a high rate.
	usageTimePadding = time.Second
	// fallbackRateFactor lets an ingress go on somewhat faster than it did, since a few
	// requests a second come unevenly. An account that was at its limit gets none.
	fallbackRateFactor = 1.3
	// maxFallbackAccounts bounds the accounts whose use is remembered; 100 bytes each.
	maxFallbackAccounts = 80_000
)

// FallbackLimiter lets an ingress go on with an account at its own recent rate while the
// account's owner can not be reached, for a bounded time. It answers the loss of an
// owner under ordinary load: without it every request of the account is refused
// until there is a new owner.
//
// What all ingresses bridge together is what the owners granted them lately, so it
// never exceeds the account's rate and a part of its burst; but it comes on top of
// what was granted right before, and of what an owner that only some have lost grants
// the others until it misses them (see Lender). It is therefore an allowance that
// operators turn on (Preset.QuotaGracePeriod). It is not safe for concurrent use.
type FallbackLimiter struct {
	accounts map[fleetconfig.AccountID]*fallbackAccount
}

// fallbackAccount is one account at a Bridge.
type fallbackAccount struct {
	limits Limits
	// firstUsed is when the account was firstUsed used here.
	firstUsed time.Time
	// halfStarted is the start of the newer half of the measured time; older and newer are
	// the tokens of the halves.
	halfStarted                 time.Time
	previousCount, currentCount uint32
	// lastGranted is when the last token of the owner was used.
	lastGranted time.Time
	// lastRefused is when the owner lastRefused one last.
	lastRefused time.Time
	// ownerLostAt is since when the owner is missed, or zero.
	ownerLostAt time.Time
	level       float64
	filledAt    time.Time
}

// NewFallbackLimiter returns a bridge without memory.
func NewFallbackLimiter() *FallbackLimiter {
	return &FallbackLimiter{accounts: make(map[fleetconfig.AccountID]*fallbackAccount)}
}

// RecordGranted records that a token of the owner was used. It ends a bridging.
func (b *FallbackLimiter) RecordGranted(account fleetconfig.AccountID, limits Limits, now time.Time) {
	a := b.accounts[account]
	if a == nil {
		if len(b.accounts) >= maxFallbackAccounts {
			clear(b.accounts)
		}
		a = &fallbackAccount{halfStarted: now, firstUsed: now}
		b.accounts[account] = a
	}
	a.limits = limits
	a.ownerLostAt = time.Time{}
	a.lastGranted = now
	a.rotate(now)
	a.currentCount++
}

// RecordRefused records that the owner refused a request of the account as over its rate.
func (b *FallbackLimiter) RecordRefused(account fleetconfig.AccountID, now time.Time) {
	if a := b.accounts[account]; a != nil {
		a.lastRefused = now
	}
}

// Allow reports whether a request of the account may run without its owner. span is
// how long that may go on.
func (b *FallbackLimiter) Allow(account fleetconfig.AccountID, limits Limits, span time.Duration, now time.Time) bool {
	a := b.accounts[account]
	if a == nil || span <= 0 {
		return false
	}
	if a.ownerLostAt.IsZero() {
		// The rate goes on from the last token, not from the first request without
		// one.
		a.ownerLostAt, a.filledAt = now, a.lastGranted
		a.level = 0
	}
	if now.Sub(a.ownerLostAt) > span {
		return false
	}
	margin := fallbackRateFactor
	if !a.lastRefused.IsZero() && a.ownerLostAt.Sub(a.lastRefused) < usageHalfWindow {
		margin = 1
	}
	rate := min(margin*a.measuredRate(a.ownerLostAt), limits.RatePerSecond)
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

// measuredRate returns the tokens a second up to a time.
func (a *fallbackAccount) measuredRate(now time.Time) float64 {
	a.rotate(now)
	elapsed := min(usageHalfWindow+now.Sub(a.halfStarted), now.Sub(a.firstUsed)+usageTimePadding)
	return float64(a.previousCount+a.currentCount) / elapsed.Seconds()
}

// rotate begins a new half when the newer one is over.
func (a *fallbackAccount) rotate(now time.Time) {
	switch age := now.Sub(a.halfStarted); {
	case age >= 2*usageHalfWindow:
		a.previousCount, a.currentCount, a.halfStarted = 0, 0, now
	case age >= usageHalfWindow:
		a.previousCount, a.currentCount, a.halfStarted = a.currentCount, 0, a.halfStarted.Add(usageHalfWindow)
	}
}
