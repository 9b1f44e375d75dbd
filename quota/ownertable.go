package quota

import (
	"maps"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

const (
	// BorrowTimeout is how long an ingress tries to reach the owner of a shard before it
	// refuses the waiting requests.
	BorrowTimeout = 300 * time.Millisecond
	// AttemptTimeout is how long one instance may take to respond.
	AttemptTimeout = 120 * time.Millisecond
	// MaxAttempts is how many times an ingress sends one message.
	MaxAttempts = 5
	// initialSuspicion is how long an instance is avoided after it has failed to respond
	// once. It is short because a single late response is more often caused by a busy
	// machine or a lost packet than by a failed owner, and avoiding the owner refuses every
	// account of its shards.
	initialSuspicion = 100 * time.Millisecond
	// maxSuspicion is the longest time that an instance is avoided; the time doubles with
	// each further failure. It equals the lease duration, after which another instance owns
	// the shards.
	maxSuspicion = 2 * time.Second
	// suspicionReset is how long the duration of a suspicion is remembered after the
	// suspicion has ended. After that, the instance's next suspicion lasts for
	// initialSuspicion again.
	suspicionReset = 10 * time.Second
)

// RouteResult says how to proceed after a reply.
type RouteResult uint8

const (
	// RouteAnswered means that the owner has replied.
	RouteAnswered RouteResult = iota
	// RouteRetry means that the message is to be sent again, to the next Target.
	RouteRetry
	// RouteUnreachable means that the owner is known but has not responded recently.
	RouteUnreachable
)

// OwnerTable is an ingress's cache of the shards' owners. It holds at most one entry for
// each shard of the map and one for each instance that has not responded recently. It is
// not safe for concurrent use.
type OwnerTable struct {
	owners   map[shard.ID]knownOwner
	suspects map[fleetconfig.InstanceID]suspicion
}

// knownOwner is the owner that a reply has named.
type knownOwner struct {
	id fleetconfig.InstanceID
	// address is where the owner is according to the reply, or empty.
	address string
}

// suspicion records that an instance has not responded and is avoided.
type suspicion struct {
	until time.Time
	// duration is how long the current suspicion lasts.
	duration time.Duration
}

// NewOwnerTable returns a table without any known owners.
func NewOwnerTable() *OwnerTable {
	return &OwnerTable{
		owners:   make(map[shard.ID]knownOwner),
		suspects: make(map[fleetconfig.InstanceID]suspicion),
	}
}

func (t *OwnerTable) suspected(instance fleetconfig.InstanceID, now time.Time) bool {
	current, ok := t.suspects[instance]
	return ok && now.Before(current.until)
}

// Target returns the instance to send a shard's message to. This is the owner if it is
// known and not suspected. An owner that the map lacks is asked at the address that a
// replica has named: whoever made the map may take an instance for dead that its peers
// reach. Otherwise the target is a different replica on each attempt; a replica replies with
// the owner's name. Suspected replicas come last. Target returns false if the map has no
// replica of the shard.
func (t *OwnerTable) Target(id shard.ID, shardMap *fleetconfig.ShardMap, attempt int, now time.Time) (fleetconfig.InstanceAddress, bool) {
	placement := shard.PlacementOf(shardMap, id)
	if len(placement.Replicas) == 0 {
		return fleetconfig.InstanceAddress{}, false
	}
	owner := t.owners[id]
	if !t.suspected(owner.id, now) {
		if rank := placement.Rank(owner.id); rank >= 0 {
			return placement.Replicas[rank], true
		}
		if owner.address != "" {
			return fleetconfig.InstanceAddress{ID: owner.id, Address: owner.address}, true
		}
	}
	var candidates, suspects []fleetconfig.InstanceAddress
	for _, replica := range placement.Replicas {
		if t.suspected(replica.ID, now) {
			suspects = append(suspects, replica)
		} else {
			candidates = append(candidates, replica)
		}
	}
	candidates = append(candidates, suspects...)
	return candidates[attempt%len(candidates)], true
}

// HandleReply updates the table with the reply of an instance.
func (t *OwnerTable) HandleReply(from fleetconfig.InstanceID, reply *BorrowReply, now time.Time) RouteResult {
	delete(t.suspects, from)
	switch {
	case reply.IsOwner:
		if t.owners[reply.Shard].id != from {
			t.owners[reply.Shard] = knownOwner{id: from}
		}
		return RouteAnswered
	case reply.Owner == "" || reply.Owner == from:
		delete(t.owners, reply.Shard)
		return RouteRetry
	case t.suspected(reply.Owner, now):
		delete(t.owners, reply.Shard)
		return RouteUnreachable
	default:
		t.owners[reply.Shard] = knownOwner{id: reply.Owner, address: reply.OwnerAddress}
		return RouteRetry
	}
}

// Suspect records that an instance has not responded, so that it is avoided for a while.
// Concurrent calls that fail together count as one failure.
func (t *OwnerTable) Suspect(id shard.ID, instance fleetconfig.InstanceID, now time.Time) {
	maps.DeleteFunc(t.suspects, func(_ fleetconfig.InstanceID, s suspicion) bool { return now.Sub(s.until) > suspicionReset })
	if current := t.suspects[instance]; !now.Before(current.until) {
		duration := min(max(initialSuspicion, 2*current.duration), maxSuspicion)
		t.suspects[instance] = suspicion{until: now.Add(duration), duration: duration}
	}
	if t.owners[id].id == instance {
		delete(t.owners, id)
	}
}

// Split partitions the request by key, where each key has a Borrower of its own.
func (r *BorrowRequest) Split(key func(fleetconfig.AccountID) int) map[int]*BorrowRequest {
	parts := make(map[int]*BorrowRequest)
	part := func(account fleetconfig.AccountID) *BorrowRequest {
		k := key(account)
		if parts[k] == nil {
			parts[k] = &BorrowRequest{Shard: r.Shard}
		}
		return parts[k]
	}
	for _, tokenRequest := range r.TokenRequests {
		p := part(tokenRequest.Account)
		p.TokenRequests = append(p.TokenRequests, tokenRequest)
	}
	for _, report := range r.Reports {
		p := part(report.Account)
		p.Reports = append(p.Reports, report)
	}
	return parts
}

// Split partitions the reply by key, as BorrowRequest.Split does.
func (r *BorrowReply) Split(key func(fleetconfig.AccountID) int) map[int]*BorrowReply {
	parts := make(map[int]*BorrowReply)
	for _, grant := range r.Grants {
		k := key(grant.Account)
		if parts[k] == nil {
			parts[k] = &BorrowReply{Shard: r.Shard, IsOwner: r.IsOwner}
		}
		parts[k].Grants = append(parts[k].Grants, grant)
	}
	return parts
}
