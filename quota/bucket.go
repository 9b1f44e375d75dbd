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

// outstanding returns how many of the tokens may still be spent.
func (g *grant) outstanding() uint32 { return g.count - g.spent - g.returned }

// recentBorrower records when an ingress last requested tokens of an account.
type recentBorrower struct {
	borrower    fleetconfig.InstanceID
	requestedAt time.Time
}

// bucket is the token bucket of one client account.
//
// Invariant: level + lent ≤ burst + slack and level ≤ burst. After the limits were lowered,
// the level is 0 until the lent tokens are within the new limits. lent is the sum of
// outstanding() over all grants.
type bucket struct {
	limits Limits
	// level is how many tokens the bucket can lend, including a fraction of a token.
	level float64
	lent  uint32
	// updatedAt is the time that the level is computed for. fill does not advance updatedAt
	// while the bucket is full: a token may be spent after the bucket became full and be
	// reported later, and the bucket refills it from the time at which it was spent.
	// updatedAt is in the future while a new owner waits until the tokens of earlier leases
	// have expired.
	updatedAt time.Time
	grants    []grant
	borrowers []recentBorrower
}

// fillRate is below the account's rate by the assumed clock drift, so that a fast clock
// does not fill the bucket faster than the rate.
func (b *bucket) fillRate() float64 {
	return b.limits.RatePerSecond * (1 - shard.MaxClockDrift)
}

// headroom returns how many tokens the bucket can still gain before it is full.
func (b *bucket) headroom() float64 {
	return b.maxLevel() - b.level
}

// maxLevel returns the highest permitted level, given the tokens that are lent.
func (b *bucket) maxLevel() float64 {
	return float64(b.limits.Burst) - b.limits.burstUsed(b.lent)
}

// fill adds the tokens gained up to now.
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
	filledAt := b.updatedAt.Add(time.Duration(room / b.fillRate() * float64(time.Second)))
	if filledAt.Before(now) {
		b.updatedAt = filledAt
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

// removeLent subtracts n tokens from lent because they were spent, or have expired, at the
// given time. The bucket can refill them from that time on.
func (b *bucket) removeLent(n uint32, at time.Time) {
	if n == 0 {
		return
	}
	b.fill(at)
	if b.headroom() <= 0 && b.updatedAt.Before(at) {
		b.updatedAt = at
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

// report applies a borrower's usage report about a grant.
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

// lend answers a token request. The lent tokens expire after lifetime.
func (b *bucket) lend(borrower fleetconfig.InstanceID, request *TokenRequest, lifetime time.Duration, now time.Time) TokenGrant {
	b.advance(now)
	reply := TokenGrant{Account: request.Account, Grant: request.Grant}
	otherBorrowers := b.recordBorrower(borrower, now)
	reply.PrefetchLimit = b.limits.Burst / uint32(prefetchDivisor*(otherBorrowers+1))
	if g := b.findGrant(borrower, request.Grant); g != nil {
		reply.Count = g.count
		reply.Lifetime = g.lifetime
		return reply
	}
	available := uint32(max(0, math.Floor(b.level+levelTolerance)))
	if len(b.grants) >= maxGrantsPerAccount {
		available = 0
	}
	reply.Count = min(request.Waiting, available)
	if spare := available - reply.Count; spare > uint32(otherBorrowers) {
		reply.Count += min(request.Prefetch, reply.PrefetchLimit, spare-uint32(otherBorrowers))
	}
	if reply.Count < request.Waiting {
		reply.RetryAfter = b.nextTokenWait(now)
	}
	if reply.Count > 0 {
		reply.Lifetime = lifetime
		b.addGrant(grant{borrower: borrower, id: request.Grant, count: reply.Count, lifetime: lifetime, expires: now.Add(lifetime)})
	}
	reply.MaxReportDelay = b.reportDelay()
	return reply
}

// reportDelay returns how long a borrower may delay the report of spent tokens. The bucket
// does not refill a spent token before the report arrives. The delay is half of the
// time for which the tokens left in the bucket, less one, last at the account's full rate,
// but at most maxReportDelay.
func (b *bucket) reportDelay() time.Duration {
	if b.limits.RatePerSecond <= 0 {
		return maxReportDelay
	}
	covered := max(b.level-1, 0) / (2 * b.limits.RatePerSecond)
	return time.Duration(min(covered, maxReportDelay.Seconds()) * float64(time.Second))
}

// levelTolerance absorbs rounding errors in sums. It is far below one token, and the level
// never becomes negative because of it.
const levelTolerance = 1e-9

func (b *bucket) addGrant(g grant) {
	b.level = max(0, b.level-float64(g.count))
	b.lent += g.count
	b.grants = append(b.grants, g)
}

// nextTokenWait returns how long it takes until the next token can be lent, if no other
// borrower takes it and none is returned.
func (b *bucket) nextTokenWait(now time.Time) time.Duration {
	missing := 1 - (b.level - math.Floor(b.level))
	if b.fillRate() <= 0 || b.limits.Burst == 0 {
		return maxWait
	}
	wait := time.Duration(min(missing/b.fillRate(), maxWait.Seconds()) * float64(time.Second))
	if b.updatedAt.After(now) && b.lent == 0 {
		wait += b.updatedAt.Sub(now) // The new owner does not lend yet.
	}
	if b.headroom() >= missing {
		return wait
	}
	// The whole burst is lent. The bucket refills a lent token from the time at which it was
	// spent, which is not before the time at which it was lent. The wait is therefore
	// shortest for the tokens of the oldest grant.
	oldest := now
	for i := range b.grants {
		if lent := b.grants[i].expires.Add(-b.grants[i].lifetime); lent.Before(oldest) {
			oldest = lent
		}
	}
	return max(wait-now.Sub(oldest), time.Millisecond)
}

// recordBorrower records that the borrower uses the account and returns how many other
// borrowers have used it recently.
func (b *bucket) recordBorrower(borrower fleetconfig.InstanceID, now time.Time) int {
	known := false
	otherBorrowers := 0
	kept := b.borrowers[:0]
	for _, recent := range b.borrowers {
		switch {
		case recent.borrower == borrower:
			recent.requestedAt = now
			known = true
		case now.Sub(recent.requestedAt) > borrowerRetention:
			continue
		default:
			otherBorrowers++
		}
		kept = append(kept, recent)
	}
	if !known && len(kept) < maxTrackedBorrowers {
		kept = append(kept, recentBorrower{borrower: borrower, requestedAt: now})
	}
	b.borrowers = kept
	return otherBorrowers
}

// idle reports whether the bucket is full and has no lent tokens, so that it can be
// dropped.
func (b *bucket) idle(now time.Time) bool {
	b.advance(now)
	return b.lent == 0 && b.headroom() <= 0
}
