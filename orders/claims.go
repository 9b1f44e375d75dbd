package orders

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// settleAttempts is how often the end of a claim is sent to a replica.
	settleAttempts = 4
	// settleBackoff is the wait before the second sending; it doubles each time.
	settleBackoff = 100 * time.Millisecond
)

// BeginResult is the result of Begin. Exactly one part is set.
type BeginResult struct {
	// Claim is the right to run the order.
	Claim *Claim
	// Response is the stored answer to a repeat.
	Response *StoredResponse
}

// Claim is the right to run one order. It is safe for concurrent use. It must end
// with Finish or Release.
type Claim struct {
	service *Service
	shard   shard

	mu    sync.Mutex
	claim *idempotency.Claim
}

// voteResult is the reply of one replica.
type voteResult struct {
	from  fleetconfig.InstanceID
	reply *idempotency.VoteReply
	err   error
}

// Begin claims an order. The error is a *pipeline.Refusal: in progress, outcome
// unknown, key reused, or not run. It returns within the claim time.
func (s *Service) Begin(ctx context.Context, key idempotency.Key, fingerprint idempotency.Fingerprint, deadline time.Time) (BeginResult, error) {
	record := key.RecordID()
	shardMap := s.config.ShardMap()
	if len(shardMap.Shards) == 0 {
		return BeginResult{}, notRun(idempotency.CauseNotReady)
	}
	placed := shardOf(shardMap, shardNumber(shardMap, record))
	// The claim time begins before anything is sent.
	now := clock.Now()
	decision := idempotency.NewClaim(s.config.Idempotency, placed.group, record, fingerprint, s.newClaimID(), now, deadline)
	claim := &Claim{service: s, shard: placed, claim: decision}
	claim.collect(ctx, s.askVotes(placed, decision.VoteRequest(now), decision.Expiry()))
	return claim.begun()
}

func (s *Service) newClaimID() idempotency.ClaimID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return idempotency.NewClaimID(s.random)
}

// askVotes asks every replica at once. The calls go on after the claim is
// decided, so that as many replicas as possible hold the record.
func (s *Service) askVotes(placed shard, request idempotency.VoteRequest, until time.Time) <-chan voteResult {
	results := make(chan voteResult, len(placed.group.Members))
	call := &voteCall{Shard: placed.number, Request: request}
	for i, member := range placed.group.Members {
		go func() {
			ctx, cancel := clock.WithDeadline(context.Background(), until)
			defer cancel()
			reply, err := s.askVote(ctx, member.ID, placed.addresses[i], call)
			results <- voteResult{from: member.ID, reply: reply, err: err}
		}()
	}
	return results
}

func (s *Service) askVote(ctx context.Context, to fleetconfig.InstanceID, address string, call *voteCall) (*idempotency.VoteReply, error) {
	if to == s.config.Self {
		return s.vote(call)
	}
	reply := new(idempotency.VoteReply)
	err := s.caller.Call(ctx, address, votePath, call, reply)
	return reply, err
}

// collect counts votes until the claim is decided, its time has run out or the
// caller has gone.
func (c *Claim) collect(ctx context.Context, results <-chan voteResult) {
	timer := time.NewTimer(time.Until(c.claim.Expiry()))
	defer timer.Stop()
	for c.claim.Result().Kind == idempotency.ResultPending {
		select {
		case result := <-results:
			if result.err != nil {
				c.claim.HandleFailure(result.from, clock.Now())
				continue
			}
			c.claim.HandleVoteReply(result.from, *result.reply, clock.Now())
		case <-timer.C:
			c.claim.Tick(clock.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (c *Claim) begun() (BeginResult, error) {
	verdict := c.claim.Result()
	if verdict.Kind == idempotency.ResultClaimed {
		return BeginResult{Claim: c}, nil
	}
	c.Release()
	if verdict.Kind == idempotency.ResultPending {
		return BeginResult{}, pipeline.NewNotRunRefusal(pipeline.KindCanceled, statusClientClosedRequest,
			"the caller gave the request up before the order was claimed", "send the request again with the same Idempotency-Key", retrySoon)
	}
	if refusal := refusalOf(verdict); refusal != nil {
		return BeginResult{}, refusal
	}
	answer, err := decodeAnswer(verdict.Response)
	if err != nil {
		c.service.logger.Error("a stored answer can not be read", "error", err)
		return BeginResult{}, refusalOf(idempotency.ClaimResult{Kind: idempotency.ResultResponseNotStored})
	}
	return BeginResult{Response: answer}, nil
}

// statusClientClosedRequest is the customary status for a caller that is gone;
// nobody receives it.
const statusClientClosedRequest = 499

// MayDispatch reports whether an attempt may be sent now. Ask it immediately
// before each attempt with a fresh time.
func (c *Claim) MayDispatch(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claim.MayDispatch(now)
}

// Finish ends the claim with its outcome. OutcomeNotRun releases it, so that the
// caller may try again with the same key. Answer may be nil. Only the first of
// Finish and Release counts.
func (c *Claim) Finish(outcome pipeline.Outcome, answer *StoredResponse) {
	end := idempotency.OutcomeUnknown
	switch outcome {
	case pipeline.OutcomeNotRun:
		end = idempotency.OutcomeNotRun
	case pipeline.OutcomeAnswered:
		end = idempotency.OutcomeAnswered
	}
	encoded, err := answer.encode()
	if err != nil {
		c.service.logger.Error("an answer can not be stored", "error", err)
	}
	c.settle(end, encoded)
}

// Release ends the claim without an outcome. It frees the key if no attempt was
// permitted, and records an unknown outcome otherwise.
func (c *Claim) Release() {
	c.mu.Lock()
	dispatched := c.claim.Dispatched()
	c.mu.Unlock()
	if dispatched {
		c.settle(idempotency.OutcomeUnknown, nil)
		return
	}
	c.settle(idempotency.OutcomeNotRun, nil)
}

func (c *Claim) settle(end idempotency.Outcome, answer []byte) {
	c.mu.Lock()
	settlement := c.claim.Settle(end, answer)
	c.mu.Unlock()
	switch {
	case settlement.Release != nil:
		call := &releaseCall{Shard: c.shard.number, Request: *settlement.Release}
		c.sendAll(releasePath, call, func() error { _, err := c.service.release(call); return err })
	case settlement.Finish != nil:
		call := &finishCall{Shard: c.shard.number, Request: *settlement.Finish}
		c.sendAll(finishPath, call, func() error { _, err := c.service.finish(call); return err })
	}
}

// sendAll sends the end of the claim to every replica, in the background. When
// too many are under way the rest is not sent: repeats then hear "in progress"
// and "outcome unknown", never anything false.
func (c *Claim) sendAll(path string, call any, local func() error) {
	s := c.service
	// Drain must not find the first sendings ended and the others not begun.
	s.unsettled.Add(1)
	defer s.unsettled.Done()
	for i, member := range c.shard.group.Members {
		select {
		case s.settling <- struct{}{}:
		default:
			s.logger.Warn("too many ended orders are unsent; look for replicas that do not answer")
			return
		}
		s.unsettled.Add(1)
		go func() {
			defer s.unsettled.Done()
			defer func() { <-s.settling }()
			send := local
			if member.ID != s.config.Self {
				send = func() error { return s.callOnce(c.shard.addresses[i], path, call) }
			}
			sendRepeatedly(send)
		}()
	}
}

func (s *Service) callOnce(address, path string, call any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.caller.Call(ctx, address, path, call, new(acknowledgement))
}

func sendRepeatedly(send func() error) {
	backoff := settleBackoff
	for range settleAttempts - 1 {
		if send() == nil {
			return
		}
		<-time.After(backoff)
		backoff *= 2
	}
	_ = send()
}
