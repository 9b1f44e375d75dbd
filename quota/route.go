package quota

import (
	"maps"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

const (
	// BorrowTimeout is how long an ingress looks for the owner of a shard before it
	// refuses.
	BorrowTimeout = 300 * time.Millisecond
	// AttemptTimeout is how long one instance may take to answer.
	AttemptTimeout = 120 * time.Millisecond
	// MaxAttempts is how many times an ingress asks for one message.
	MaxAttempts = 5
	// initialSuspicion is how long an instance that has not answered once is passed over.
	// One late answer is more often a busy machine or a lost packet than a lost owner,
	// and refuses every account of its shards meanwhile.
	initialSuspicion = 100 * time.Millisecond
	// maxSuspicion is how long one is passed over that goes on not answering; the time
	// doubles with each miss. It is the lease after which another instance owns its
	// shards.
	maxSuspicion = 2 * time.Second
	// suspicionReset is how long after a suspicion the next one counts as the first.
	suspicionReset = 10 * time.Second
)

// RouteResult says how to go on after an answer.
type RouteResult uint8

const (
	// RouteAnswered means that the owner has answered.
	RouteAnswered RouteResult = iota
	// RouteRetry means to send again, to the next Target.
	RouteRetry
	// RouteUnreachable means that the owner is known but has not answered lately.
	RouteUnreachable
)

// OwnerTable is where an ingress believes the owners of the shards to be. It holds
// one entry for each shard of the map and one for each instance that has not
// answered lately. It is not safe for concurrent use.
type OwnerTable struct {
	owners   map[shard.ID]fleetconfig.InstanceID
	suspects map[fleetconfig.InstanceID]suspicion
}

// suspicion is until when an instance is passed over that has not answered.
type suspicion struct {
	until time.Time
	// duration is how long it lasts this time.
	duration time.Duration
}

// NewOwnerTable returns a table that knows no owner.
func NewOwnerTable() *OwnerTable {
	return &OwnerTable{
		owners:   make(map[shard.ID]fleetconfig.InstanceID),
		suspects: make(map[fleetconfig.InstanceID]suspicion),
	}
}

func (t *OwnerTable) suspected(instance fleetconfig.InstanceID, now time.Time) bool {
	found, ok := t.suspects[instance]
	return ok && now.Before(found.until)
}

// Target returns the instance to ask for a shard: the owner if it is known and
// answers, else another replica with each attempt, which will name the owner.
// Replicas that have not answered lately come last. It is false when the map has
// no replica of the shard.
func (t *OwnerTable) Target(id shard.ID, shardMap *fleetconfig.ShardMap, attempt int, now time.Time) (fleetconfig.InstanceAddress, bool) {
	placement := shard.PlacementOf(shardMap, id)
	if len(placement.Replicas) == 0 {
		return fleetconfig.InstanceAddress{}, false
	}
	owner := t.owners[id]
	if rank := placement.Rank(owner); rank >= 0 && !t.suspected(owner, now) {
		return placement.Replicas[rank], true
	}
	var order, last []fleetconfig.InstanceAddress
	for _, replica := range placement.Replicas {
		if t.suspected(replica.ID, now) {
			last = append(last, replica)
		} else {
			order = append(order, replica)
		}
	}
	order = append(order, last...)
	return order[attempt%len(order)], true
}

// HandleReply takes the answer of an instance.
func (t *OwnerTable) HandleReply(from fleetconfig.InstanceID, reply *BorrowReply, now time.Time) RouteResult {
	delete(t.suspects, from)
	switch {
	case reply.IsOwner:
		t.owners[reply.Shard] = from
		return RouteAnswered
	case reply.Owner == "" || reply.Owner == from:
		delete(t.owners, reply.Shard)
		return RouteRetry
	case t.suspected(reply.Owner, now):
		delete(t.owners, reply.Shard)
		return RouteUnreachable
	default:
		t.owners[reply.Shard] = reply.Owner
		return RouteRetry
	}
}

// Suspect passes over an instance that has not answered. Calls that were under way
// together count as one miss.
func (t *OwnerTable) Suspect(id shard.ID, instance fleetconfig.InstanceID, now time.Time) {
	maps.DeleteFunc(t.suspects, func(_ fleetconfig.InstanceID, s suspicion) bool { return now.Sub(s.until) > suspicionReset })
	if found := t.suspects[instance]; !now.Before(found.until) {
		length := min(max(initialSuspicion, 2*found.duration), maxSuspicion)
		t.suspects[instance] = suspicion{until: now.Add(length), duration: length}
	}
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
	for _, ask := range r.TokenRequests {
		p := part(ask.Account)
		p.TokenRequests = append(p.TokenRequests, ask)
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
	for _, loan := range r.Grants {
		k := key(loan.Account)
		if parts[k] == nil {
			parts[k] = &BorrowReply{Shard: r.Shard, IsOwner: r.IsOwner}
		}
		parts[k].Grants = append(parts[k].Grants, loan)
	}
	return parts
}
