package shard

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// member is one instance's part in one shard.
type member struct {
	placement Placement
	replica   *Replica
	owner     *Owner
	nextRead  time.Time
	// offers counts the offers of the lease, each to another replica.
	offers int
	// hadReplica says that this process has had the replica.
	hadReplica bool
}

// Lease is a lease that this instance holds.
type Lease struct {
	// Shard is the shard.
	Shard ID
	// Holder identifies the tenure.
	Holder Holder
	// ExpiresAt is when the lease ends, by this instance's clock.
	ExpiresAt time.Time
	// PriorTenuresEnd is when nothing is left that an earlier tenure lent out and that
	// Inherited does not list. The zero time means that nothing is left.
	PriorTenuresEnd time.Time
	// Inherited is the state of the owner that handed the lease over, nil when
	// there is none.
	Inherited []byte
}

// Confirmation tells the Planner which epoch a replica has confirmed for a shard.
type Confirmation struct {
	// Shard is the shard.
	Shard ID `cbor:"1,keyasint"`
	// Epoch is the newest confirmed epoch.
	Epoch uint64 `cbor:"2,keyasint"`
}

// Manager is one instance's part in all shards that the map places on it: a
// Replica and an Owner for each. It is not safe for concurrent use. Its size
// grows only with the number of shards placed on the instance.
type Manager struct {
	self        fleetconfig.InstanceID
	incarnation uint64
	timing      Timing
	random      *rand.Rand
	epoch       uint64
	members     map[ID]*member
	stopped     bool
	// startedAt is the first time that the group was told.
	startedAt time.Time

	// ExportState returns the state to hand over for a tenure that has just ended. It
	// may be nil.
	ExportState func(shard ID, ended Holder, now time.Time) []byte
}

// NewManager returns a Group without shards. The incarnation is a random number
// that no other process of the instance has used.
func NewManager(self fleetconfig.InstanceID, incarnation uint64, timing Timing) *Manager {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], incarnation)
	return &Manager{
		self:        self,
		incarnation: incarnation,
		timing:      timing,
		random:      rand.New(rand.NewChaCha8(seed)),
		members:     make(map[ID]*member),
	}
}

// Adopt takes a newer shard map. With mapRead the caller states that the map was
// read from a majority of the configuration holders since the process started.
// It returns the offers for shards that are no longer placed here.
func (g *Manager) Adopt(shardMap *fleetconfig.ShardMap, mapRead bool, now time.Time) []Envelope {
	g.noteStart(now)
	if shardMap.Epoch < g.epoch {
		return nil
	}
	var out []Envelope
	if shardMap.Epoch > g.epoch {
		g.epoch = shardMap.Epoch
		for i := range shardMap.Shards {
			out = append(out, g.place(PlacementOf(shardMap, ID(i)), ID(i), now)...)
		}
	}
	if mapRead {
		for _, m := range g.members {
			if m.replica != nil {
				m.replica.MarkMapRead()
			}
		}
	}
	return out
}

// place adopts the placement of one shard. A replica that the map removes loses
// its memory; should the map add it again, it starts as a new one.
func (g *Manager) place(placement Placement, shard ID, now time.Time) []Envelope {
	m := g.members[shard]
	placed := placement.Rank(g.self) >= 0
	switch {
	case m == nil && !placed:
		return nil
	case m == nil:
		m = &member{owner: NewOwner(shard, g.self, g.incarnation, g.timing, g.random)}
		if g.stopped {
			m.owner.Stop()
		}
		g.members[shard] = m
	}
	m.placement = placement
	m.owner.SetPlacement(placement, now)
	switch {
	case !placed:
		m.replica = nil
		return g.offer(m, now)
	case m.replica == nil:
		m.replica = NewReplica(shard, placement, g.timing, g.memoryLost(m, now), now)
	default:
		m.replica.SetPlacement(placement, now)
	}
	return nil
}

// noteStart keeps the first time that the group is told.
func (g *Manager) noteStart(now time.Time) {
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
}

// memoryLost returns since when a new replica has no memory: since the process
// started, or since now when this same process has had the replica before.
func (g *Manager) memoryLost(m *member, now time.Time) time.Time {
	if m.hadReplica {
		return now
	}
	m.hadReplica = true
	return g.startedAt
}

// offer offers a held lease to the next other replica in rendezvous order.
func (g *Manager) offer(m *member, now time.Time) []Envelope {
	offer, held := m.owner.OfferLease(now)
	if !held {
		return nil
	}
	var others []fleetconfig.InstanceAddress
	for _, replica := range m.placement.Replicas {
		if replica.ID != g.self {
			others = append(others, replica)
		}
	}
	if len(others) == 0 {
		return nil
	}
	successor := others[m.offers%len(others)]
	m.offers++
	return []Envelope{{To: successor, Message: Message{HandoverOffer: offer}}}
}

// Stop starts a planned stop: held leases are offered to their successors, and no
// new one is asked for. Replicas go on voting. Each further call offers what is
// still held to the next replica.
func (g *Manager) Stop(now time.Time) []Envelope {
	g.stopped = true
	var out []Envelope
	for _, shard := range g.shards() {
		m := g.members[shard]
		m.owner.Stop()
		out = append(out, g.offer(m, now)...)
	}
	return out
}

// shards returns the shards of the group in order.
func (g *Manager) shards() []ID {
	ids := make([]ID, 0, len(g.members))
	for shard := range g.members {
		ids = append(ids, shard)
	}
	slices.Sort(ids)
	return ids
}

// Tick lets time pass. Call it several times per Timing.Stagger.
func (g *Manager) Tick(now time.Time) []Envelope {
	g.noteStart(now)
	var out []Envelope
	for _, shard := range g.shards() {
		m := g.members[shard]
		if m.replica != nil {
			holder, remaining := m.replica.Holder(now)
			if holder.Instance != g.self || holder.Incarnation != g.incarnation {
				m.owner.Defer(remaining, now)
			}
			out = append(out, g.read(shard, m, now)...)
		}
		out = append(out, g.broadcast(m, m.owner.Tick(now), now)...)
	}
	return out
}

// read asks the other replicas for the newest epoch while this one lacks memory.
func (g *Manager) read(shard ID, m *member, now time.Time) []Envelope {
	if !m.replica.needsRead() || now.Before(m.nextRead) {
		return nil
	}
	m.nextRead = now.Add(g.timing.RoundTimeout)
	var out []Envelope
	for _, replica := range m.placement.Replicas {
		if replica.ID != g.self {
			request := &ReadRequest{Shard: shard, Nonce: g.incarnation}
			out = append(out, Envelope{To: replica, Message: Message{ReadRequest: request}})
		}
	}
	return out
}

// broadcast sends messages to every replica; those to this instance's own one
// are handled at once.
func (g *Manager) broadcast(m *member, messages []Message, now time.Time) []Envelope {
	var out []Envelope
	for _, message := range messages {
		for _, replica := range m.placement.Replicas {
			if replica.ID != g.self {
				out = append(out, Envelope{To: replica, Message: message})
				continue
			}
			reply := g.Handle(g.self, &message, now)
			if reply != nil {
				out = append(out, g.HandleReply(g.self, reply, now)...)
			}
		}
	}
	return out
}

// Handle takes a message that another instance started and returns the reply to
// it, nil when there is none.
func (g *Manager) Handle(from fleetconfig.InstanceID, message *Message, now time.Time) *Message {
	switch {
	case message.VoteRequest != nil:
		reply := g.vote(message.VoteRequest, now)
		return &Message{VoteReply: &reply}
	case message.Release != nil:
		if m := g.members[message.Release.Shard]; m != nil && m.replica != nil {
			m.replica.HandleRelease(message.Release)
		}
	case message.ReadRequest != nil:
		return g.answerRead(message.ReadRequest)
	case message.HandoverOffer != nil:
		return g.answerOffer(message.HandoverOffer, now)
	case message.HandoverRequest != nil:
		return g.answerTakeOver(message.HandoverRequest, now)
	case message.VoteReply != nil, message.ReadReply != nil, message.HandoverReply != nil:
		g.HandleReply(from, message, now)
	}
	return nil
}

func (g *Manager) vote(request *VoteRequest, now time.Time) VoteReply {
	m := g.members[request.Shard]
	if m == nil || m.replica == nil {
		return VoteReply{Shard: request.Shard, Round: request.Round, Remaining: g.timing.Lease}
	}
	return m.replica.HandleVoteRequest(request, now)
}

func (g *Manager) answerRead(request *ReadRequest) *Message {
	m := g.members[request.Shard]
	if m == nil || m.replica == nil {
		return nil
	}
	reply := m.replica.HandleReadRequest(request)
	return &Message{ReadReply: &reply}
}

func (g *Manager) answerOffer(offer *HandoverOffer, now time.Time) *Message {
	m := g.members[offer.Shard]
	if m == nil {
		return nil
	}
	takeOver := m.owner.HandleHandoverOffer(offer, now)
	if takeOver == nil {
		return nil
	}
	return &Message{HandoverRequest: takeOver}
}

func (g *Manager) answerTakeOver(request *HandoverRequest, now time.Time) *Message {
	m := g.members[request.Shard]
	if m == nil {
		return nil
	}
	transfer := m.owner.HandleHandoverRequest(request, now)
	if transfer == nil {
		return nil
	}
	if g.ExportState != nil {
		transfer.State = g.ExportState(request.Shard, transfer.From, now)
	}
	return &Message{HandoverReply: transfer}
}

// HandleReply takes the reply to a message that this instance started. It returns
// the messages that follow from it.
func (g *Manager) HandleReply(from fleetconfig.InstanceID, reply *Message, now time.Time) []Envelope {
	switch {
	case reply.VoteReply != nil:
		if m := g.members[reply.VoteReply.Shard]; m != nil {
			return g.broadcast(m, m.owner.HandleVoteReply(from, reply.VoteReply, now), now)
		}
	case reply.ReadReply != nil:
		m := g.members[reply.ReadReply.Shard]
		if m != nil && m.replica != nil && reply.ReadReply.Nonce == g.incarnation {
			m.replica.HandleReadReply(from, reply.ReadReply)
		}
	case reply.HandoverRequest != nil:
		return g.passOn(from, reply, now)
	case reply.HandoverReply != nil:
		if m := g.members[reply.HandoverReply.Shard]; m != nil {
			m.owner.HandleHandoverReply(reply.HandoverReply, now)
		}
	}
	return nil
}

// passOn answers a TakeOver that came as the reply to an Offer.
func (g *Manager) passOn(to fleetconfig.InstanceID, takeOver *Message, now time.Time) []Envelope {
	transfer := g.answerTakeOver(takeOver.HandoverRequest, now)
	if transfer == nil {
		return nil
	}
	m := g.members[takeOver.HandoverRequest.Shard]
	rank := m.placement.Rank(to)
	if rank < 0 {
		return nil
	}
	return []Envelope{{To: m.placement.Replicas[rank], Message: *transfer}}
}

// Held returns the lease of a shard if this instance holds it now.
func (g *Manager) Held(shard ID, now time.Time) (Lease, bool) {
	m := g.members[shard]
	if m == nil || !m.owner.Holds(now) {
		return Lease{}, false
	}
	return Lease{
		Shard:           shard,
		Holder:          m.owner.holder,
		ExpiresAt:       m.owner.until,
		PriorTenuresEnd: m.owner.clear,
		Inherited:       m.owner.inherited,
	}, true
}

// Leases returns every lease that this instance holds now, in order of shards.
func (g *Manager) Leases(now time.Time) []Lease {
	var leases []Lease
	for _, shard := range g.shards() {
		if lease, held := g.Held(shard, now); held {
			leases = append(leases, lease)
		}
	}
	return leases
}

// KnownHolder returns the instance that this instance's replica votes for and how
// long that vote counts. The instance is empty when there is none.
func (g *Manager) KnownHolder(shard ID, now time.Time) (fleetconfig.InstanceID, time.Duration) {
	m := g.members[shard]
	if m == nil || m.replica == nil {
		return "", 0
	}
	holder, remaining := m.replica.Holder(now)
	return holder.Instance, remaining
}

// Confirmations returns what the replicas of this instance have confirmed.
func (g *Manager) Confirmations(now time.Time) []Confirmation {
	var confirmations []Confirmation
	for _, shard := range g.shards() {
		m := g.members[shard]
		if m.replica == nil {
			continue
		}
		if epoch := m.replica.ConfirmedEpoch(now); epoch > 0 {
			confirmations = append(confirmations, Confirmation{Shard: shard, Epoch: epoch})
		}
	}
	return confirmations
}
