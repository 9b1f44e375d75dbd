package quotadriver

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/quota"
	"github.com/hemlockring/hemlockring/shard"
)

const (
	// maxShardCalls is the maximum number of concurrent calls with shard messages to one
	// instance. Further messages are dropped; the state machines send them again.
	maxShardCalls = 4
	// maxBorrowCalls is the maximum number of concurrent borrow calls to one instance.
	// Further requests wait and are sent together in the next call.
	maxBorrowCalls = 2
	// keepAliveFor is how long an ingress sends keep-alives (see sendKeepAlive) after it
	// last used a token. It equals the period over which the fallback limiter measures
	// the use of the accounts.
	keepAliveFor = 10 * time.Second
)

// borrowJob is a request to an owner that waits or is in flight. attempt counts the
// instances that were called before.
type borrowJob struct {
	outgoing *quota.OutgoingRequest
	attempt  int
}

// peer counts the calls in flight to one instance and holds the requests that wait.
type peer struct {
	shardCalls  int
	borrowCalls int
	backlog     []borrowJob
}

// peerSet holds the peers that have calls in flight or waiting requests. mu guards the map
// and the peers.
type peerSet struct {
	mu    sync.Mutex
	peers map[fleetconfig.InstanceID]*peer
}

// update runs change on the peer while mu is held, and removes the peer if it has no calls
// and requests afterwards. change must not block.
func (p *peerSet) update(id fleetconfig.InstanceID, change func(*peer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = make(map[fleetconfig.InstanceID]*peer)
	}
	entry := p.peers[id]
	if entry == nil {
		entry = &peer{}
		p.peers[id] = entry
	}
	change(entry)
	if entry.shardCalls == 0 && entry.borrowCalls == 0 && len(entry.backlog) == 0 {
		delete(p.peers, id)
	}
}

// sendShardMessages sends shard messages in one batch for each instance. It does not
// wait: each batch is sent by its own goroutine.
func (s *Service) sendShardMessages(ctx context.Context, envelopes []shard.Envelope) {
	batches := make(map[fleetconfig.InstanceAddress]*MessageBatch)
	for i := range envelopes {
		batch := batches[envelopes[i].To]
		if batch == nil {
			batch = &MessageBatch{}
			batches[envelopes[i].To] = batch
		}
		batch.Messages = append(batch.Messages, envelopes[i].Message)
	}
	for to, batch := range batches {
		hasSlot := false
		s.peers.update(to.ID, func(p *peer) {
			if hasSlot = p.shardCalls < maxShardCalls; hasSlot {
				p.shardCalls++
			}
		})
		if hasSlot {
			go s.callShardMessages(ctx, to, batch)
		}
	}
}

// callShardMessages sends one batch and handles the replies, which may lead to further
// messages.
func (s *Service) callShardMessages(ctx context.Context, to fleetconfig.InstanceAddress, batch *MessageBatch) {
	replies := &MessageBatch{}
	callCtx, cancel := context.WithTimeout(ctx, s.config.Timing.RoundTimeout)
	err := s.config.Caller.Call(callCtx, to.Address, pathMessages, batch, replies)
	cancel()
	s.peers.update(to.ID, func(p *peer) { p.shardCalls-- })
	if err != nil {
		return // The protocol of package shard tolerates lost messages.
	}
	s.sendShardMessages(ctx, s.handleShardReplies(to.ID, replies))
}

func (s *Service) handleShardReplies(from fleetconfig.InstanceID, replies *MessageBatch) []shard.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var out []shard.Envelope
	for i := range replies.Messages {
		out = append(out, s.ownership.HandleReply(from, &replies.Messages[i], now)...)
	}
	if len(replies.Messages) > 0 {
		s.updateLeases(now)
	}
	return out
}

// flushBorrowers sends the pending token requests and usage reports of all borrowers.
func (s *Service) flushBorrowers(ctx context.Context) {
	out := make(map[shard.ID]*quota.OutgoingRequest)
	for i := range s.stripes {
		s.stripes[i].flush(out)
	}
	for _, outgoing := range out {
		s.queueBorrow(ctx, borrowJob{outgoing: outgoing})
	}
}

// sendKeepAlive sends an empty request to the leader of control if this ingress has used
// tokens recently but has not had contact with the leader for quota.KeepAliveInterval.
// The leader can then tell an ingress that is unreachable from one without requests. When
// the ingress becomes idle, it reports this once.
func (s *Service) sendKeepAlive(ctx context.Context) {
	if s.config.ControlOwner == nil {
		return
	}
	now := clock.Now()
	idle := s.isIdle(now)
	s.ownersMu.Lock()
	due := !idle && now.Sub(s.lastContact) >= quota.KeepAliveInterval || idle && s.keepAliveActive
	s.keepAliveActive = !idle
	if due {
		s.lastContact = now
	}
	s.ownersMu.Unlock()
	if due {
		s.queueBorrow(ctx, borrowJob{outgoing: &quota.OutgoingRequest{RequestedAt: now}})
	}
}

// isIdle reports whether this ingress has not used a token for so long that its fallback
// limiter would allow no request.
func (s *Service) isIdle(now time.Time) bool {
	return now.UnixNano()-s.lastUsed.Load() > keepAliveFor.Nanoseconds()
}

// queueBorrow queues a job for the likely owner of its shard. If fewer than maxBorrowCalls
// calls to that instance are running, it starts a goroutine that sends the queued jobs.
func (s *Service) queueBorrow(ctx context.Context, job borrowJob) {
	id := job.outgoing.Request.Shard
	view := s.config.View()
	if view == nil {
		s.failJob(job, quota.CauseOwnerUnknown, s.config.Timing.Lease)
		return
	}
	s.ownersMu.Lock()
	to, ok := s.owners.Target(id, s.shardMap(view), job.attempt, clock.Now())
	s.ownersMu.Unlock()
	if !ok {
		s.failJob(job, quota.CauseOwnerUnknown, s.config.Timing.Lease)
		return
	}
	startCalls := false
	s.peers.update(to.ID, func(p *peer) {
		p.backlog = append(p.backlog, job)
		if startCalls = p.borrowCalls < maxBorrowCalls; startCalls {
			p.borrowCalls++
		}
	})
	if startCalls {
		go s.drainBacklog(ctx, to)
	}
}

// drainBacklog sends all jobs that wait for an instance in one call, and repeats this
// until no job is left.
func (s *Service) drainBacklog(ctx context.Context, to fleetconfig.InstanceAddress) {
	for {
		var jobs []borrowJob
		s.peers.update(to.ID, func(p *peer) {
			jobs, p.backlog = p.backlog, nil
			if len(jobs) == 0 {
				p.borrowCalls--
			}
		})
		if len(jobs) == 0 {
			return
		}
		s.callBorrow(ctx, to, jobs)
	}
}

// callBorrow sends jobs to an instance and handles the replies. If the call fails, each
// job is retried with another instance.
func (s *Service) callBorrow(ctx context.Context, to fleetconfig.InstanceAddress, jobs []borrowJob) {
	batch := &BorrowBatch{}
	idle := s.isIdle(clock.Now())
	for _, job := range jobs {
		job.outgoing.Request.Idle = idle
		batch.Requests = append(batch.Requests, job.outgoing.Request)
	}
	replies, err := s.callOwner(ctx, to, batch)
	if err != nil || len(replies.Replies) != len(jobs) {
		for _, job := range jobs {
			s.retryUnreachable(ctx, to, job)
		}
		return
	}
	for i, job := range jobs {
		s.handleBorrowReply(ctx, to, job, &replies.Replies[i])
	}
}

// callOwner sends a batch to an instance. If to is this instance, callOwner handles the
// batch without a call.
func (s *Service) callOwner(ctx context.Context, to fleetconfig.InstanceAddress, batch *BorrowBatch) (*BorrowReplies, error) {
	if to.ID == s.config.Self.ID {
		return s.lend(to.ID, batch), nil
	}
	replies := &BorrowReplies{}
	callCtx, cancel := context.WithTimeout(ctx, quota.AttemptTimeout)
	defer cancel()
	for i := range batch.Requests {
		batch.Requests[i].Abridge = len(batch.Requests[i].TokenRequests) > 0
	}
	err := s.config.Caller.Call(callCtx, to.Address, pathBorrow, batch, replies)
	if len(replies.Replies) == len(batch.Requests) {
		for i := range replies.Replies {
			replies.Replies[i].Restore(&batch.Requests[i])
		}
	}
	return replies, err
}

// handleBorrowReply updates the known owners from a reply, and completes, retries or fails
// the job.
func (s *Service) handleBorrowReply(ctx context.Context, to fleetconfig.InstanceAddress, job borrowJob, reply *quota.BorrowReply) {
	now := clock.Now()
	s.ownersMu.Lock()
	result := s.owners.HandleReply(to.ID, reply, now)
	s.ownersMu.Unlock()
	job.attempt++
	switch {
	case result == quota.RouteAnswered:
		s.recordOwnerReply(job.outgoing.Request.Shard, to.ID, now)
		s.distributeReply(reply)
	case result == quota.RouteRetry && job.mayRetry(now):
		s.queueBorrow(ctx, job)
	case result == quota.RouteUnreachable:
		s.failJob(job, quota.CauseOwnerUnreachable, reply.RetryAfter+s.config.Timing.RoundTimeout)
	default:
		s.failJob(job, quota.CauseOwnerUnknown, reply.RetryAfter+s.config.Timing.RoundTimeout)
	}
}

// recordOwnerReply records that the owner of a shard has answered, and logs it if the owner
// was unreachable before.
func (s *Service) recordOwnerReply(id shard.ID, owner fleetconfig.InstanceID, now time.Time) {
	s.ownersMu.Lock()
	s.lastContact = now
	since, wasUnreachable := s.unreachableSince[id]
	delete(s.unreachableSince, id)
	s.ownersMu.Unlock()
	if wasUnreachable {
		s.log.Info("quota owner answers again", "shard", id, "owner", owner, "away_ms", now.Sub(since).Milliseconds())
	}
}

// mayRetry reports whether time and attempts are left to call another instance.
func (j *borrowJob) mayRetry(now time.Time) bool {
	early := j.outgoing.RequestedAt.IsZero() || now.Sub(j.outgoing.RequestedAt) < quota.BorrowTimeout
	return early && j.attempt < quota.MaxAttempts
}

// retryUnreachable records that an instance has not answered, and retries the job with
// another instance if time and attempts are left.
func (s *Service) retryUnreachable(ctx context.Context, to fleetconfig.InstanceAddress, job borrowJob) {
	now := clock.Now()
	s.ownersMu.Lock()
	s.owners.Suspect(job.outgoing.Request.Shard, to.ID, now)
	_, alreadyUnreachable := s.unreachableSince[job.outgoing.Request.Shard]
	if !alreadyUnreachable {
		s.unreachableSince[job.outgoing.Request.Shard] = now
	}
	s.ownersMu.Unlock()
	if !alreadyUnreachable {
		s.log.Warn("quota owner does not answer", "shard", job.outgoing.Request.Shard, "owner", to.ID, "attempt", job.attempt)
	}
	job.attempt++
	if ctx.Err() == nil && job.mayRetry(now) {
		s.queueBorrow(ctx, job)
		return
	}
	s.failJob(job, quota.CauseOwnerUnreachable, s.config.Timing.Lease)
}
