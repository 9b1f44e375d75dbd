package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/shard"
)

// tenureLedger is the ledger of one tenure.
type tenureLedger struct {
	holder shard.Holder
	ledger *BucketTable
	// clear is when nothing is left that an earlier tenure lent out.
	clear time.Time
}

// Lender is one instance's ledgers for all shards that it owns. It is not safe for
// concurrent use.
type Lender struct {
	// SingleShard says that all accounts belong to one shard, whatever the map of the
	// configuration says.
	SingleShard bool

	view     *fleetconfig.View
	ledgers  map[shard.ID]*tenureLedger
	contacts contacts
}

// NewLender returns a Lender that owns nothing and knows no configuration.
func NewLender() *Lender {
	return &Lender{ledgers: make(map[shard.ID]*tenureLedger), contacts: newContacts()}
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
		clear(l.ledgers) // Nothing can have been lent without a configuration.
		return
	}
	if len(l.ledgers) == 0 {
		return
	}
	for i := range view.Document().Accounts {
		l.change(view.Document().Accounts[i].ID, old, now)
	}
	for i := range old.Document().Accounts {
		if id := old.Document().Accounts[i].ID; view.Account(id) == nil {
			l.change(id, old, now)
		}
	}
}

func (l *Lender) change(account fleetconfig.AccountID, old *fleetconfig.View, now time.Time) {
	from, to := LimitsOf(old, account), LimitsOf(l.view, account)
	if from == to {
		return
	}
	tenure := l.ledgers[shard.ForAccount(account, l.shards())]
	if tenure != nil {
		tenure.ledger.ChangeLimits(account, from, to, now)
	}
}

func (l *Lender) shards() int {
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
		l.tenure(lease, now)
	}
	for id := range l.ledgers {
		if _, ok := held[id]; !ok {
			delete(l.ledgers, id)
		}
	}
}

func (l *Lender) tenure(lease shard.Lease, now time.Time) *tenureLedger {
	tenure := l.ledgers[lease.Shard]
	if tenure == nil || tenure.holder != lease.Holder {
		tenure = &tenureLedger{holder: lease.Holder, ledger: l.begin(lease, now), clear: lease.PriorTenuresEnd}
		l.ledgers[lease.Shard] = tenure
	}
	return tenure
}

// begin returns the first ledger of a tenure. Without the state of the tenure
// before, it lends nothing until that tenure's tokens have run out, unless the
// preset in force lets accounts go on while they have no owner: then it lends at
// once, with half of the burst until that time.
func (l *Lender) begin(lease shard.Lease, now time.Time) *BucketTable {
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
	tenure := l.tenure(lease, now)
	ledger := tenure.ledger
	l.contacts.hear(from, now)
	if request.Idle {
		l.contacts.forget(from)
	}
	reserved := l.reserved(now)
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
		if now.Before(tenure.clear) && limits.Burst > 1 {
			// Tokens of the former tenure may still be out.
			limits.Burst /= 2
			limits.Slack = 0
		}
		if limits.Burst == 0 || shard.ForAccount(ask.Account, l.shards()) != request.Shard {
			reply.Grants = append(reply.Grants, TokenGrant{Account: ask.Account, Grant: ask.Grant, RetryAfter: maxWait})
			continue
		}
		reply.Grants = append(reply.Grants, ledger.Lend(from, ask, limits, lease.ExpiresAt, now))
	}
	return reply
}

// reserved returns the part of each rate that is kept for ingresses out of reach. They
// are told from idle ones only where all of them call one owner.
func (l *Lender) reserved(now time.Time) float64 {
	bridge := l.view.ActivePreset().QuotaGracePeriod
	if !l.SingleShard || bridge == 0 {
		return 0
	}
	return l.contacts.reserve(bridge, now)
}

// Export ends the ledger of a tenure that is handed over and returns its encoded
// snapshot, nil when there is none.
func (l *Lender) Export(id shard.ID, ended shard.Holder, now time.Time) []byte {
	tenure := l.ledgers[id]
	if tenure == nil || tenure.holder != ended || l.view == nil {
		return nil
	}
	delete(l.ledgers, id)
	state, err := codec.Marshal(tenure.ledger.Snapshot(l.view.Version(), now))
	if err != nil {
		return nil
	}
	return state
}

// Sweep drops the buckets that need not be kept. Call it every few seconds.
func (l *Lender) Sweep(now time.Time) {
	for _, tenure := range l.ledgers {
		tenure.ledger.Sweep(now)
	}
}

// Accounts returns the number of buckets.
func (l *Lender) Accounts() int {
	sum := 0
	for _, tenure := range l.ledgers {
		sum += tenure.ledger.Len()
	}
	return sum
}
