package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// WaitResult ends the wait of a request.
type WaitResult struct {
	// Waiter identifies the request.
	Waiter uint64
	// Token is the token, valid if Refusal is nil.
	Token Token
	// Refusal is set if there is no token.
	Refusal *Refusal
}

// OutgoingRequest is a message to the owner of a shard.
type OutgoingRequest struct {
	// Request is the message.
	Request BorrowRequest
	// RequestedAt is when the earliest ask in it was first made.
	RequestedAt time.Time
}

// outage is a shard whose owner does not answer.
type outage struct {
	until      time.Time
	cause      Cause
	retryAfter time.Duration
}

// Borrower holds the tokens that one ingress has borrowed. It keeps at most
// maxAccounts accounts, each with at most maxBatches grants and maxWaiters waiting
// requests. It is not safe for concurrent use.
type Borrower struct {
	maxAccounts int
	nextGrant   GrantID
	pools       map[fleetconfig.AccountID]*pool
	sendQueue   []*pool
	outages     map[shard.ID]outage
}

// NewBorrower returns a Borrower without tokens. Grants are numbered from
// firstGrant on, which must be random, so that no two lives of the ingress share
// a number.
func NewBorrower(maxAccounts int, firstGrant GrantID) *Borrower {
	return &Borrower{
		maxAccounts: maxAccounts,
		nextGrant:   firstGrant,
		pools:       make(map[fleetconfig.AccountID]*pool),
		outages:     make(map[shard.ID]outage),
	}
}

// Take returns a token that is already here. It does not allocate.
func (b *Borrower) Take(account fleetconfig.AccountID, now time.Time) (Token, bool) {
	p := b.pools[account]
	if p == nil {
		return Token{}, false
	}
	token, ok := p.take(now)
	if !ok {
		return Token{}, false
	}
	p.recordUse(now)
	if p.shouldPrefetch(now) {
		b.enqueue(p)
	}
	return token, true
}

// Enqueue is called when Take has found nothing. Either it refuses at once, or the
// waiter is settled by a later call of Handle, Failed or Return.
func (b *Borrower) Enqueue(account fleetconfig.AccountID, id shard.ID, waiter uint64, now time.Time) *Refusal {
	p := b.pool(account, id, now)
	if p == nil {
		return &Refusal{Account: account, Cause: CauseIngressFull, RetryAfter: time.Second}
	}
	p.recordUse(now)
	if now.Before(p.refusedUntil) {
		refusal := p.refusal
		refusal.RetryAfter = max(refusal.RetryAfter-now.Sub(p.refusedAt), 0)
		return &refusal
	}
	if out, ok := b.outages[id]; ok {
		if !now.Before(out.until) {
			// Look for the owner again, without a request that waits for it.
			out.until = now.Add(BorrowTimeout)
			b.outages[id] = out
			p.probe = true
			b.enqueue(p)
		}
		return &Refusal{Account: account, Cause: out.cause, RetryAfter: out.retryAfter}
	}
	if len(p.waiters) >= maxWaiters || len(p.batches) >= maxBatches {
		return &Refusal{Account: account, Cause: CauseIngressFull, RetryAfter: time.Second}
	}
	p.waiters = append(p.waiters, waiter)
	b.enqueue(p)
	return nil
}

// CancelWait takes a waiter out whose request has gone. It reports whether it was
// still waiting.
func (b *Borrower) CancelWait(account fleetconfig.AccountID, waiter uint64) bool {
	p := b.pools[account]
	if p == nil {
		return false
	}
	for i, w := range p.waiters {
		if w == waiter {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// pool returns the account's pool, nil when the bound is reached.
func (b *Borrower) pool(account fleetconfig.AccountID, id shard.ID, now time.Time) *pool {
	if p := b.pools[account]; p != nil {
		return p
	}
	if len(b.pools) >= b.maxAccounts && !b.evict(now) {
		return nil
	}
	p := &pool{account: account, shard: id, useMeasuredAt: now, lastUse: now}
	b.pools[account] = p
	return p
}

// maxEvictionScan is how many accounts are looked at to make room for one.
const maxEvictionScan = 32

// evict makes room for one account.
func (b *Borrower) evict(now time.Time) bool {
	tries := 0
	for account, p := range b.pools {
		if tries++; tries > maxEvictionScan {
			return false
		}
		if len(p.batches) == 0 && len(p.waiters) == 0 && !p.pending.open && !p.queued && now.After(p.refusedUntil) {
			delete(b.pools, account)
			return true
		}
	}
	return false
}

func (b *Borrower) enqueue(p *pool) {
	if !p.queued {
		p.queued = true
		b.sendQueue = append(b.sendQueue, p)
	}
}

// Pending reports whether Flush has anything to send.
func (b *Borrower) Pending() bool { return len(b.sendQueue) > 0 }

// Flush adds everything that is to be sent to the messages, one for each shard.
func (b *Borrower) Flush(to map[shard.ID]*OutgoingRequest, now time.Time) {
	for _, p := range b.sendQueue {
		p.queued = false
		ask, wanted := b.nextTokenRequest(p, now)
		if !wanted && !p.hasReports() {
			continue
		}
		out := to[p.shard]
		if out == nil {
			out = &OutgoingRequest{Request: BorrowRequest{Shard: p.shard}}
			to[p.shard] = out
		}
		out.Request.Reports = p.appendReports(out.Request.Reports, now)
		if !wanted {
			continue
		}
		out.Request.TokenRequests = append(out.Request.TokenRequests, ask)
		if out.RequestedAt.IsZero() {
			out.RequestedAt = now
		}
	}
	clear(b.sendQueue)
	b.sendQueue = b.sendQueue[:0]
}

// nextTokenRequest makes the next nextTokenRequest of an account, of which one at a time is open.
func (b *Borrower) nextTokenRequest(p *pool, now time.Time) (TokenRequest, bool) {
	if p.pending.open {
		return TokenRequest{}, false
	}
	want := uint32(len(p.waiters))
	ahead := uint32(0)
	if target, free := p.prefetchTarget(now), p.free(now); target > free {
		ahead = target - free
	}
	if p.probe {
		p.probe = false
		want = max(want, 1)
	}
	if want+ahead == 0 {
		return TokenRequest{}, false
	}
	p.pending = pendingRequest{grant: b.nextGrant, requestedAt: now, count: want, open: true}
	b.nextGrant++
	return TokenRequest{Account: p.account, Grant: p.pending.grant, Waiting: want, Prefetch: ahead}, true
}

// HandleReply takes the owner's answer. Tokens count from when they were asked for. An
// answer to an ask that is not open is ignored: its tokens are never used.
func (b *Borrower) HandleReply(reply *BorrowReply, now time.Time) []WaitResult {
	var settled []WaitResult
	delete(b.outages, reply.Shard)
	for i := range reply.Grants {
		loan := &reply.Grants[i]
		p := b.pools[loan.Account]
		if p == nil || !p.pending.open || p.pending.grant != loan.Grant {
			continue
		}
		settled = append(settled, b.applyGrant(p, loan, now)...)
	}
	return settled
}

func (b *Borrower) applyGrant(p *pool, loan *TokenGrant, now time.Time) []WaitResult {
	pending := p.pending
	p.pending = pendingRequest{}
	p.prefetchLimit = loan.PrefetchLimit
	p.reportDelay = loan.MaxReportDelay
	if loan.Count > 0 {
		p.batches = append(p.batches, batch{
			grant:   loan.Grant,
			expires: pending.requestedAt.Add(shard.SubtractClockDrift(loan.Lifetime)),
			total:   loan.Count,
			free:    loan.Count,
			lastUse: now,
		})
	}
	settled := p.serveWaiters(now)
	if loan.Count == 0 {
		p.prefetchAfter = now.Add(prefetchPause)
	}
	if loan.Count >= pending.count {
		if len(p.waiters) > 0 {
			b.enqueue(p)
		}
		return settled
	}
	p.refusal = Refusal{Account: p.account, Cause: CauseOverRate, RetryAfter: loan.RetryAfter}
	p.refusedAt = pending.requestedAt
	p.refusedUntil = pending.requestedAt.Add(min(loan.RetryAfter, maxRefusalReuse))
	return append(settled, p.refuseWaiters(p.refusal)...)
}

// serveWaiters gives free tokens to waiting requests, first come first served.
func (p *pool) serveWaiters(now time.Time) []WaitResult {
	var settled []WaitResult
	for len(p.waiters) > 0 {
		token, ok := p.take(now)
		if !ok {
			break
		}
		settled = append(settled, WaitResult{Waiter: p.waiters[0], Token: token})
		p.waiters = p.waiters[1:]
	}
	return settled
}

func (p *pool) refuseWaiters(refusal Refusal) []WaitResult {
	var settled []WaitResult
	for _, waiter := range p.waiters {
		settled = append(settled, WaitResult{Waiter: waiter, Refusal: &refusal})
	}
	p.waiters = nil
	return settled
}

// HandleFailure ends the asks of a message that got no answer. Whatever the owner may
// have lent for them is given up. The shard's requests are refused without asking
// for a short while.
func (b *Borrower) HandleFailure(request *BorrowRequest, cause Cause, retryAfter time.Duration, now time.Time) []WaitResult {
	var settled []WaitResult
	b.outages[request.Shard] = outage{until: now.Add(ownerRetryDelay), cause: cause, retryAfter: retryAfter}
	for i := range request.Reports {
		b.requeueReport(&request.Reports[i], now)
	}
	for i := range request.TokenRequests {
		ask := &request.TokenRequests[i]
		p := b.pools[ask.Account]
		if p == nil || !p.pending.open || p.pending.grant != ask.Grant {
			continue
		}
		p.pending = pendingRequest{}
		if len(p.canceled) < maxCanceled {
			p.canceled = append(p.canceled, ask.Grant)
			p.canceledAt = now
		}
		p.reportAt = now.Add(reportResendDelay)
		settled = append(settled, p.refuseWaiters(Refusal{Account: p.account, Cause: cause, RetryAfter: retryAfter})...)
	}
	return settled
}

const (
	// ownerRetryDelay is how long a shard whose owner has not answered is left alone.
	ownerRetryDelay = 100 * time.Millisecond
	// outageRetention is how long after that an outage is forgotten that no request
	// has asked about.
	outageRetention = 2 * time.Second
)

// requeueReport marks what a lost report has told as not told.
func (b *Borrower) requeueReport(report *UsageReport, now time.Time) {
	p := b.pools[report.Account]
	if p == nil {
		return
	}
	p.reportAt = now.Add(reportResendDelay)
	if report.Returned == ReturnedAll && len(p.canceled) < maxCanceled {
		p.canceled = append(p.canceled, report.Grant)
	}
	if batch := p.batch(report.Grant); batch != nil {
		batch.dirty = true
	}
}

// Return takes a token back whose request was not run.
func (b *Borrower) Return(token Token, now time.Time) []WaitResult {
	p, batch := b.findBatch(token)
	if batch == nil || batch.inUse() == 0 || !now.Before(token.Expires) {
		return nil
	}
	batch.free++
	batch.lastUse = now
	return p.serveWaiters(now)
}

// MarkSpent records that the request of a token is known to have been dispatched to a
// backend server, at least ago before now. A token whose request may still be
// under way must be left to expire instead: once the owner hears of MarkSpent, the
// token's place in the burst fills again. The owner hears of it as soon as it has
// asked to.
func (b *Borrower) MarkSpent(token Token, ago time.Duration, now time.Time) {
	p, batch := b.findBatch(token)
	if batch == nil || batch.inUse() == 0 {
		return
	}
	batch.spent++
	if at := now.Add(-shard.SubtractClockDrift(ago)); batch.lastSpent.Before(at) {
		batch.lastSpent = at
	}
	p.scheduleReport(now)
	batch.dirty = true
	if p.reportDelay < promptReportDelay {
		b.enqueue(p)
	}
}

func (b *Borrower) findBatch(token Token) (*pool, *batch) {
	p := b.pools[token.Account]
	if p == nil {
		return nil, nil
	}
	return p, p.batch(token.Grant)
}

// Tick gives unused tokens back, forgets what has expired and queues reports that
// are due. Call it every 50 ms or so.
func (b *Borrower) Tick(now time.Time) {
	for account, p := range b.pools {
		if p.tick(now) || p.shouldPrefetch(now) && !p.pending.open {
			b.enqueue(p)
		}
		if p.idle(now) && !p.queued {
			delete(b.pools, account)
		}
	}
	for id, out := range b.outages {
		if now.Sub(out.until) > outageRetention {
			delete(b.outages, id)
		}
	}
}

// Accounts returns the number of accounts that are held.
func (b *Borrower) Accounts() int { return len(b.pools) }
