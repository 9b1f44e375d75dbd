package quota

import (
	"math"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// Timing of a borrower.
const (
	// prefetchHorizon is how far ahead an ingress borrows tokens for its expected use.
	prefetchHorizon = 500 * time.Millisecond
	// useTimeConstant is the time constant of the smoothed request rate.
	useTimeConstant = time.Second
	// idleReturnDelay is how long an unused token is kept for an account that does not
	// prefetch.
	idleReturnDelay = 50 * time.Millisecond
	// promptReportDelay is the shortest report delay that is used; reports due sooner are
	// sent at once.
	promptReportDelay = 50 * time.Millisecond
	// reportResendDelay is how long after a lost report it is sent again.
	reportResendDelay = 250 * time.Millisecond
	// poolRetention is how long an account without tokens is remembered after its last use.
	poolRetention = 10 * time.Second
	// maxRefusalReuse is how long the owner's refusal is repeated without another token
	// request.
	maxRefusalReuse = 200 * time.Millisecond
	// minUsableLifetime is the shortest remaining lifetime of a token that is given to a
	// request.
	minUsableLifetime = 50 * time.Millisecond
	// prefetchPause is how long prefetching stops after the owner had no tokens.
	prefetchPause = 100 * time.Millisecond
)

// Bounds on a pool's state.
const (
	// maxBatches is how many grants of an account an ingress keeps open.
	maxBatches = 64
	// maxWaiters is how many requests of an account may wait for a token.
	maxWaiters = 1024
	// maxCanceled is how many unanswered token requests are remembered until the owner was
	// told that they are given up.
	maxCanceled = 4
)

// batch is a grant as the borrower tracks it.
type batch struct {
	grant     GrantID
	expires   time.Time
	total     uint32
	free      uint32
	spent     uint32
	returned  uint32
	lastSpent time.Time
	lastUse   time.Time
	// dirty is set while the owner has not been told the newest counts.
	dirty bool
}

// inUse returns how many tokens are held by requests.
func (b *batch) inUse() uint32 { return b.total - b.free - b.spent - b.returned }

// pendingRequest is a token request that may still be answered.
type pendingRequest struct {
	grant       GrantID
	requestedAt time.Time
	waiting     uint32 // TokenRequest.Waiting, which excludes prefetched tokens
	open        bool
}

// pool is the state of one account at an ingress.
type pool struct {
	account fleetconfig.AccountID
	shard   shard.ID
	batches []batch
	pending pendingRequest
	waiters []uint64

	prefetchLimit uint32
	// reportDelay is how soon the owner wants to learn of spent tokens.
	reportDelay time.Duration

	usePerSecond  float64 // smoothed request rate
	useMeasuredAt time.Time
	requestCount  uint32 // requests since useMeasuredAt
	lastUse       time.Time

	prefetchAfter time.Time // prefetching is paused until then
	refusedAt     time.Time
	refusedUntil  time.Time
	refusal       Refusal
	canceled      []GrantID
	canceledAt    time.Time

	// probe makes Flush request a token although no request waits for one, in order to
	// find the owner again.
	probe    bool
	queued   bool // whether the pool is in Borrower.sendQueue
	reportAt time.Time
}

// take returns a token from the batch that expires first, among those that are valid long
// enough for the request to reach its backend server.
func (p *pool) take(now time.Time) (Token, bool) {
	best := -1
	for i := range p.batches {
		b := &p.batches[i]
		if b.free == 0 || b.expires.Sub(now) < minUsableLifetime {
			continue
		}
		if best < 0 || b.expires.Before(p.batches[best].expires) {
			best = i
		}
	}
	if best < 0 {
		return Token{}, false
	}
	b := &p.batches[best]
	b.free--
	b.lastUse = now
	return Token{Account: p.account, Grant: b.grant, Expires: b.expires}, true
}

// free returns how many tokens can be taken now.
func (p *pool) free(now time.Time) uint32 {
	sum := uint32(0)
	for i := range p.batches {
		if p.batches[i].expires.Sub(now) >= minUsableLifetime {
			sum += p.batches[i].free
		}
	}
	return sum
}

func (p *pool) batch(grant GrantID) *batch {
	for i := range p.batches {
		if p.batches[i].grant == grant {
			return &p.batches[i]
		}
	}
	return nil
}

// recordUse counts a request. It updates the smoothed request rate at most ten times per
// useTimeConstant.
func (p *pool) recordUse(now time.Time) {
	p.requestCount++
	p.lastUse = now
	elapsed := now.Sub(p.useMeasuredAt)
	if elapsed < useTimeConstant/10 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(useTimeConstant))
	p.usePerSecond += weight * (float64(p.requestCount)/elapsed.Seconds() - p.usePerSecond)
	p.requestCount = 0
	p.useMeasuredAt = now
}

// prefetchTarget returns how many unused tokens the ingress wants to hold.
func (p *pool) prefetchTarget(now time.Time) uint32 {
	if p.prefetchLimit == 0 || now.Sub(p.lastUse) > useTimeConstant {
		return 0
	}
	return min(p.prefetchLimit, uint32(math.Ceil(p.usePerSecond*prefetchHorizon.Seconds())))
}

// shouldPrefetch reports whether at most half of prefetchTarget is left and prefetching is
// not paused.
func (p *pool) shouldPrefetch(now time.Time) bool {
	target := p.prefetchTarget(now)
	return target > 0 && p.free(now) <= target/2 && !now.Before(p.refusedUntil) && !now.Before(p.prefetchAfter)
}

// tick returns unused tokens and drops expired batches. It reports whether a report to the
// owner is due.
func (p *pool) tick(now time.Time) bool {
	if now.Sub(p.canceledAt) > MaxTokenLifetime {
		p.canceled = nil // Any tokens lent for them have expired.
	}
	target := p.prefetchTarget(now)
	kept := p.batches[:0]
	for i := range p.batches {
		b := p.batches[i]
		if !now.Before(b.expires) {
			continue
		}
		remaining := b.expires.Sub(now)
		stale := target == 0 && now.Sub(b.lastUse) >= idleReturnDelay
		if b.free > 0 && (stale || remaining < MaxTokenLifetime/4) {
			b.returned += b.free
			b.free = 0
			b.dirty = true
			p.reportAt = now
		}
		if b.dirty || b.free > 0 || b.inUse() > 0 {
			kept = append(kept, b)
		}
	}
	p.batches = kept
	return p.hasReports() && !now.Before(p.reportAt)
}

// scheduleReport schedules the report of spent tokens. Reports with the longest delay are
// aligned to multiples of maxReportDelay, so that one message carries those of many
// accounts.
func (p *pool) scheduleReport(now time.Time) {
	at := now.Add(p.reportDelay)
	if p.reportDelay >= maxReportDelay {
		at = now.Truncate(maxReportDelay).Add(maxReportDelay)
	}
	if !p.hasReports() || at.Before(p.reportAt) {
		p.reportAt = at
	}
}

func (p *pool) hasReports() bool {
	for i := range p.batches {
		if p.batches[i].dirty {
			return true
		}
	}
	return len(p.canceled) > 0
}

// appendReports appends reports of everything that the owner has not been told.
func (p *pool) appendReports(reports []UsageReport, now time.Time) []UsageReport {
	for i := range p.batches {
		b := &p.batches[i]
		if !b.dirty {
			continue
		}
		report := UsageReport{Account: p.account, Grant: b.grant, Spent: b.spent, Returned: b.returned}
		if b.spent > 0 {
			report.SinceLastSpent = now.Sub(b.lastSpent)
		}
		b.dirty = false
		reports = append(reports, report)
	}
	for _, grant := range p.canceled {
		reports = append(reports, UsageReport{Account: p.account, Grant: grant, Returned: ReturnedAll})
	}
	p.canceled = p.canceled[:0]
	return reports
}

// idle reports whether the pool can be dropped.
func (p *pool) idle(now time.Time) bool {
	return len(p.batches) == 0 && len(p.waiters) == 0 && !p.pending.open && len(p.canceled) == 0 &&
		now.Sub(p.lastUse) > poolRetention
}
