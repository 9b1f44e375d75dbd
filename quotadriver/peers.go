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
	// maxShardCalls is how many batches of shard messages may be under way to one
	// instance. More are dropped; the state machines send again.
	maxShardCalls = 4
	// maxBorrowCalls is how many borrow calls may be under way to one instance.
	// What comes meanwhile waits and travels together.
	maxBorrowCalls = 2
	// contactFor is how long after its last token an ingress keeps contact with the
	// owner: as long as it remembers its use of the accounts.
	contactFor = 10 * time.Second
)

// borrowJob is a request on its way to an owner.
type borrowJob struct {
	outgoing *quota.OutgoingRequest
	attempt  int
}

// peer is the calls to one instance.
type peer struct {
	shardCalls  int
	borrowCalls int
	backlog     []borrowJob
}

// peerSet holds the peers with calls under way.
type peerSet struct {
	mu    sync.Mutex
	peers map[fleetconfig.InstanceID]*peer
}

// with runs change on the peer and drops the peer when nothing is left of it.
func (p *peerSet) with(id fleetconfig.InstanceID, change func(*peer)) {
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

// sendShard sends shard messages, one batch for each instance.
func (s *Service) sendShard(ctx context.Context, envelopes []shard.Envelope) {
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
		free := false
		s.peers.with(to.ID, func(p *peer) {
			if free = p.shardCalls < maxShardCalls; free {
				p.shardCalls++
			}
		})
		if free {
			go s.callShard(ctx, to, batch)
		}
	}
}

func (s *Service) callShard(ctx context.Context, to fleetconfig.InstanceAddress, batch *MessageBatch) {
	replies := &MessageBatch{}
	callCtx, cancel := context.WithTimeout(ctx, s.config.Timing.RoundTimeout)
	err := s.config.Caller.Call(callCtx, to.Address, pathMessages, batch, replies)
	cancel()
	s.peers.with(to.ID, func(p *peer) { p.shardCalls-- })
	if err != nil {
		return // Lost messages are part of the protocol.
	}
	s.sendShard(ctx, s.handleReplies(to.ID, replies))
}

func (s *Service) handleReplies(from fleetconfig.InstanceID, replies *MessageBatch) []shard.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var out []shard.Envelope
	for i := range replies.Messages {
		out = append(out, s.group.HandleReply(from, &replies.Messages[i], now)...)
	}
	if len(replies.Messages) > 0 {
		s.updateLeases(now)
	}
	return out
}

// flush sends what the borrowers have to say.
func (s *Service) flush(ctx context.Context) {
	out := make(map[shard.ID]*quota.OutgoingRequest)
	for i := range s.stripes {
		s.stripes[i].flush(out)
	}
	for _, outgoing := range out {
		s.sendBorrow(ctx, borrowJob{outgoing: outgoing})
	}
}

// keepContact lets the leader of control hear of this ingress while it uses tokens, so
// that silence means that it can not be reached, and tells it once when it stops.
func (s *Service) keepContact(ctx context.Context) {
	if s.config.ControlOwner == nil {
		return
	}
	now := clock.Now()
	idle := s.idle(now)
	s.routeMu.Lock()
	due := !idle && now.Sub(s.contacted) >= quota.KeepAliveInterval || idle && s.kept
	s.kept = !idle
	if due {
		s.contacted = now
	}
	s.routeMu.Unlock()
	if due {
		s.sendBorrow(ctx, borrowJob{outgoing: &quota.OutgoingRequest{RequestedAt: now}})
	}
}

// idle reports whether this ingress has used no token for so long that it would bridge
// nothing.
func (s *Service) idle(now time.Time) bool {
	return now.UnixNano()-s.used.Load() > contactFor.Nanoseconds()
}

// sendBorrow queues a job for the instance that is believed to own its shard.
func (s *Service) sendBorrow(ctx context.Context, job borrowJob) {
	id := job.outgoing.Request.Shard
	view := s.config.View()
	if view == nil {
		s.fail(job, quota.CauseOwnerUnknown, s.config.Timing.Lease)
		return
	}
	s.routeMu.Lock()
	to, ok := s.routes.Target(id, s.shardMap(view), job.attempt, clock.Now())
	s.routeMu.Unlock()
	if !ok {
		s.fail(job, quota.CauseOwnerUnknown, s.config.Timing.Lease)
		return
	}
	start := false
	s.peers.with(to.ID, func(p *peer) {
		p.backlog = append(p.backlog, job)
		if start = p.borrowCalls < maxBorrowCalls; start {
			p.borrowCalls++
		}
	})
	if start {
		go s.drainBacklog(ctx, to)
	}
}

// drainBacklog sends the jobs that wait for an instance, together, until none is
// left.
func (s *Service) drainBacklog(ctx context.Context, to fleetconfig.InstanceAddress) {
	for {
		var jobs []borrowJob
		s.peers.with(to.ID, func(p *peer) {
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

func (s *Service) callBorrow(ctx context.Context, to fleetconfig.InstanceAddress, jobs []borrowJob) {
	batch := &BorrowBatch{}
	idle := s.idle(clock.Now())
	for _, job := range jobs {
		job.outgoing.Request.Idle = idle
		batch.Requests = append(batch.Requests, job.outgoing.Request)
	}
	replies, err := s.ask(ctx, to, batch)
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

// ask calls the instance, or this one directly.
func (s *Service) ask(ctx context.Context, to fleetconfig.InstanceAddress, batch *BorrowBatch) (*BorrowReplies, error) {
	if to.ID == s.config.Self.ID {
		return s.borrow(to.ID, batch), nil
	}
	replies := &BorrowReplies{}
	callCtx, cancel := context.WithTimeout(ctx, quota.AttemptTimeout)
	defer cancel()
	err := s.config.Caller.Call(callCtx, to.Address, pathBorrow, batch, replies)
	return replies, err
}

func (s *Service) handleBorrowReply(ctx context.Context, to fleetconfig.InstanceAddress, job borrowJob, reply *quota.BorrowReply) {
	now := clock.Now()
	s.routeMu.Lock()
	verdict := s.routes.HandleReply(to.ID, reply, now)
	s.routeMu.Unlock()
	job.attempt++
	switch {
	case verdict == quota.RouteAnswered:
		s.noteAnswer(job.outgoing.Request.Shard, to.ID, now)
		s.settle(reply)
	case verdict == quota.RouteRetry && job.mayRetry(now):
		s.sendBorrow(ctx, job)
	case verdict == quota.RouteUnreachable:
		s.fail(job, quota.CauseOwnerUnreachable, reply.RetryAfter+s.config.Timing.RoundTimeout)
	default:
		s.fail(job, quota.CauseOwnerUnknown, reply.RetryAfter+s.config.Timing.RoundTimeout)
	}
}

// noteAnswer records that the owner of a shard has answered.
func (s *Service) noteAnswer(id shard.ID, owner fleetconfig.InstanceID, now time.Time) {
	s.routeMu.Lock()
	s.contacted = now
	since, lost := s.lost[id]
	delete(s.lost, id)
	s.routeMu.Unlock()
	if lost {
		s.log.Info("quota owner answers again", "shard", id, "owner", owner, "away_ms", now.Sub(since).Milliseconds())
	}
}

// mayRetry reports whether there is time to ask another instance.
func (j *borrowJob) mayRetry(now time.Time) bool {
	early := j.outgoing.RequestedAt.IsZero() || now.Sub(j.outgoing.RequestedAt) < quota.BorrowTimeout
	return early && j.attempt < quota.MaxAttempts
}

func (s *Service) retryUnreachable(ctx context.Context, to fleetconfig.InstanceAddress, job borrowJob) {
	now := clock.Now()
	s.routeMu.Lock()
	s.routes.Suspect(job.outgoing.Request.Shard, to.ID, now)
	_, known := s.lost[job.outgoing.Request.Shard]
	if !known {
		s.lost[job.outgoing.Request.Shard] = now
	}
	s.routeMu.Unlock()
	if !known {
		s.log.Warn("quota owner does not answer", "shard", job.outgoing.Request.Shard, "owner", to.ID, "attempt", job.attempt)
	}
	job.attempt++
	if ctx.Err() == nil && job.mayRetry(now) {
		s.sendBorrow(ctx, job)
		return
	}
	s.fail(job, quota.CauseOwnerUnreachable, s.config.Timing.Lease)
}
