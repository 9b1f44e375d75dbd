package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// WaitResult is the outcome for a request that was waiting for a token.
type WaitResult struct {
	// Waiter identifies the request.
	Waiter uint64
	// Token is valid if Refusal is nil.
	Token Token
	// Refusal is set if the request gets no token.
	Refusal *Refusal
}

// OutgoingRequest is a message to be sent to the owner of a shard.
type OutgoingRequest struct {
	// Request is the message.
	Request BorrowRequest
	// RequestedAt is when the earliest token request in the message was made, or zero if
	// the message contains only usage reports.
	RequestedAt time.Time
}

// outage records that the owner of a shard is unknown or does not respond.
type outage struct {
	// probeAt is the time from which a request for an account of the shard contacts the
	// owner again.
	probeAt    time.Time
	cause      Cause
	retryAfter time.Duration
}

// Borrower holds the tokens that one ingress has borrowed. It keeps at most maxAccounts
// accounts, each with at most maxBatches grants and maxWaiters waiting requests. It is not
// safe for concurrent use.
type Borrower struct {
	maxAccounts int
	nextGrant   GrantID
	pools       map[fleetconfig.AccountID]*pool
	sendQueue   []*pool
	outages     map[shard.ID]outage
}

// NewBorrower returns a Borrower without tokens. Grants are numbered from firstGrant on,
// which must be random, so that no two incarnations of an ingress use the same number.
func NewBorrower(maxAccounts int, firstGrant GrantID) *Borrower {
	return &Borrower{
		maxAccounts: maxAccounts,
		nextGrant:   firstGrant,
		pools:       make(map[fleetconfig.AccountID]*pool),
		outages:     make(map[shard.ID]outage),
	}
}

// Take returns a token that is already borrowed, if there is one. It does not allocate,
// except to extend the queue of accounts that Flush sends messages for.
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
		b.scheduleSend(p)
	}
	return token, true
}

// Enqueue is called when Take has found no token. It either refuses the request at once, or
// makes it wait; a later call of HandleReply, HandleFailure or Return then reports its
// WaitResult.
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
	if outage, ok := b.outages[id]; ok {
		if !now.Before(outage.probeAt) {
			// Probe for the owner again without making this request wait.
			outage.probeAt = now.Add(BorrowTimeout)
			b.outages[id] = outage
			p.probe = true
			b.scheduleSend(p)
		}
		return &Refusal{Account: account, Cause: outage.cause, RetryAfter: outage.retryAfter}
	}
	if len(p.waiters) >= maxWaiters || len(p.batches) >= maxBatches {
		return &Refusal{Account: account, Cause: CauseIngressFull, RetryAfter: time.Second}
	}
	p.waiters = append(p.waiters, waiter)
	b.scheduleSend(p)
	return nil
}

// CancelWait removes a waiter whose request was canceled. It reports whether the request
// was still waiting.
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

// pool returns the account's pool, creating it if needed. It returns nil if maxAccounts is
// reached and no unused account was found to evict.
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

// maxEvictionScan is how many accounts are examined to find one to evict.
const maxEvictionScan = 32

// evict removes one unused account, if it finds one.
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

// scheduleSend adds the account to the ones that Flush sends messages for.
func (b *Borrower) scheduleSend(p *pool) {
	if !p.queued {
		p.queued = true
		b.sendQueue = append(b.sendQueue, p)
	}
}

// Pending reports whether Flush has anything to send.
func (b *Borrower) Pending() bool { return len(b.sendQueue) > 0 }

// Flush adds all queued token requests and usage reports to the map, which has one message
// for each shard.
func (b *Borrower) Flush(to map[shard.ID]*OutgoingRequest, now time.Time) {
	for _, p := range b.sendQueue {
		p.queued = false
		tokenRequest, needed := b.nextTokenRequest(p, now)
		if !needed && !p.hasReports() {
			continue
		}
		message := to[p.shard]
		if message == nil {
			message = &OutgoingRequest{Request: BorrowRequest{Shard: p.shard}}
			to[p.shard] = message
		}
		message.Request.Reports = p.appendReports(message.Request.Reports, now)
		if !needed {
			continue
		}
		message.Request.TokenRequests = append(message.Request.TokenRequests, tokenRequest)
		if message.RequestedAt.IsZero() {
			message.RequestedAt = now
		}
	}
	clear(b.sendQueue)
	b.sendQueue = b.sendQueue[:0]
}

// nextTokenRequest returns the next token request of an account. It returns false if the
// account needs no tokens, or if its previous token request is still open.
func (b *Borrower) nextTokenRequest(p *pool, now time.Time) (TokenRequest, bool) {
	if p.pending.open {
		return TokenRequest{}, false
	}
	waiting := uint32(len(p.waiters))
	prefetch := uint32(0)
	if target, free := p.prefetchTarget(now), p.free(now); target > free {
		prefetch = target - free
	}
	if p.probe {
		p.probe = false
		waiting = max(waiting, 1)
	}
	if waiting+prefetch == 0 {
		return TokenRequest{}, false
	}
	p.pending = pendingRequest{grant: b.nextGrant, requestedAt: now, waiting: waiting, open: true}
	b.nextGrant++
	return TokenRequest{Account: p.account, Grant: p.pending.grant, Waiting: waiting, Prefetch: prefetch}, true
}

// HandleReply processes the owner's reply. Token lifetimes count from when the tokens were
// requested. A grant for a request that is no longer open is ignored, and its tokens are
// never used.
func (b *Borrower) HandleReply(reply *BorrowReply, now time.Time) []WaitResult {
	var results []WaitResult
	delete(b.outages, reply.Shard)
	for i := range reply.Grants {
		grant := &reply.Grants[i]
		p := b.pools[grant.Account]
		if p == nil || !p.pending.open || p.pending.grant != grant.Grant {
			continue
		}
		results = append(results, b.applyGrant(p, grant, now)...)
	}
	return results
}

// applyGrant adds the granted tokens to the account's pool and serves or refuses its waiters.
func (b *Borrower) applyGrant(p *pool, grant *TokenGrant, now time.Time) []WaitResult {
	pending := p.pending
	p.pending = pendingRequest{}
	p.prefetchLimit = grant.PrefetchLimit
	p.reportDelay = grant.MaxReportDelay
	if grant.Count > 0 {
		p.batches = append(p.batches, batch{
			grant:   grant.Grant,
			expires: pending.requestedAt.Add(shard.SubtractClockDrift(grant.Lifetime)),
			total:   grant.Count,
			free:    grant.Count,
			lastUse: now,
		})
	}
	results := p.serveWaiters(now)
	if grant.Count == 0 {
		p.prefetchAfter = now.Add(prefetchPause)
	}
	if grant.Count >= pending.waiting {
		if len(p.waiters) > 0 {
			b.scheduleSend(p)
		}
		return results
	}
	p.refusal = Refusal{Account: p.account, Cause: CauseOverRate, RetryAfter: grant.RetryAfter}
	p.refusedAt = pending.requestedAt
	p.refusedUntil = pending.requestedAt.Add(min(grant.RetryAfter, maxRefusalReuse))
	return append(results, p.refuseWaiters(p.refusal)...)
}

// serveWaiters gives free tokens to waiting requests in their order of arrival.
func (p *pool) serveWaiters(now time.Time) []WaitResult {
	var results []WaitResult
	for len(p.waiters) > 0 {
		token, ok := p.take(now)
		if !ok {
			break
		}
		results = append(results, WaitResult{Waiter: p.waiters[0], Token: token})
		p.waiters = p.waiters[1:]
	}
	return results
}

// refuseWaiters refuses all waiting requests.
func (p *pool) refuseWaiters(refusal Refusal) []WaitResult {
	var results []WaitResult
	for _, waiter := range p.waiters {
		results = append(results, WaitResult{Waiter: waiter, Refusal: &refusal})
	}
	p.waiters = nil
	return results
}

// HandleFailure closes the token requests of a message that the owner has not answered. Any
// tokens that the owner may have lent for them are given up. Until the owner replies,
// requests for accounts of the shard are refused if they find no borrowed token. For the
// first ownerRetryDelay, these requests do not contact the owner.
func (b *Borrower) HandleFailure(request *BorrowRequest, cause Cause, retryAfter time.Duration, now time.Time) []WaitResult {
	var results []WaitResult
	b.outages[request.Shard] = outage{probeAt: now.Add(ownerRetryDelay), cause: cause, retryAfter: retryAfter}
	for i := range request.Reports {
		b.requeueReport(&request.Reports[i], now)
	}
	for i := range request.TokenRequests {
		tokenRequest := &request.TokenRequests[i]
		p := b.pools[tokenRequest.Account]
		if p == nil || !p.pending.open || p.pending.grant != tokenRequest.Grant {
			continue
		}
		p.pending = pendingRequest{}
		if len(p.canceled) < maxCanceled {
			p.canceled = append(p.canceled, tokenRequest.Grant)
			p.canceledAt = now
		}
		p.reportAt = now.Add(reportResendDelay)
		results = append(results, p.refuseWaiters(Refusal{Account: p.account, Cause: cause, RetryAfter: retryAfter})...)
	}
	return results
}

const (
	// ownerRetryDelay is how long the requests of a shard are refused without contacting
	// its owner after the owner has not responded.
	ownerRetryDelay = 100 * time.Millisecond
	// outageRetention is how long an outage is remembered after outage.probeAt if no
	// request for an account of the shard contacts the owner.
	outageRetention = 2 * time.Second
)

// requeueReport marks the contents of a lost report as unsent.
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

// Return takes back the token of a request that was not run.
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
// backend server; ago is a lower bound of the time since then. If it is
// possible that the request has not been dispatched yet, the token must be left to expire
// instead, because the bucket can
// refill the token once the owner learns that it was spent. The report to the owner is sent
// within the delay that the owner asked for.
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
		b.scheduleSend(p)
	}
}

func (b *Borrower) findBatch(token Token) (*pool, *batch) {
	p := b.pools[token.Account]
	if p == nil {
		return nil, nil
	}
	return p, p.batch(token.Grant)
}

// Tick returns unused tokens, removes expired state and queues the reports that are due. It
// must be called about every 50 ms.
func (b *Borrower) Tick(now time.Time) {
	for account, p := range b.pools {
		if p.tick(now) || p.shouldPrefetch(now) && !p.pending.open {
			b.scheduleSend(p)
		}
		if p.idle(now) && !p.queued {
			delete(b.pools, account)
		}
	}
	for id, outage := range b.outages {
		if now.Sub(outage.probeAt) > outageRetention {
			delete(b.outages, id)
		}
	}
}

// Accounts returns the number of accounts that the Borrower keeps a pool for.
func (b *Borrower) Accounts() int { return len(b.pools) }
