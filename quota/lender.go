package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/shard"
)

// leaseBuckets is the ledger of one tenure.
type leaseBuckets struct {
	holder  shard.Holder
	buckets *BucketTable
	// previousLentUntil is when nothing is left that an earlier tenure lent out.
	previousLentUntil time.Time
}

// Lender is one instance's ledgers for all shards that it owns. It is not safe for
// concurrent use.
type Lender struct {
	// SingleShard says that all accounts belong to one shard, whatever the map of the
	// configuration says.
	SingleShard bool

	view      *fleetconfig.View
	leases    map[shard.ID]*leaseBuckets
	ingresses ingressTracker
}

// NewLender returns a Lender that owns nothing and knows no configuration.
func NewLender() *Lender {
	return &Lender{leases: make(map[shard.ID]*leaseBuckets), ingresses: newIngressTracker()}
}

// ApplyConfig takes a newer configuration. Accounts whose limits differ change from now
// on. It must be called before anything is lent by the new configuration.
func (l *Lender) ApplyConfig(view *fleetconfig.View, now time.Time) {
	old := l.view
	if view == old {
		return
	}
	l.view = view
	if old == nil {
		clear(l.leases) // Nothing can have been lent without a configuration.
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

func (l *Lender) changeLimits(account fleetconfig.AccountID, old *fleetconfig.View, now time.Time) {
	from, to := LimitsOf(old, account), LimitsOf(l.view, account)
	if from == to {
		return
	}
	tenure := l.leases[shard.ForAccount(account, l.shardCount())]
	if tenure != nil {
		tenure.buckets.ChangeLimits(account, from, to, now)
	}
}

func (l *Lender) shardCount() int {
	if l.SingleShard {
		return 1
	}
	return len(l.view.Document().Shards.Shards)
}

// UpdateLeases tells the Lender which leases the instance holds now. The ledger of a
// lease that it does not hold any more is dropped; a new tenure gets a new one.
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

func (l *Lender) bucketsFor(lease shard.Lease, now time.Time) *leaseBuckets {
	tenure := l.leases[lease.Shard]
	if tenure == nil || tenure.holder != lease.Holder {
		tenure = &leaseBuckets{holder: lease.Holder, buckets: l.newTable(lease, now), previousLentUntil: lease.PriorTenuresEnd}
		l.leases[lease.Shard] = tenure
	}
	return tenure
}

// newTable returns the first ledger of a tenure. Without the state of the tenure
// before, it lends nothing until that tenure's tokens have run out, unless the
// preset in force lets accounts go on while they have no owner: then it lends at
// once, with half of the burst until that time.
func (l *Lender) newTable(lease shard.Lease, now time.Time) *BucketTable {
	if lease.Inherited != nil {
		snapshot := new(Snapshot)
		if err := codec.Unmarshal(lease.Inherited, snapshot); err == nil {
			return Restore(snapshot, l.view, now)
		}
	}
	bridged := l.view != nil && l.view.ActivePreset().QuotaGracePeriod > 0
	if lease.PriorTenuresEnd.After(now) && !bridged {
		return NewBucketTable(lease.PriorTenuresEnd)
	}
	return NewBucketTable(now)
}

// Borrow answers a request to the owner of a shard. The lease must be held now.
func (l *Lender) Borrow(lease shard.Lease, from fleetconfig.InstanceID, request *BorrowRequest, now time.Time) *BorrowReply {
	if l.view == nil {
		return &BorrowReply{Shard: request.Shard}
	}
	tenure := l.bucketsFor(lease, now)
	ledger := tenure.buckets
	l.ingresses.recordCall(from, now)
	if request.Idle {
		l.ingresses.remove(from)
	}
	reserved := l.reservedShare(now)
	for i := range request.Reports {
		ledger.Report(from, &request.Reports[i], now)
	}
	reply := &BorrowReply{Shard: request.Shard, IsOwner: true}
	for i := range request.TokenRequests {
		ask := &request.TokenRequests[i]
		limits := LimitsOf(l.view, ask.Account)
		if reserved > 0 {
			limits.RatePerSecond *= 1 - reserved
			limits.Slack = 0
		}
		if now.Before(tenure.previousLentUntil) && limits.Burst > 1 {
			// Tokens of the former tenure may still be out.
			limits.Burst /= 2
			limits.Slack = 0
		}
		if limits.Burst == 0 || shard.ForAccount(ask.Account, l.shardCount()) != request.Shard {
			reply.Grants = append(reply.Grants, TokenGrant{Account: ask.Account, Grant: ask.Grant, RetryAfter: maxWait})
			continue
		}
		reply.Grants = append(reply.Grants, ledger.Lend(from, ask, limits, lease.ExpiresAt, now))
	}
	return reply
}

// reservedShare returns the part of each rate that is kept for ingresses out of reach. They
// are told from idle ones only where all of them call one owner.
func (l *Lender) reservedShare(now time.Time) float64 {
	bridge := l.view.ActivePreset().QuotaGracePeriod
	if !l.SingleShard || bridge == 0 {
		return 0
	}
	return l.ingresses.reservedShare(bridge, now)
}

// Export ends the ledger of a tenure that is handed over and returns its encoded
// snapshot, nil when there is none.
func (l *Lender) Export(id shard.ID, ended shard.Holder, now time.Time) []byte {
	tenure := l.leases[id]
	if tenure == nil || tenure.holder != ended || l.view == nil {
		return nil
	}
	delete(l.leases, id)
	state, err := codec.Marshal(tenure.buckets.Snapshot(l.view.Version(), now))
	if err != nil {
		return nil
	}
	return state
}

// Sweep drops the buckets that need not be kept. Call it every few seconds.
func (l *Lender) Sweep(now time.Time) {
	for _, tenure := range l.leases {
		tenure.buckets.Sweep(now)
	}
}

// Accounts returns the number of buckets.
func (l *Lender) Accounts() int {
	sum := 0
	for _, tenure := range l.leases {
		sum += tenure.buckets.Len()
	}
	return sum
}
