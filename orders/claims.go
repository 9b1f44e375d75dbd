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
	// maxSendAttempts is the number of attempts to send the release or the outcome
	// of a claim to a replica.
	maxSendAttempts = 4
	// initialSendBackoff is the delay before the second attempt. It doubles with
	// each further attempt.
	initialSendBackoff = 100 * time.Millisecond
)

// BeginResult is the result of a successful Begin. Exactly one field is set.
type BeginResult struct {
	// Claim is the exclusive right to run the order.
	Claim *Claim
	// Response is the stored response to a duplicate request.
	Response *StoredResponse
}

// Claim is the exclusive right to run one order. It is safe for concurrent use.
// It must be ended by Finish or Release.
type Claim struct {
	service   *Service
	placement shardPlacement

	mu    sync.Mutex
	claim *idempotency.Claim
}

// voteResult is the result of a vote request to one replica.
type voteResult struct {
	from  fleetconfig.InstanceID
	reply *idempotency.VoteReply
	err   error
}

// Begin claims an order, or returns the stored response if the order has
// already run. The error is a *pipeline.Refusal: order in progress, outcome
// unknown, response not stored, key reused, not run, or canceled by the caller.
// Begin returns within the claim timeout.
func (s *Service) Begin(ctx context.Context, key idempotency.Key, fingerprint idempotency.Fingerprint, deadline time.Time) (BeginResult, error) {
	record := key.RecordID()
	shardMap := s.config.ShardMap()
	if len(shardMap.Shards) == 0 {
		return BeginResult{}, notRun(idempotency.CauseNotReady)
	}
	placement := placementOf(shardMap, shardFor(shardMap, record))
	// The claim timeout starts before any vote request is sent.
	now := clock.Now()
	claimState := idempotency.NewClaim(s.config.Idempotency, placement.group, record, fingerprint, s.newClaimID(), now, deadline)
	claim := &Claim{service: s, placement: placement, claim: claimState}
	claim.collectVotes(ctx, s.requestVotes(placement, claimState.VoteRequest(now), claimState.Expiry()))
	return claim.result()
}

func (s *Service) newClaimID() idempotency.ClaimID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return idempotency.NewClaimID(s.random)
}

// requestVotes sends the vote request to all replicas in parallel. The calls
// continue after the claim is decided, so that as many replicas as possible
// hold the record.
func (s *Service) requestVotes(placement shardPlacement, request idempotency.VoteRequest, deadline time.Time) <-chan voteResult {
	results := make(chan voteResult, len(placement.group.Members))
	call := &voteCall{Shard: placement.number, Request: request}
	for i, member := range placement.group.Members {
		go func() {
			ctx, cancel := clock.WithDeadline(context.Background(), deadline)
			defer cancel()
			reply, err := s.requestVote(ctx, member.ID, placement.addresses[i], call)
			results <- voteResult{from: member.ID, reply: reply, err: err}
		}()
	}
	return results
}

func (s *Service) requestVote(ctx context.Context, to fleetconfig.InstanceID, address string, call *voteCall) (*idempotency.VoteReply, error) {
	if to == s.config.Self {
		return s.vote(call)
	}
	reply := new(idempotency.VoteReply)
	err := s.caller.Call(ctx, address, votePath, call, reply)
	return reply, err
}

// collectVotes counts votes until the claim is decided or has expired, or ctx
// is canceled.
func (c *Claim) collectVotes(ctx context.Context, results <-chan voteResult) {
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

func (c *Claim) result() (BeginResult, error) {
	result := c.claim.Result()
	if result.Kind == idempotency.ResultClaimed {
		return BeginResult{Claim: c}, nil
	}
	c.Release()
	if result.Kind == idempotency.ResultPending {
		return BeginResult{}, pipeline.NewNotRunRefusal(pipeline.KindCanceled, statusClientClosedRequest,
			"the caller canceled the request before the order was claimed", "send the request again with the same Idempotency-Key", retrySoon)
	}
	if refusal := refusalFor(result); refusal != nil {
		return BeginResult{}, refusal
	}
	response, err := decodeResponse(result.Response)
	if err != nil {
		c.service.logger.Error("decoding of stored response failed", "error", err)
		return BeginResult{}, refusalFor(idempotency.ClaimResult{Kind: idempotency.ResultResponseNotStored})
	}
	return BeginResult{Response: response}, nil
}

// statusClientClosedRequest is the non-standard status code, known from nginx,
// for a request that the client has canceled. No client receives it.
const statusClientClosedRequest = 499

// MayDispatch reports whether an attempt may be sent now. Call it immediately
// before each attempt with a fresh time.
func (c *Claim) MayDispatch(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claim.MayDispatch(now)
}

// Finish ends the claim with the outcome of its order. OutcomeNotRun releases
// the claim, so that the caller may retry with the same key. Response may be
// nil. Calls after the first Finish or Release have no effect.
func (c *Claim) Finish(outcome pipeline.Outcome, response *StoredResponse) {
	claimOutcome := idempotency.OutcomeUnknown
	switch outcome {
	case pipeline.OutcomeNotRun:
		claimOutcome = idempotency.OutcomeNotRun
	case pipeline.OutcomeAnswered:
		claimOutcome = idempotency.OutcomeAnswered
	}
	encoded, err := response.encode()
	if err != nil {
		c.service.logger.Error("encoding of response failed; response is not stored", "error", err)
	}
	c.settle(claimOutcome, encoded)
}

// Release ends the claim without an outcome. If MayDispatch has never permitted
// an attempt, the key may be used again; otherwise the outcome is recorded as
// unknown.
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

func (c *Claim) settle(claimOutcome idempotency.Outcome, response []byte) {
	c.mu.Lock()
	settlement := c.claim.Settle(claimOutcome, response)
	c.mu.Unlock()
	switch {
	case settlement.Release != nil:
		call := &releaseCall{Shard: c.placement.number, Request: *settlement.Release}
		c.broadcast(releasePath, call, func() error { _, err := c.service.release(call); return err })
	case settlement.Finish != nil:
		call := &finishCall{Shard: c.placement.number, Request: *settlement.Finish}
		c.broadcast(finishPath, call, func() error { _, err := c.service.finish(call); return err })
	}
}

// broadcast sends the release or the outcome of the claim to every replica in the
// background. The function local handles the message on this instance. If
// maxPendingSends calls are already pending, broadcast drops the remaining
// messages. Duplicate requests are then refused: until the deadline of the
// request because the order is in progress, after it because the outcome is
// unknown. They never get a wrong outcome.
func (c *Claim) broadcast(path string, call any, local func() error) {
	s := c.service
	// Keep pendingSends above zero during the loop, so that Drain does not return
	// after the first sends have completed and before the remaining sends start.
	s.pendingSends.Add(1)
	defer s.pendingSends.Done()
	for i, member := range c.placement.group.Members {
		select {
		case s.sendSlots <- struct{}{}:
		default:
			s.logger.Warn("release or outcome of a claim not sent to all replicas: too many sends are pending; check for replicas that do not respond")
			return
		}
		s.pendingSends.Add(1)
		go func() {
			defer s.pendingSends.Done()
			defer func() { <-s.sendSlots }()
			send := local
			if member.ID != s.config.Self {
				send = func() error { return s.callWithTimeout(c.placement.addresses[i], path, call) }
			}
			sendWithRetry(send)
		}()
	}
}

func (s *Service) callWithTimeout(address, path string, call any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.caller.Call(ctx, address, path, call, new(acknowledgement))
}

func sendWithRetry(send func() error) {
	backoff := initialSendBackoff
	for range maxSendAttempts - 1 {
		if send() == nil {
			return
		}
		<-time.After(backoff)
		backoff *= 2
	}
	_ = send()
}
