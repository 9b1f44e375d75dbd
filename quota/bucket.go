package quota

import (
	"math"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// grant is a number of tokens lent to one borrower.
type grant struct {
	borrower fleetconfig.InstanceID
	id       GrantID
	count    uint32
	spent    uint32
	returned uint32
	lifetime time.Duration
	expires  time.Time
}

// outstanding returns how many tokens may still be dispatched.
func (g *grant) outstanding() uint32 { return g.count - g.spent - g.returned }

// recentBorrower is when an ingress asked last.
type recentBorrower struct {
	borrower    fleetconfig.InstanceID
	requestedAt time.Time
}

// bucket is the token bucket of one client account.
//
// Invariant: level + lent ≤ burst + slack and level ≤ burst, unless the limits were
// lowered, and then level is 0 until the lent tokens are back under them. lent is
// the sum of open() over all grants.
type bucket struct {
	limits Limits
	level  float64
	lent   uint32
	// updatedAt is the time that the level is right for. While the bucket is full it is
	// when it became full, so that the news of a token spent since then can start
	// the filling updatedAt the moment of spending.
	updatedAt time.Time
	grants    []grant
	borrowers []recentBorrower
}

// fillRate is slower than the rate by the assumed drift, so that a fast clock
// does not fill the bucket faster than the rate.
func (b *bucket) fillRate() float64 {
	return b.limits.RatePerSecond * (1 - shard.MaxClockDrift)
}

func (b *bucket) headroom() float64 {
	return b.maxLevel() - b.level
}

// maxLevel is what the level may be while the lent tokens are out.
func (b *bucket) maxLevel() float64 {
	return float64(b.limits.Burst) - b.limits.burstUsed(b.lent)
}

// fill lets the bucket gain tokens up to now.
func (b *bucket) fill(now time.Time) {
	room := b.headroom()
	if room <= 0 || !now.After(b.updatedAt) {
		return
	}
	gain := now.Sub(b.updatedAt).Seconds() * b.fillRate()
	if gain < room {
		b.level += gain
		b.updatedAt = now
		return
	}
	b.level += room
	filled := b.updatedAt.Add(time.Duration(room / b.fillRate() * float64(time.Second)))
	if filled.Before(now) {
		b.updatedAt = filled
	} else {
		b.updatedAt = now
	}
}

// advance expires grants and fills the bucket up to now.
func (b *bucket) advance(now time.Time) {
	for i := range b.grants {
		g := &b.grants[i]
		if !now.Before(g.expires) {
			b.removeLent(g.outstanding(), g.expires)
			g.spent = g.count - g.returned
		}
	}
	b.dropFinishedGrants()
	b.fill(now)
}

// removeLent takes n tokens out of lent because they were dispatched, or can no longer
// be, at the time when. The place they removeLent fills from then on.
func (b *bucket) removeLent(n uint32, when time.Time) {
	if n == 0 {
		return
	}
	b.fill(when)
	if b.headroom() <= 0 && b.updatedAt.Before(when) {
		b.updatedAt = when
	}
	b.lent -= n
}

func (b *bucket) dropFinishedGrants() {
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool { return g.outstanding() == 0 })
}

// setLimits changes rate and burst from now on.
func (b *bucket) setLimits(limits Limits, now time.Time) {
	if limits == b.limits {
		return
	}
	b.advance(now)
	b.limits = limits
	if b.updatedAt.Before(now) {
		b.updatedAt = now
	}
	b.level = max(0, min(b.level, b.maxLevel()))
}

// findGrant returns the grant, or nil.
func (b *bucket) findGrant(borrower fleetconfig.InstanceID, id GrantID) *grant {
	for i := range b.grants {
		if b.grants[i].id == id && b.grants[i].borrower == borrower {
			return &b.grants[i]
		}
	}
	return nil
}

// report takes what a borrower says about a grant.
func (b *bucket) report(borrower fleetconfig.InstanceID, report *UsageReport, now time.Time) {
	b.advance(now)
	g := b.findGrant(borrower, report.Grant)
	if g == nil {
		return
	}
	if report.Spent > g.spent {
		n := min(report.Spent-g.spent, g.outstanding())
		g.spent += n
		b.removeLent(n, now.Add(-shard.SubtractClockDrift(max(report.SinceLastSpent, 0))))
	}
	if report.Returned > g.returned {
		n := min(report.Returned-g.returned, g.outstanding())
		g.returned += n
		b.lent -= n
		b.level = min(b.level+float64(n), max(0, b.maxLevel()))
	}
	b.dropFinishedGrants()
	b.fill(now)
}

// lend answers an ask. The tokens live for life.
func (b *bucket) lend(borrower fleetconfig.InstanceID, ask *TokenRequest, life time.Duration, now time.Time) TokenGrant {
	b.advance(now)
	loan := TokenGrant{Account: ask.Account, Grant: ask.Grant}
	others := b.recordBorrower(borrower, now)
	loan.PrefetchLimit = b.limits.Burst / uint32(prefetchDivisor*(others+1))
	if g := b.findGrant(borrower, ask.Grant); g != nil {
		loan.Count = g.count
		loan.Lifetime = g.lifetime
		return loan
	}
	available := uint32(max(0, math.Floor(b.level+levelTolerance)))
	if len(b.grants) >= maxGrantsPerAccount {
		available = 0
	}
	loan.Count = min(ask.Waiting, available)
	if spare := available - loan.Count; spare > uint32(others) {
		loan.Count += min(ask.Prefetch, loan.PrefetchLimit, spare-uint32(others))
	}
	if loan.Count < ask.Waiting {
		loan.RetryAfter = b.nextTokenWait(now)
	}
	if loan.Count > 0 {
		loan.Lifetime = life
		b.addGrant(grant{borrower: borrower, id: ask.Grant, count: loan.Count, lifetime: life, expires: now.Add(life)})
	}
	loan.MaxReportDelay = b.reportDelay()
	return loan
}

// reportDelay returns how long news of spent tokens may take. Until it comes, the
// place of a spent token does not fill; at the account's full rate, what is left
// in the bucket, but for one token, covers that time twice.
func (b *bucket) reportDelay() time.Duration {
	if b.limits.RatePerSecond <= 0 {
		return maxReportDelay
	}
	covered := max(b.level-1, 0) / (2 * b.limits.RatePerSecond)
	return time.Duration(min(covered, maxReportDelay.Seconds()) * float64(time.Second))
}

// levelTolerance forgives the rounding of sums. It is far below one token, and the
// level never goes under zero by it.
const levelTolerance = 1e-9

func (b *bucket) addGrant(g grant) {
	b.level = max(0, b.level-float64(g.count))
	b.lent += g.count
	b.grants = append(b.grants, g)
}

// nextTokenWait returns when the next token can be lent, if nobody else takes it and
// nothing is given back.
func (b *bucket) nextTokenWait(now time.Time) time.Duration {
	missing := 1 - (b.level - math.Floor(b.level))
	if b.fillRate() <= 0 || b.limits.Burst == 0 {
		return maxWait
	}
	wait := time.Duration(min(missing/b.fillRate(), maxWait.Seconds()) * float64(time.Second))
	if b.updatedAt.After(now) && b.lent == 0 {
		wait += b.updatedAt.Sub(now) // The tenure has not begun to lend.
	}
	if b.headroom() >= missing {
		return wait
	}
	// The burst is all lent. A place starts to fill when its token is spent, which
	// was after it was lent.
	oldest := now
	for i := range b.grants {
		if lent := b.grants[i].expires.Add(-b.grants[i].lifetime); lent.Before(oldest) {
			oldest = lent
		}
	}
	return max(wait-now.Sub(oldest), time.Millisecond)
}

// recordBorrower records that the borrower uses the account and returns how many others
// have done so lately.
func (b *bucket) recordBorrower(borrower fleetconfig.InstanceID, now time.Time) int {
	known := false
	others := 0
	kept := b.borrowers[:0]
	for _, user := range b.borrowers {
		switch {
		case user.borrower == borrower:
			user.requestedAt = now
			known = true
		case now.Sub(user.requestedAt) > borrowerRetention:
			continue
		default:
			others++
		}
		kept = append(kept, user)
	}
	if !known && len(kept) < maxTrackedBorrowers {
		kept = append(kept, recentBorrower{borrower: borrower, requestedAt: now})
	}
	b.borrowers = kept
	return others
}

// idle reports whether the bucket is full and nothing is lent, so that it need
// not be kept.
func (b *bucket) idle(now time.Time) bool {
	b.advance(now)
	return b.lent == 0 && b.headroom() <= 0
}
