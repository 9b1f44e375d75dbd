package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/shard"
)

// leaseBuckets holds the buckets of a shard for one period of holding its lease.
type leaseBuckets struct {
	holder  shard.Holder
	buckets *BucketTable
	// previousLentUntil is when all tokens lent under earlier leases of the shard have
	// expired, except for tokens in the state that the previous owner handed over.
	previousLentUntil time.Time
}

// Lender holds the bucket tables of all shards that one instance owns. It is not safe for
// concurrent use.
type Lender struct {
	// SingleShard makes all accounts belong to one shard, regardless of the shard map in
	// the configuration.
	SingleShard bool

	view      *fleetconfig.View
	leases    map[shard.ID]*leaseBuckets
	ingresses ingressTracker
}

// NewLender returns a Lender that owns no shards and has no configuration.
func NewLender() *Lender {
	return &Lender{leases: make(map[shard.ID]*leaseBuckets), ingresses: newIngressTracker()}
}

// ApplyConfig applies a newer configuration. Limits that differ from the previous ones
// apply from now on. It must be called before anything is lent under the new configuration.
func (l *Lender) ApplyConfig(view *fleetconfig.View, now time.Time) {
	old := l.view
	if view == old {
		return
	}
	l.view = view
	if old == nil {
		clear(l.leases) // No token can have been lent without a configuration.
		return
	}
	if len(l.leases) == 0 {
		return
	}
	for i := range view.Document().Accounts {
		l.changeLimits(view.Document().Accounts[i].ID, old, now)
	}
	for i := range old.Document().Accounts {
		if id := old.Document().Accounts[i].ID; view.Account(id) == nil {
			l.changeLimits(id, old, now)
		}
	}
}

// changeLimits applies an account's current limits if they differ from those of the old view.
func (l *Lender) changeLimits(account fleetconfig.AccountID, old *fleetconfig.View, now time.Time) {
	from, to := LimitsOf(old, account), LimitsOf(l.view, account)
	if from == to {
		return
	}
	entry := l.leases[shard.ForAccount(account, l.shardCount())]
	if entry != nil {
		entry.buckets.ChangeLimits(account, from, to, now)
	}
}

func (l *Lender) shardCount() int {
	if l.SingleShard {
		return 1
	}
	return len(l.view.Document().Shards.Shards)
}

// UpdateLeases sets the leases that the instance holds now. Buckets of leases that it no
// longer holds are dropped; a lease that it has newly acquired starts with new buckets.
func (l *Lender) UpdateLeases(leases []shard.Lease, now time.Time) {
	held := make(map[shard.ID]struct{}, len(leases))
	for _, lease := range leases {
		held[lease.Shard] = struct{}{}
		l.bucketsFor(lease, now)
	}
	for id := range l.leases {
		if _, ok := held[id]; !ok {
			delete(l.leases, id)
		}
	}
}

// bucketsFor returns the buckets of a lease, creating them if the lease is newly acquired.
func (l *Lender) bucketsFor(lease shard.Lease, now time.Time) *leaseBuckets {
	entry := l.leases[lease.Shard]
	if entry == nil || entry.holder != lease.Holder {
		entry = &leaseBuckets{holder: lease.Holder, buckets: l.newTable(lease, now), previousLentUntil: lease.PriorTenuresEnd}
		l.leases[lease.Shard] = entry
	}
	return entry
}

// newTable returns the initial buckets for a newly acquired lease. Without the state of the
// previous owner, nothing is lent from them until that owner's tokens have expired. If the
// active preset enables FallbackLimiter (Preset.QuotaGracePeriod), tokens are lent at once
// instead, and Borrow halves each burst above 1 until that time.
func (l *Lender) newTable(lease shard.Lease, now time.Time) *BucketTable {
	if lease.Inherited != nil {
		snapshot := new(Snapshot)
		if err := codec.Unmarshal(lease.Inherited, snapshot); err == nil {
			return Restore(snapshot, l.view, now)
		}
	}
	fallback := l.view != nil && l.view.ActivePreset().QuotaGracePeriod > 0
	if lease.PriorTenuresEnd.After(now) && !fallback {
		return NewBucketTable(lease.PriorTenuresEnd)
	}
	return NewBucketTable(now)
}

// Borrow answers a request to the owner of a shard. The caller must hold the lease now.
func (l *Lender) Borrow(lease shard.Lease, from fleetconfig.InstanceID, request *BorrowRequest, now time.Time) *BorrowReply {
	if l.view == nil {
		return &BorrowReply{Shard: request.Shard}
	}
	entry := l.bucketsFor(lease, now)
	table := entry.buckets
	l.ingresses.recordCall(from, now)
	if request.Idle {
		l.ingresses.remove(from)
	}
	share := l.reservedShare(now)
	for i := range request.Reports {
		table.Report(from, &request.Reports[i], now)
	}
	reply := &BorrowReply{Shard: request.Shard, IsOwner: true}
	for i := range request.TokenRequests {
		tokenRequest := &request.TokenRequests[i]
		limits := LimitsOf(l.view, tokenRequest.Account)
		if share > 0 {
			limits.RatePerSecond *= 1 - share
			limits.Slack = 0
		}
		if now.Before(entry.previousLentUntil) && limits.Burst > 1 {
			// Tokens lent by the previous owner may still be spent.
			limits.Burst /= 2
			limits.Slack = 0
		}
		if limits.Burst == 0 || shard.ForAccount(tokenRequest.Account, l.shardCount()) != request.Shard {
			reply.Grants = append(reply.Grants, TokenGrant{Account: tokenRequest.Account, Grant: tokenRequest.Grant, RetryAfter: maxWait})
			continue
		}
		reply.Grants = append(reply.Grants, table.Lend(from, tokenRequest, limits, lease.ExpiresAt, now))
	}
	return reply
}

// reservedShare returns the share of each rate that is reserved for unreachable ingresses.
// Unreachable ingresses can be distinguished from idle ones only where every ingress calls the same
// owner, so nothing is reserved with several shards.
func (l *Lender) reservedShare(now time.Time) float64 {
	maxFallback := l.view.ActivePreset().QuotaGracePeriod
	if !l.SingleShard || maxFallback == 0 {
		return 0
	}
	return l.ingresses.reservedShare(maxFallback, now)
}

// Export removes the buckets of a lease that is handed over and returns their encoded
// snapshot, or nil if there are none. ended is the holder of that lease.
func (l *Lender) Export(id shard.ID, ended shard.Holder, now time.Time) []byte {
	entry := l.leases[id]
	if entry == nil || entry.holder != ended || l.view == nil {
		return nil
	}
	delete(l.leases, id)
	state, err := codec.Marshal(entry.buckets.Snapshot(l.view.Version(), now))
	if err != nil {
		return nil
	}
	return state
}

// Sweep drops full buckets with no lent tokens. It must be called every few seconds.
func (l *Lender) Sweep(now time.Time) {
	for _, entry := range l.leases {
		entry.buckets.Sweep(now)
	}
}

// Accounts returns the number of buckets.
func (l *Lender) Accounts() int {
	sum := 0
	for _, entry := range l.leases {
		sum += entry.buckets.Len()
	}
	return sum
}
