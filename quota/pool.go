package quota

import (
	"math"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// Durations of a borrower's policy.
const (
	// prefetchHorizon is how much future use an ingress borrows for.
	prefetchHorizon = 500 * time.Millisecond
	// useTimeConstant is the time constant of the measured use.
	useTimeConstant = time.Second
	// idleReturnDelay is how long an unused token of an account without borrowing ahead
	// is kept.
	idleReturnDelay = 50 * time.Millisecond
	// promptReportDelay is the shortest wait for which a report is put off.
	promptReportDelay = 50 * time.Millisecond
	// reportResendDelay is how long a lost report waits until it is sent again.
	reportResendDelay = 250 * time.Millisecond
	// poolRetention is how long an account without tokens is remembered.
	poolRetention = 10 * time.Second
	// maxRefusalReuse is how long a refusal is repeated without asking again.
	maxRefusalReuse = 200 * time.Millisecond
	// minUsableLifetime is the shortest life of a token that is given to a request.
	minUsableLifetime = 50 * time.Millisecond
	// prefetchPause is how long nothing is borrowed ahead after the owner had nothing.
	prefetchPause = 100 * time.Millisecond
)

// Bounds on a pool.
const (
	// maxBatches is how many grants of an account an ingress keeps open.
	maxBatches = 64
	// maxWaiters is how many requests of an account may wait for an answer.
	maxWaiters = 1024
	// maxCanceled is how many unanswered asks are remembered until given up.
	maxCanceled = 4
)

// batch is a grant at the borrower.
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

// inUse returns how many tokens are out with requests.
func (b *batch) inUse() uint32 { return b.total - b.free - b.spent - b.returned }

// pendingRequest is an ask without an answer.
type pendingRequest struct {
	grant       GrantID
	requestedAt time.Time
	count       uint32
	open        bool
}

// pool is what an ingress knows of one account.
type pool struct {
	account fleetconfig.AccountID
	shard   shard.ID
	batches []batch
	pending pendingRequest
	waiters []uint64

	prefetchLimit uint32
	// reportDelay is how soon the owner wants to hear of spent tokens.
	reportDelay time.Duration

	usePerSecond  float64 // requests a second
	useMeasuredAt time.Time
	taken         uint32 // since useAt
	lastUse       time.Time

	prefetchAfter time.Time
	refusedAt     time.Time
	refusedUntil  time.Time
	refusal       Refusal
	canceled      []GrantID
	canceledAt    time.Time

	// probe asks for a token that no request waits for, to find the owner again.
	probe    bool
	queued   bool // in the borrower's list of accounts to send for
	reportAt time.Time
}

// take returns a token from the batch that expires first, of those that live long
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

// free returns how many tokens could be taken now.
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

// recordUse updates the measured use, at most ten times a useMemory.
func (p *pool) recordUse(now time.Time) {
	p.taken++
	p.lastUse = now
	elapsed := now.Sub(p.useMeasuredAt)
	if elapsed < useTimeConstant/10 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(useTimeConstant))
	p.usePerSecond += weight * (float64(p.taken)/elapsed.Seconds() - p.usePerSecond)
	p.taken = 0
	p.useMeasuredAt = now
}

// prefetchTarget is how many unused tokens the ingress wants to hold.
func (p *pool) prefetchTarget(now time.Time) uint32 {
	if p.prefetchLimit == 0 || now.Sub(p.lastUse) > useTimeConstant {
		return 0
	}
	return min(p.prefetchLimit, uint32(math.Ceil(p.usePerSecond*prefetchHorizon.Seconds())))
}

// shouldPrefetch reports whether the unused tokens have run low.
func (p *pool) shouldPrefetch(now time.Time) bool {
	target := p.prefetchTarget(now)
	return target > 0 && p.free(now) <= target/2 && !now.Before(p.refusedUntil) && !now.Before(p.prefetchAfter)
}

// tick gives unused tokens back and forgets expired batches. It reports whether
// the owner must be told something now.
func (p *pool) tick(now time.Time) bool {
	if now.Sub(p.canceledAt) > MaxTokenLifetime {
		p.canceled = nil // Whatever was lent for them has expired.
	}
	target := p.prefetchTarget(now)
	kept := p.batches[:0]
	for i := range p.batches {
		b := p.batches[i]
		if !now.Before(b.expires) {
			continue
		}
		left := b.expires.Sub(now)
		stale := target == 0 && now.Sub(b.lastUse) >= idleReturnDelay
		if b.free > 0 && (stale || left < MaxTokenLifetime/4) {
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

// scheduleReport schedules the news of spent tokens. Those that may wait longest go
// together, once a maxReportDelay, so that one message carries them.
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

// appendReports appends what the owner has not been told.
func (p *pool) appendReports(to []UsageReport, now time.Time) []UsageReport {
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
		to = append(to, report)
	}
	for _, grant := range p.canceled {
		to = append(to, UsageReport{Account: p.account, Grant: grant, Returned: ReturnedAll})
	}
	p.canceled = p.canceled[:0]
	return to
}

// idle reports whether the pool need not be kept.
func (p *pool) idle(now time.Time) bool {
	return len(p.batches) == 0 && len(p.waiters) == 0 && !p.pending.open && len(p.canceled) == 0 &&
		now.Sub(p.lastUse) > poolRetention
}
