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

// stripeCount is how many borrowers share the accounts, so that requests of
// different accounts rarely wait for each other's lock.
const stripeCount = 64

// stripe is the borrower of some of the accounts.
type stripe struct {
	mu       sync.Mutex
	borrower *quota.Borrower
	bridge   *quota.FallbackLimiter
	next     uint64
	waiting  map[uint64]chan quota.WaitResult
}

func (st *stripe) init(maxAccounts int) {
	st.borrower = quota.NewBorrower(max(maxAccounts, 1), quota.GrantID(rand.Uint64()))
	st.bridge = quota.NewFallbackLimiter()
	st.waiting = make(map[uint64]chan quota.WaitResult)
}

// stripeAccounts is the bound of one stripe, with room for an uneven spread.
func stripeAccounts(maxAccounts int) int {
	return maxAccounts/stripeCount*9/8 + 1
}

func stripeIndex(account fleetconfig.AccountID) int {
	// The low bits choose the shard, so the high ones choose the stripe.
	return int(xxhash.Sum64String(string(account)) >> 58)
}

// deliver hands settlements to those who wait. The caller holds mu.
func (st *stripe) deliver(settled []quota.WaitResult) {
	for _, settlement := range settled {
		if ch := st.waiting[settlement.Waiter]; ch != nil {
			delete(st.waiting, settlement.Waiter)
			ch <- settlement // The channel holds one, and each waiter is settled once.
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

// Acquire returns a token for one request of the account. Most are here already;
// else the owner of the account's shard is asked. The error is a *quota.Refusal,
// or the context's.
//
// The token must be given to MarkSpent or Return, or left to expire.
func (s *Service) Acquire(ctx context.Context, account fleetconfig.AccountID) (quota.Token, error) {
	st := &s.stripes[stripeIndex(account)]
	st.mu.Lock()
	token, ok := st.borrower.Take(account, clock.Now())
	pending := st.borrower.Pending()
	st.mu.Unlock()
	if pending {
		s.wakeUp()
	}
	if !ok {
		var err error
		if token, err = s.await(ctx, st, account); err != nil {
			return s.withoutOwner(st, account, err)
		}
	}
	now := clock.Now()
	s.used.Store(now.UnixNano())
	st.mu.Lock()
	st.bridge.RecordGranted(account, quota.LimitsOf(s.config.View(), account), now)
	st.mu.Unlock()
	return token, nil
}

// withoutOwner decides on a request for which the owner has granted nothing. It bridges
// when the owner can not be reached and the preset in force lets ingresses go on for a
// while, and remembers the accounts that the owner refuses. A bridged token belongs to
// no grant: whatever becomes of it, the owner hears nothing.
func (s *Service) withoutOwner(st *stripe, account fleetconfig.AccountID, cause error) (quota.Token, error) {
	var refusal *quota.Refusal
	if !errors.As(cause, &refusal) {
		return quota.Token{}, cause
	}
	if refusal.Cause == quota.CauseOverRate {
		st.mu.Lock()
		st.bridge.RecordRefused(account, clock.Now())
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
	if !st.bridge.Allow(account, quota.LimitsOf(view, account), view.ActivePreset().QuotaGracePeriod, now) {
		return quota.Token{}, cause
	}
	return quota.Token{Account: account, Expires: now.Add(quota.MaxTokenLifetime)}, nil
}

func (s *Service) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// await waits for the owner's answer.
func (s *Service) await(ctx context.Context, st *stripe, account fleetconfig.AccountID) (quota.Token, error) {
	view := s.config.View()
	if view == nil || len(s.shardMap(view).Shards) == 0 {
		return quota.Token{}, &quota.Refusal{Account: account, Cause: quota.CauseOwnerUnknown, RetryAfter: s.config.Timing.Lease}
	}
	id := shard.ForAccount(account, len(s.shardMap(view).Shards))
	ch := make(chan quota.WaitResult, 1)
	st.mu.Lock()
	st.next++
	waiter := st.next
	refusal := st.borrower.Enqueue(account, id, waiter, clock.Now())
	if refusal == nil {
		st.waiting[waiter] = ch
	}
	st.mu.Unlock()
	if refusal != nil {
		return quota.Token{}, refusal
	}
	s.wakeUp()
	select {
	case settlement := <-ch:
		return settled(settlement)
	case <-ctx.Done():
		s.leave(st, account, waiter, ch)
		return quota.Token{}, errors.Wrap(ctx.Err(), "wait for a quota token")
	}
}

func settled(settlement quota.WaitResult) (quota.Token, error) {
	if settlement.Refusal != nil {
		return quota.Token{}, settlement.Refusal
	}
	return settlement.Token, nil
}

// leave takes a waiter out whose caller has gone. A token that came meanwhile
// goes back.
func (s *Service) leave(st *stripe, account fleetconfig.AccountID, waiter uint64, ch chan quota.WaitResult) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.waiting, waiter)
	if st.borrower.CancelWait(account, waiter) {
		return
	}
	select {
	case settlement := <-ch:
		if settlement.Refusal == nil {
			st.deliver(st.borrower.Return(settlement.Token, clock.Now()))
		}
	default:
	}
}

// Return takes a token back whose request was not run.
func (s *Service) Return(token quota.Token) {
	st := &s.stripes[stripeIndex(token.Account)]
	st.mu.Lock()
	defer st.mu.Unlock()
	st.deliver(st.borrower.Return(token, clock.Now()))
}

// MarkSpent records that the request of a token is known to have been dispatched to a
// backend server, at least ago before now. The truer ago is, the sooner the
// account's burst is free again. It must not be called when the outcome is
// unknown: such a request may be under way and be dispatched later, so its token
// is left to expire.
func (s *Service) MarkSpent(token quota.Token, ago time.Duration) {
	st := &s.stripes[stripeIndex(token.Account)]
	st.mu.Lock()
	st.borrower.MarkSpent(token, ago, clock.Now())
	pending := st.borrower.Pending()
	st.mu.Unlock()
	if pending {
		s.wakeUp()
	}
}

// settle hands the loans of an owner to the borrowers that asked.
func (s *Service) settle(reply *quota.BorrowReply) {
	for i, part := range reply.Split(stripeIndex) {
		st := &s.stripes[i]
		st.mu.Lock()
		st.deliver(st.borrower.HandleReply(part, clock.Now()))
		pending := st.borrower.Pending()
		st.mu.Unlock()
		if pending {
			s.wakeUp()
		}
	}
}

// fail ends the asks of a job that found no owner.
func (s *Service) fail(job borrowJob, cause quota.Cause, retryAfter time.Duration) {
	for i, part := range job.outgoing.Request.Split(stripeIndex) {
		st := &s.stripes[i]
		st.mu.Lock()
		st.deliver(st.borrower.HandleFailure(part, cause, retryAfter, clock.Now()))
		st.mu.Unlock()
	}
}
