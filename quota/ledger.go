package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// BucketTable is the owner's record of one shard for one tenure: a token bucket for
// each client account that was used. An account without a bucket has been filling
// from empty since the ledger began. Its size is bounded by the accounts of the
// shard; full buckets with nothing lent are dropped.
type BucketTable struct {
	filledSince time.Time
	buckets     map[fleetconfig.AccountID]*bucket
}

// NewBucketTable returns a ledger whose buckets are empty at the given time, which may
// lie ahead. Nothing that an earlier owner has lent may be left at that time.
func NewBucketTable(since time.Time) *BucketTable {
	return &BucketTable{filledSince: since, buckets: make(map[fleetconfig.AccountID]*bucket)}
}

func (l *BucketTable) bucket(account fleetconfig.AccountID, limits Limits, now time.Time) *bucket {
	b := l.buckets[account]
	if b == nil {
		b = &bucket{limits: limits, updatedAt: l.filledSince}
		l.buckets[account] = b
	}
	b.setLimits(limits, now)
	return b
}

// ChangeLimits applies new limits of an account from now on. It must be called at once
// when the configuration changes: the old limits are taken for the time before.
func (l *BucketTable) ChangeLimits(account fleetconfig.AccountID, from, to Limits, now time.Time) {
	l.bucket(account, from, now)
	l.bucket(account, to, now)
}

// Report takes what a borrower says about a grant. A grant that is not known, or
// has expired, is ignored.
func (l *BucketTable) Report(borrower fleetconfig.InstanceID, report *UsageReport, now time.Time) {
	if b := l.buckets[report.Account]; b != nil {
		b.report(borrower, report, now)
	}
}

// Lend answers an ask. until is when the owner's lease ends; no token lives
// longer.
func (l *BucketTable) Lend(borrower fleetconfig.InstanceID, ask *TokenRequest, limits Limits, until, now time.Time) TokenGrant {
	life := min(MaxTokenLifetime, until.Sub(now))
	if life < minTokenLifetime {
		return TokenGrant{Account: ask.Account, Grant: ask.Grant, RetryAfter: minTokenLifetime}
	}
	return l.bucket(ask.Account, limits, now).lend(borrower, ask, life, now)
}

// Sweep drops the buckets that need not be kept.
func (l *BucketTable) Sweep(now time.Time) {
	for account, b := range l.buckets {
		if b.idle(now) {
			delete(l.buckets, account)
		}
	}
}

// Len returns the number of buckets.
func (l *BucketTable) Len() int { return len(l.buckets) }

// Snapshot returns the state of the ledger to hand over. The caller lends nothing
// from it afterwards.
func (l *BucketTable) Snapshot(configVersion uint64, now time.Time) *Snapshot {
	snapshot := &Snapshot{ConfigVersion: configVersion, Age: now.Sub(l.filledSince)}
	for account, b := range l.buckets {
		b.advance(now)
		state := BucketState{Account: account, Level: b.level}
		for i := range b.grants {
			g := &b.grants[i]
			state.Grants = append(state.Grants, OpenGrant{
				Borrower:  g.borrower,
				Grant:     g.id,
				Count:     g.count,
				Spent:     g.spent,
				Returned:  g.returned,
				Remaining: g.expires.Sub(now),
				Lifetime:  g.lifetime,
			})
		}
		snapshot.Buckets = append(snapshot.Buckets, state)
	}
	return snapshot
}

// Restore returns the ledger of a snapshot. Limits come from the view. If the view
// is of another version than the snapshot's, the accounts that are not listed
// start empty, because their limits may have been others.
func Restore(snapshot *Snapshot, view *fleetconfig.View, now time.Time) *BucketTable {
	l := NewBucketTable(now)
	switch {
	case snapshot.Age < 0:
		l.filledSince = now.Add(addDriftMargin(-snapshot.Age))
	case view != nil && view.Version() == snapshot.ConfigVersion:
		l.filledSince = now.Add(-shard.SubtractClockDrift(snapshot.Age))
	}
	start := now
	if l.filledSince.After(now) {
		start = l.filledSince
	}
	for i := range snapshot.Buckets {
		state := &snapshot.Buckets[i]
		b := &bucket{limits: LimitsOf(view, state.Account), updatedAt: start}
		for _, open := range state.Grants {
			g := grant{
				borrower: open.Borrower,
				id:       open.Grant,
				count:    open.Count,
				spent:    open.Spent,
				returned: open.Returned,
				lifetime: open.Lifetime,
				expires:  now.Add(addDriftMargin(open.Remaining)),
			}
			b.grants = append(b.grants, g)
			b.lent += g.outstanding()
		}
		b.level = max(0, min(state.Level, b.maxLevel()))
		l.buckets[state.Account] = b
	}
	return l
}

// addDriftMargin returns how long to wait, by this clock, until d has surely passed by
// the clock of another instance.
func addDriftMargin(d time.Duration) time.Duration {
	return d + 2*(d-shard.SubtractClockDrift(d))
}
