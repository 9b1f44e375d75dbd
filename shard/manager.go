package shard

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// shardState is the state of one shard on one instance.
type shardState struct {
	placement Placement
	replica   *Replica
	owner     *Owner
	// nextReadAt is the earliest time of the next ReadRequest.
	nextReadAt time.Time
	// offerCount is the number of offers of the lease so far. Each offer goes to
	// another replica; see Manager.offerLease.
	offerCount int
	// hadReplica is set once this process has had a replica of the shard.
	hadReplica bool
}

// Lease is a lease that this instance holds.
type Lease struct {
	Shard ID
	// Holder identifies the tenure.
	Holder Holder
	// ExpiresAt is when the lease expires, by this instance's clock.
	ExpiresAt time.Time
	// PriorTenuresEnd is the time from which no grant of an earlier owner is valid any
	// more, except for those that Inherited contains. A grant is what the package that
	// uses the lease gives out as the owner. The zero time means that no grant is
	// missing from Inherited.
	PriorTenuresEnd time.Time
	// Inherited is the state of the owner that handed the lease over, nil if there is
	// none.
	Inherited []byte
}

// Confirmation tells the Planner which epoch a replica has confirmed for a shard.
type Confirmation struct {
	Shard ID `cbor:"1,keyasint"`
	// Epoch is the latest confirmed epoch.
	Epoch uint64 `cbor:"2,keyasint"`
}

// Manager holds the state of one instance in all shards that the map places on it: a
// Replica and an Owner per shard. It is not safe for concurrent use. Its size is
// proportional to the number of shards placed on the instance.
type Manager struct {
	self        fleetconfig.InstanceID
	incarnation uint64
	timing      Timing
	random      *rand.Rand
	epoch       uint64
	shards      map[ID]*shardState
	stopped     bool
	// startedAt is the time of the first call of UpdateMap or Tick.
	startedAt time.Time

	// ExportState returns the state to hand over for a tenure that has just ended. If
	// the function is nil, no state is handed over.
	ExportState func(shard ID, ended Holder, now time.Time) []byte
}

// NewManager returns a Manager without shards. The incarnation is a random number
// that no other process of the instance has used.
func NewManager(self fleetconfig.InstanceID, incarnation uint64, timing Timing) *Manager {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], incarnation)
	return &Manager{
		self:        self,
		incarnation: incarnation,
		timing:      timing,
		random:      rand.New(rand.NewChaCha8(seed)),
		shards:      make(map[ID]*shardState),
	}
}

// UpdateMap adopts a newer shard map. If mapRead is set, the caller guarantees that
// the map was read from a majority of the configuration holders since the process
// started. It returns offers for the leases of shards that are no longer placed on
// this instance.
func (m *Manager) UpdateMap(shardMap *fleetconfig.ShardMap, mapRead bool, now time.Time) []Envelope {
	m.recordStart(now)
	if shardMap.Epoch < m.epoch {
		return nil
	}
	var out []Envelope
	if shardMap.Epoch > m.epoch {
		m.epoch = shardMap.Epoch
		for i := range shardMap.Shards {
			out = append(out, m.updatePlacement(PlacementOf(shardMap, ID(i)), ID(i), now)...)
		}
	}
	if mapRead {
		for _, state := range m.shards {
			if state.replica != nil {
				state.replica.MarkMapRead()
			}
		}
	}
	return out
}

// updatePlacement adopts the placement of one shard. The state of a replica that the
// map removes is discarded; if the map adds it again later, it starts as a new one.
func (m *Manager) updatePlacement(placement Placement, shard ID, now time.Time) []Envelope {
	state := m.shards[shard]
	placed := placement.Rank(m.self) >= 0
	switch {
	case state == nil && !placed:
		return nil
	case state == nil:
		state = &shardState{owner: NewOwner(shard, m.self, m.incarnation, m.timing, m.random)}
		if m.stopped {
			state.owner.Stop()
		}
		m.shards[shard] = state
	}
	state.placement = placement
	state.owner.SetPlacement(placement, now)
	switch {
	case !placed:
		state.replica = nil
		return m.offerLease(state, now)
	case state.replica == nil:
		state.replica = NewReplica(shard, placement, m.timing, m.lastPossibleVote(state, now), now)
	default:
		state.replica.SetPlacement(placement, now)
	}
	return nil
}

// recordStart records the time of the first call.
func (m *Manager) recordStart(now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
}

// lastPossibleVote returns the latest time at which an earlier replica of this shard
// on this instance may have voted. A new replica does not know of such votes. The time
// is the start of the process, or now if this process has had a replica of the shard
// before.
func (m *Manager) lastPossibleVote(state *shardState, now time.Time) time.Time {
	if state.hadReplica {
		return now
	}
	state.hadReplica = true
	return m.startedAt
}

// offerLease offers a held lease to another replica. Successive offers go through the
// other replicas in rendezvous order.
func (m *Manager) offerLease(state *shardState, now time.Time) []Envelope {
	offer, held := state.owner.OfferLease(now)
	if !held {
		return nil
	}
	var others []fleetconfig.InstanceAddress
	for _, replica := range state.placement.Replicas {
		if replica.ID != m.self {
			others = append(others, replica)
		}
	}
	if len(others) == 0 {
		return nil
	}
	successor := others[state.offerCount%len(others)]
	state.offerCount++
	return []Envelope{{To: successor, Message: Message{HandoverOffer: offer}}}
}

// Stop begins a planned stop. Held leases are offered to other replicas and no lease
// is requested any more, but replicas continue to vote. Each further call offers the
// leases that are still held to the next replica.
func (m *Manager) Stop(now time.Time) []Envelope {
	m.stopped = true
	var out []Envelope
	for _, shard := range m.shardIDs() {
		state := m.shards[shard]
		state.owner.Stop()
		out = append(out, m.offerLease(state, now)...)
	}
	return out
}

// shardIDs returns the shards of the manager in ascending order.
func (m *Manager) shardIDs() []ID {
	ids := make([]ID, 0, len(m.shards))
	for shard := range m.shards {
		ids = append(ids, shard)
	}
	slices.Sort(ids)
	return ids
}

// Tick performs the actions that are due. It must be called several times per
// Timing.RankDelay.
func (m *Manager) Tick(now time.Time) []Envelope {
	m.recordStart(now)
	var out []Envelope
	for _, shard := range m.shardIDs() {
		state := m.shards[shard]
		if state.replica != nil {
			holder, remaining := state.replica.Holder(now)
			if holder.Instance != m.self || holder.Incarnation != m.incarnation {
				state.owner.Defer(remaining, now)
			}
			out = append(out, m.readEpochs(shard, state, now)...)
		}
		out = append(out, m.broadcast(state, state.owner.Tick(now), now)...)
	}
	return out
}

// readEpochs asks the other replicas for the latest epoch if the local replica is new
// or has lost its state, and has not read the epoch yet.
func (m *Manager) readEpochs(shard ID, state *shardState, now time.Time) []Envelope {
	if !state.replica.needsRead() || now.Before(state.nextReadAt) {
		return nil
	}
	state.nextReadAt = now.Add(m.timing.RoundTimeout)
	var out []Envelope
	for _, replica := range state.placement.Replicas {
		if replica.ID != m.self {
			request := &ReadRequest{Shard: shard, Nonce: m.incarnation}
			out = append(out, Envelope{To: replica, Message: Message{ReadRequest: request}})
		}
	}
	return out
}

// broadcast returns the envelopes that send messages to every replica. Messages to
// the replica on this instance are handled immediately.
func (m *Manager) broadcast(state *shardState, messages []Message, now time.Time) []Envelope {
	var out []Envelope
	for _, message := range messages {
		for _, replica := range state.placement.Replicas {
			if replica.ID != m.self {
				out = append(out, Envelope{To: replica, Message: message})
				continue
			}
			reply := m.Handle(m.self, &message, now)
			if reply != nil {
				out = append(out, m.HandleReply(m.self, reply, now)...)
			}
		}
	}
	return out
}

// Handle processes a message from another instance and returns the reply, nil if
// there is none. Messages that result from a reply are dropped; a caller that can tell
// replies from requests passes them to HandleReply instead.
func (m *Manager) Handle(from fleetconfig.InstanceID, message *Message, now time.Time) *Message {
	switch {
	case message.VoteRequest != nil:
		reply := m.handleVoteRequest(message.VoteRequest, now)
		return &Message{VoteReply: &reply}
	case message.Release != nil:
		if state := m.shards[message.Release.Shard]; state != nil && state.replica != nil {
			state.replica.HandleRelease(message.Release)
		}
	case message.ReadRequest != nil:
		return m.handleReadRequest(message.ReadRequest)
	case message.HandoverOffer != nil:
		return m.handleHandoverOffer(message.HandoverOffer, now)
	case message.HandoverRequest != nil:
		return m.handleHandoverRequest(message.HandoverRequest, now)
	case message.VoteReply != nil, message.ReadReply != nil, message.HandoverReply != nil:
		m.HandleReply(from, message, now)
	}
	return nil
}

func (m *Manager) handleVoteRequest(request *VoteRequest, now time.Time) VoteReply {
	state := m.shards[request.Shard]
	if state == nil || state.replica == nil {
		return VoteReply{Shard: request.Shard, Round: request.Round, Remaining: m.timing.Lease}
	}
	return state.replica.HandleVoteRequest(request, now)
}

func (m *Manager) handleReadRequest(request *ReadRequest) *Message {
	state := m.shards[request.Shard]
	if state == nil || state.replica == nil {
		return nil
	}
	reply := state.replica.HandleReadRequest(request)
	return &Message{ReadReply: &reply}
}

func (m *Manager) handleHandoverOffer(offer *HandoverOffer, now time.Time) *Message {
	state := m.shards[offer.Shard]
	if state == nil {
		return nil
	}
	request := state.owner.HandleHandoverOffer(offer, now)
	if request == nil {
		return nil
	}
	return &Message{HandoverRequest: request}
}

func (m *Manager) handleHandoverRequest(request *HandoverRequest, now time.Time) *Message {
	state := m.shards[request.Shard]
	if state == nil {
		return nil
	}
	reply := state.owner.HandleHandoverRequest(request, now)
	if reply == nil {
		return nil
	}
	if m.ExportState != nil {
		reply.State = m.ExportState(request.Shard, reply.From, now)
	}
	return &Message{HandoverReply: reply}
}

// HandleReply processes the reply to a request of this instance. It returns the
// messages that result from it.
func (m *Manager) HandleReply(from fleetconfig.InstanceID, reply *Message, now time.Time) []Envelope {
	switch {
	case reply.VoteReply != nil:
		if state := m.shards[reply.VoteReply.Shard]; state != nil {
			return m.broadcast(state, state.owner.HandleVoteReply(from, reply.VoteReply, now), now)
		}
	case reply.ReadReply != nil:
		state := m.shards[reply.ReadReply.Shard]
		if state != nil && state.replica != nil && reply.ReadReply.Nonce == m.incarnation {
			state.replica.HandleReadReply(from, reply.ReadReply)
		}
	case reply.HandoverRequest != nil:
		return m.replyToHandoverRequest(from, reply, now)
	case reply.HandoverReply != nil:
		if state := m.shards[reply.HandoverReply.Shard]; state != nil {
			state.owner.HandleHandoverReply(reply.HandoverReply, now)
		}
	}
	return nil
}

// replyToHandoverRequest replies to a HandoverRequest that arrived as the reply to a
// HandoverOffer.
func (m *Manager) replyToHandoverRequest(to fleetconfig.InstanceID, request *Message, now time.Time) []Envelope {
	reply := m.handleHandoverRequest(request.HandoverRequest, now)
	if reply == nil {
		return nil
	}
	state := m.shards[request.HandoverRequest.Shard]
	rank := state.placement.Rank(to)
	if rank < 0 {
		return nil
	}
	return []Envelope{{To: state.placement.Replicas[rank], Message: *reply}}
}

// Held returns the lease of a shard if this instance currently holds it.
func (m *Manager) Held(shard ID, now time.Time) (Lease, bool) {
	state := m.shards[shard]
	if state == nil || !state.owner.Holds(now) {
		return Lease{}, false
	}
	return Lease{
		Shard:           shard,
		Holder:          state.owner.holder,
		ExpiresAt:       state.owner.expiresAt,
		PriorTenuresEnd: state.owner.priorTenuresEnd,
		Inherited:       state.owner.inherited,
	}, true
}

// Leases returns all leases that this instance currently holds, ordered by shard.
func (m *Manager) Leases(now time.Time) []Lease {
	var leases []Lease
	for _, shard := range m.shardIDs() {
		if lease, held := m.Held(shard, now); held {
			leases = append(leases, lease)
		}
	}
	return leases
}

// KnownHolder returns the instance that has the vote of this instance's replica and
// how long that vote remains valid. The instance is empty if the vote is not given, or
// if there is no such replica.
func (m *Manager) KnownHolder(shard ID, now time.Time) (fleetconfig.InstanceID, time.Duration) {
	state := m.shards[shard]
	if state == nil || state.replica == nil {
		return "", 0
	}
	holder, remaining := state.replica.Holder(now)
	return holder.Instance, remaining
}

// Confirmations returns the epochs that the replicas of this instance have confirmed.
func (m *Manager) Confirmations(now time.Time) []Confirmation {
	var confirmations []Confirmation
	for _, shard := range m.shardIDs() {
		state := m.shards[shard]
		if state.replica == nil {
			continue
		}
		if epoch := state.replica.ConfirmedEpoch(now); epoch > 0 {
			confirmations = append(confirmations, Confirmation{Shard: shard, Epoch: epoch})
		}
	}
	return confirmations
}
