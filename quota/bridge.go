package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// bridgeWindow is half of the longest time over which an ingress measures its own
	// use of an account.
	bridgeWindow = 5 * time.Second
	// leastMeasured is added to a short measured time, so that the first requests of
	// an account do not pass for a high rate.
	leastMeasured = time.Second
	// bridgeMargin lets an ingress go on somewhat faster than it did, since a few
	// requests a second come unevenly. An account that was at its limit gets none.
	bridgeMargin = 1.3
	// maxBridged bounds the accounts whose use is remembered; 100 bytes each.
	maxBridged = 80_000
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
	accounts map[fleetconfig.AccountID]*bridged
}

// bridged is one account at a Bridge.
type bridged struct {
	limits Limits
	// first is when the account was first used here.
	first time.Time
	// began is the start of the newer half of the measured time; older and newer are
	// the tokens of the halves.
	began        time.Time
	older, newer uint32
	// granted is when the last token of the owner was used.
	granted time.Time
	// refused is when the owner refused one last.
	refused time.Time
	// opened is since when the owner is missed, or zero.
	opened time.Time
	level  float64
	filled time.Time
}

// NewFallbackLimiter returns a bridge without memory.
func NewFallbackLimiter() *FallbackLimiter {
	return &FallbackLimiter{accounts: make(map[fleetconfig.AccountID]*bridged)}
}

// RecordGranted records that a token of the owner was used. It ends a bridging.
func (b *FallbackLimiter) RecordGranted(account fleetconfig.AccountID, limits Limits, now time.Time) {
	a := b.accounts[account]
	if a == nil {
		if len(b.accounts) >= maxBridged {
			clear(b.accounts)
		}
		a = &bridged{began: now, first: now}
		b.accounts[account] = a
	}
	a.limits = limits
	a.opened = time.Time{}
	a.granted = now
	a.roll(now)
	a.newer++
}

// RecordRefused records that the owner refused a request of the account as over its rate.
func (b *FallbackLimiter) RecordRefused(account fleetconfig.AccountID, now time.Time) {
	if a := b.accounts[account]; a != nil {
		a.refused = now
	}
}

// Allow reports whether a request of the account may run without its owner. span is
// how long that may go on.
func (b *FallbackLimiter) Allow(account fleetconfig.AccountID, limits Limits, span time.Duration, now time.Time) bool {
	a := b.accounts[account]
	if a == nil || span <= 0 {
		return false
	}
	if a.opened.IsZero() {
		// The rate goes on from the last token, not from the first request without
		// one.
		a.opened, a.filled = now, a.granted
		a.level = 0
	}
	if now.Sub(a.opened) > span {
		return false
	}
	margin := bridgeMargin
	if !a.refused.IsZero() && a.opened.Sub(a.refused) < bridgeWindow {
		margin = 1
	}
	rate := min(margin*a.rate(a.opened), limits.RatePerSecond)
	if limits.RatePerSecond < a.limits.RatePerSecond && a.limits.RatePerSecond > 0 {
		rate *= limits.RatePerSecond / a.limits.RatePerSecond
	}
	a.level += rate * now.Sub(a.filled).Seconds()
	a.filled = now
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}

// rate returns the tokens a second up to a time.
func (a *bridged) rate(now time.Time) float64 {
	a.roll(now)
	elapsed := min(bridgeWindow+now.Sub(a.began), now.Sub(a.first)+leastMeasured)
	return float64(a.older+a.newer) / elapsed.Seconds()
}

// roll begins a new half when the newer one is over.
func (a *bridged) roll(now time.Time) {
	switch age := now.Sub(a.began); {
	case age >= 2*bridgeWindow:
		a.older, a.newer, a.began = 0, 0, now
	case age >= bridgeWindow:
		a.older, a.newer, a.began = a.newer, 0, a.began.Add(bridgeWindow)
	}
}
