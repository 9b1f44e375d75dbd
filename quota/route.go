package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// AskTimeout is how long an ingress looks for the owner of a shard before it
// refuses.
const AskTimeout = 300 * time.Millisecond

// OwnerTable is where an ingress believes the owners of the shards to be. It holds
// one entry for each shard of the map.
type OwnerTable struct {
	owners map[shard.ID]fleetconfig.InstanceID
}

// NewOwnerTable returns a table that knows no owner.
func NewOwnerTable() *OwnerTable {
	return &OwnerTable{owners: make(map[shard.ID]fleetconfig.InstanceID)}
}

// Target returns the instance to ask for a shard: the owner if it is known, else
// another replica with each attempt, which will name the owner. It is false when
// the map has no replica of the shard.
func (t *OwnerTable) Target(id shard.ID, shardMap *fleetconfig.ShardMap, attempt int) (fleetconfig.InstanceAddress, bool) {
	placement := shard.PlacementOf(shardMap, id)
	if len(placement.Replicas) == 0 {
		return fleetconfig.InstanceAddress{}, false
	}
	if rank := placement.Rank(t.owners[id]); rank >= 0 {
		return placement.Replicas[rank], true
	}
	return placement.Replicas[attempt%len(placement.Replicas)], true
}

// Learn takes the answer of an instance. It reports whether the request should be
// sent again, to the owner that the answer names.
func (t *OwnerTable) Learn(from fleetconfig.InstanceID, reply *BorrowReply) bool {
	switch {
	case reply.IsOwner:
		t.owners[reply.Shard] = from
		return false
	case reply.Owner != "" && reply.Owner != from:
		t.owners[reply.Shard] = reply.Owner
		return true
	default:
		delete(t.owners, reply.Shard)
		return false
	}
}

// Forget drops an owner that has not answered.
func (t *OwnerTable) Forget(id shard.ID, instance fleetconfig.InstanceID) {
	if t.owners[id] == instance {
		delete(t.owners, id)
	}
}

// Split divides a request by key, for a Borrower that is one of several, each with
// the accounts of one key.
func (r *BorrowRequest) Split(key func(fleetconfig.AccountID) int) map[int]*BorrowRequest {
	parts := make(map[int]*BorrowRequest)
	part := func(account fleetconfig.AccountID) *BorrowRequest {
		k := key(account)
		if parts[k] == nil {
			parts[k] = &BorrowRequest{Shard: r.Shard}
		}
		return parts[k]
	}
	for _, ask := range r.Asks {
		p := part(ask.Account)
		p.Asks = append(p.Asks, ask)
	}
	for _, report := range r.Reports {
		p := part(report.Account)
		p.Reports = append(p.Reports, report)
	}
	return parts
}

// Split divides a reply by key, as BorrowRequest.Split does.
func (r *BorrowReply) Split(key func(fleetconfig.AccountID) int) map[int]*BorrowReply {
	parts := make(map[int]*BorrowReply)
	for _, loan := range r.Loans {
		k := key(loan.Account)
		if parts[k] == nil {
			parts[k] = &BorrowReply{Shard: r.Shard, IsOwner: r.IsOwner}
		}
		parts[k].Loans = append(parts[k].Loans, loan)
	}
	return parts
}
