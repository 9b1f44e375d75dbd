package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// BucketTable holds the token buckets of one shard, one for each client account that was
// used. The owner keeps the table while it holds the shard's lease. An account without a
// bucket is treated as if its bucket had been filling since emptyAt, the time at which all
// buckets of the table were empty (see NewBucketTable). The size is bounded by the
// number of accounts of the shard; full buckets with no lent tokens are dropped.
type BucketTable struct {
	emptyAt time.Time
	buckets map[fleetconfig.AccountID]*bucket
}

// NewBucketTable returns a table whose buckets are empty at emptyAt, which may be in
// the future. All tokens that an earlier owner lent must have expired by that time.
func NewBucketTable(emptyAt time.Time) *BucketTable {
	return &BucketTable{emptyAt: emptyAt, buckets: make(map[fleetconfig.AccountID]*bucket)}
}

// bucket returns the account's bucket with the given limits, creating it if needed.
func (t *BucketTable) bucket(account fleetconfig.AccountID, limits Limits, now time.Time) *bucket {
	b := t.buckets[account]
	if b == nil {
		b = &bucket{limits: limits, updatedAt: t.emptyAt}
		t.buckets[account] = b
	}
	b.setLimits(limits, now)
	return b
}

// ChangeLimits applies new limits to an account from now on. It must be called as soon as
// the configuration changes, because the old limits are applied to the time before the
// call.
func (t *BucketTable) ChangeLimits(account fleetconfig.AccountID, from, to Limits, now time.Time) {
	t.bucket(account, from, now)
	t.bucket(account, to, now)
}

// Report applies a borrower's usage report. A grant that is unknown or has expired is
// ignored.
func (t *BucketTable) Report(borrower fleetconfig.InstanceID, report *UsageReport, now time.Time) {
	if b := t.buckets[report.Account]; b != nil {
		b.report(borrower, report, now)
	}
}

// Lend answers a token request. No token outlives leaseUntil, when the owner's lease ends.
func (t *BucketTable) Lend(borrower fleetconfig.InstanceID, request *TokenRequest, limits Limits, leaseUntil, now time.Time) TokenGrant {
	lifetime := min(MaxTokenLifetime, leaseUntil.Sub(now))
	if lifetime < minTokenLifetime {
		return TokenGrant{Account: request.Account, Grant: request.Grant, RetryAfter: minTokenLifetime}
	}
	return t.bucket(request.Account, limits, now).lend(borrower, request, lifetime, now)
}

// Sweep drops full buckets with no lent tokens.
func (t *BucketTable) Sweep(now time.Time) {
	for account, b := range t.buckets {
		if b.idle(now) {
			delete(t.buckets, account)
		}
	}
}

// Len returns the number of buckets.
func (t *BucketTable) Len() int { return len(t.buckets) }

// Snapshot returns the state to hand over to the next owner. The caller must not lend from
// the table afterwards.
func (t *BucketTable) Snapshot(configVersion uint64, now time.Time) *Snapshot {
	snapshot := &Snapshot{ConfigVersion: configVersion, Age: now.Sub(t.emptyAt)}
	for account, b := range t.buckets {
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

// Restore returns the table of a snapshot, with the limits of the view. If the view's
// version differs from the snapshot's, accounts without a bucket in the snapshot start
// empty, because their limits may have been different.
func Restore(snapshot *Snapshot, view *fleetconfig.View, now time.Time) *BucketTable {
	t := NewBucketTable(now)
	switch {
	case snapshot.Age < 0:
		t.emptyAt = now.Add(addDriftMargin(-snapshot.Age))
	case view != nil && view.Version() == snapshot.ConfigVersion:
		t.emptyAt = now.Add(-shard.SubtractClockDrift(snapshot.Age))
	}
	start := now
	if t.emptyAt.After(now) {
		start = t.emptyAt
	}
	for i := range snapshot.Buckets {
		state := &snapshot.Buckets[i]
		b := &bucket{limits: LimitsOf(view, state.Account), updatedAt: start}
		for _, openGrant := range state.Grants {
			g := grant{
				borrower: openGrant.Borrower,
				id:       openGrant.Grant,
				count:    openGrant.Count,
				spent:    openGrant.Spent,
				returned: openGrant.Returned,
				lifetime: openGrant.Lifetime,
				expires:  now.Add(addDriftMargin(openGrant.Remaining)),
			}
			b.grants = append(b.grants, g)
			b.lent += g.outstanding()
		}
		b.level = max(0, min(state.Level, b.maxLevel()))
		t.buckets[state.Account] = b
	}
	return t
}

// addDriftMargin returns how long to wait by this clock until d has certainly passed by the
// clock of another instance.
func addDriftMargin(d time.Duration) time.Duration {
	return d + 2*(d-shard.SubtractClockDrift(d))
}
