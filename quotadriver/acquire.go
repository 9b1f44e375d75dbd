package quotadriver

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/quota"
	"github.com/hemlockring/hemlockring/shard"
)

// stripeCount is the number of stripes. The accounts are divided among them so that
// requests of different accounts rarely contend for the same lock.
const stripeCount = 64

// stripe holds the borrower and the fallback limiter of a part of the accounts. mu guards
// all its fields.
type stripe struct {
	mu         sync.Mutex
	borrower   *quota.Borrower
	fallback   *quota.FallbackLimiter
	lastWaiter uint64
	// waiters holds the channels on which calls of Acquire wait for a result. Each has a
	// buffer of one and receives at most one result.
	waiters map[uint64]chan quota.WaitResult
}

func (st *stripe) init(maxAccounts int) {
	st.borrower = quota.NewBorrower(max(maxAccounts, 1), quota.GrantID(rand.Uint64()))
	st.fallback = quota.NewFallbackLimiter()
	st.waiters = make(map[uint64]chan quota.WaitResult)
}

// accountsPerStripe returns the maximum number of accounts of one stripe. It is an eighth
// above the average, since the accounts are not spread evenly.
func accountsPerStripe(maxAccounts int) int {
	return maxAccounts/stripeCount*9/8 + 1
}

// stripeIndex returns the index of the account's stripe.
func stripeIndex(account fleetconfig.AccountID) int {
	// The low bits of the hash select the shard, so the stripe is selected by high bits.
	return int(xxhash.Sum64String(string(account)) >> 58)
}

// deliver sends results to their waiters. The caller holds mu.
func (st *stripe) deliver(results []quota.WaitResult) {
	for _, result := range results {
		if ch := st.waiters[result.Waiter]; ch != nil {
			delete(st.waiters, result.Waiter)
			ch <- result // Never blocks: the buffer is one, and this is the only result.
		}
	}
}

func (st *stripe) tick() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.borrower.Tick(clock.Now())
}

func (st *stripe) flush(out map[shard.ID]*quota.OutgoingRequest) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.borrower.Pending() {
		st.borrower.Flush(out, clock.Now())
	}
}

// Acquire returns a token for one request of the account. It normally takes one that the
// ingress has already borrowed, and otherwise requests one from the owner of the account's
// shard and waits. If the owner is unavailable, the fallback limiter may allow the
// request. The error is a *quota.Refusal or wraps the error of the context.
//
// The caller must pass the token to MarkSpent or Return, or let it expire.
func (s *Service) Acquire(ctx context.Context, account fleetconfig.AccountID) (quota.Token, error) {
	st := &s.stripes[stripeIndex(account)]
	st.mu.Lock()
	token, ok := st.borrower.Take(account, clock.Now())
	pending := st.borrower.Pending()
	st.mu.Unlock()
	if pending {
		s.requestFlush()
	}
	if !ok {
		var err error
		if token, err = s.awaitOwner(ctx, st, account); err != nil {
			return s.acquireFromFallback(st, account, err)
		}
	}
	now := clock.Now()
	s.lastUsed.Store(now.UnixNano())
	st.mu.Lock()
	st.fallback.RecordGranted(account, quota.LimitsOf(s.config.View(), account), now)
	st.mu.Unlock()
	return token, nil
}

// acquireFromFallback decides on a request for which the owner has granted no token. If
// the owner is unavailable, the fallback limiter decides, for at most the grace period of
// the active preset. If the owner refused the request because the account is over its
// rate, the limiter records that. A fallback token belongs to no grant, so its use is not
// reported to the owner.
func (s *Service) acquireFromFallback(st *stripe, account fleetconfig.AccountID, cause error) (quota.Token, error) {
	var refusal *quota.Refusal
	if !errors.As(cause, &refusal) {
		return quota.Token{}, cause
	}
	if refusal.Cause == quota.CauseOverRate {
		st.mu.Lock()
		st.fallback.RecordRefused(account, clock.Now())
		st.mu.Unlock()
		return quota.Token{}, cause
	}
	if !refusal.OwnerUnavailable() {
		return quota.Token{}, cause
	}
	view := s.config.View()
	if view == nil {
		return quota.Token{}, cause
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	now := clock.Now()
	if !st.fallback.Allow(account, quota.LimitsOf(view, account), view.ActivePreset().QuotaGracePeriod, now) {
		return quota.Token{}, cause
	}
	return quota.Token{Account: account, Expires: now.Add(quota.MaxTokenLifetime)}, nil
}

// requestFlush makes Serve flush the borrowers soon.
func (s *Service) requestFlush() {
	select {
	case s.flushNeeded <- struct{}{}:
	default:
	}
}

// awaitOwner requests a token from the owner and waits for the result.
func (s *Service) awaitOwner(ctx context.Context, st *stripe, account fleetconfig.AccountID) (quota.Token, error) {
	view := s.config.View()
	if view == nil || len(s.shardMap(view).Shards) == 0 {
		return quota.Token{}, &quota.Refusal{Account: account, Cause: quota.CauseOwnerUnknown, RetryAfter: s.config.Timing.Lease}
	}
	id := shard.ForAccount(account, len(s.shardMap(view).Shards))
	ch := make(chan quota.WaitResult, 1)
	st.mu.Lock()
	st.lastWaiter++
	waiter := st.lastWaiter
	refusal := st.borrower.Enqueue(account, id, waiter, clock.Now())
	if refusal == nil {
		st.waiters[waiter] = ch
	}
	st.mu.Unlock()
	if refusal != nil {
		return quota.Token{}, refusal
	}
	s.requestFlush()
	select {
	case result := <-ch:
		return tokenOrRefusal(result)
	case <-ctx.Done():
		s.cancelWait(st, account, waiter, ch)
		return quota.Token{}, errors.Wrap(ctx.Err(), "wait for a quota token")
	}
}

func tokenOrRefusal(result quota.WaitResult) (quota.Token, error) {
	if result.Refusal != nil {
		return quota.Token{}, result.Refusal
	}
	return result.Token, nil
}

// cancelWait removes a waiter whose context has ended. A token that has been delivered
// to it meanwhile is returned.
func (s *Service) cancelWait(st *stripe, account fleetconfig.AccountID, waiter uint64, ch chan quota.WaitResult) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.waiters, waiter)
	if st.borrower.CancelWait(account, waiter) {
		return
	}
	select {
	case result := <-ch:
		if result.Refusal == nil {
			st.deliver(st.borrower.Return(result.Token, clock.Now()))
		}
	default:
	}
}

// Return returns the unused token of a request that was not dispatched.
func (s *Service) Return(token quota.Token) {
	st := &s.stripes[stripeIndex(token.Account)]
	st.mu.Lock()
	defer st.mu.Unlock()
	st.deliver(st.borrower.Return(token, clock.Now()))
}

// MarkSpent records that the request of a token is known to have been dispatched to a
// backend server; ago is a lower bound of the time since the dispatch. The closer this
// bound is to the true time, the sooner the token's part of the account's burst becomes
// available again.
// MarkSpent must not be called if the outcome is unknown: the request may still be
// dispatched later, so its token must be left to expire.
func (s *Service) MarkSpent(token quota.Token, ago time.Duration) {
	st := &s.stripes[stripeIndex(token.Account)]
	st.mu.Lock()
	st.borrower.MarkSpent(token, ago, clock.Now())
	pending := st.borrower.Pending()
	st.mu.Unlock()
	if pending {
		s.requestFlush()
	}
}

// distributeReply passes the parts of an owner's reply to the borrowers of their stripes.
func (s *Service) distributeReply(reply *quota.BorrowReply) {
	for i, part := range reply.Split(stripeIndex) {
		st := &s.stripes[i]
		st.mu.Lock()
		st.deliver(st.borrower.HandleReply(part, clock.Now()))
		pending := st.borrower.Pending()
		st.mu.Unlock()
		if pending {
			s.requestFlush()
		}
	}
}

// failJob refuses the token requests of a job that no owner has answered.
func (s *Service) failJob(job borrowJob, cause quota.Cause, retryAfter time.Duration) {
	for i, part := range job.outgoing.Request.Split(stripeIndex) {
		st := &s.stripes[i]
		st.mu.Lock()
		st.deliver(st.borrower.HandleFailure(part, cause, retryAfter, clock.Now()))
		st.mu.Unlock()
	}
}
