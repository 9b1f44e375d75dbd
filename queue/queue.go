package queue

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/throttle"
)

// Parameters of the queue.
const (
	// maxIdleAccounts bounds the accounts that are remembered while they have no waiting
	// and no running requests; about 100 bytes each.
	maxIdleAccounts = 1024
	// MinRetryAfter is the shortest delay that a refused caller is told.
	MinRetryAfter = 10 * time.Millisecond
	// overloadAfter is how long requests must have been waiting without interruption until
	// the queue counts as overloaded. A burst is worked off in less.
	overloadAfter = time.Second
)

// ItemID identifies a request in the queue. The driver ensures that it is unique.
type ItemID uint64

// Item is a request that needs a slot.
type Item struct {
	// ID identifies the request.
	ID ItemID
	// Account is the client account. All requests of routes that admit requests without a
	// key (Route.OpenToAll) share the empty account.
	Account fleetconfig.AccountID
	// Urgency decides which requests run first. A smaller value is more urgent.
	Urgency fleetconfig.Urgency
	// Deadline is when the request is abandoned.
	Deadline time.Time
	// StartBy is the latest time at which the request may start. Zero means Deadline.
	StartBy time.Time
	// TargetTime is when the latency target of the request ends. Zero means that it has
	// none. While the queue is overloaded, a request waits only if it is expected to finish
	// by then.
	TargetTime time.Time
	// ServiceTime is the usual service time of such requests at all servers of the service.
	// Zero means that it is not known; the estimates of this server then apply.
	ServiceTime time.Duration
	// WaitForRate says that no other backend server can run the request at once. It may then
	// use the overage of the rate limit, and wait until the limit admits it. Any other
	// request is refused at once when the limit does not admit it now.
	WaitForRate bool
}

// latestStart returns the latest time at which the request may start.
func (i *Item) latestStart() time.Time {
	if i.StartBy.IsZero() || i.Deadline.Before(i.StartBy) {
		return i.Deadline
	}
	return i.StartBy
}

// Reason is why a request was refused.
type Reason uint8

const (
	// ReasonFull means that the queue was full and the request was shed.
	ReasonFull Reason = iota + 1
	// ReasonDeadline means that the request cannot start or finish in time.
	ReasonDeadline
	// ReasonDraining means that the backend server is being drained.
	ReasonDraining
	// ReasonCanceled means that the caller canceled the request.
	ReasonCanceled
	// ReasonOverloaded means that the queue is overloaded and the request would miss its
	// latency target.
	ReasonOverloaded
	// ReasonRateLimited means that the rate limit does not admit the request now.
	ReasonRateLimited
)

// Action is what the driver must do with a request: Run or Refuse.
type Action interface{ isAction() }

// Run starts a request. The driver calls Done when the request has released its slot.
type Run struct{ ID ItemID }

// Refuse ends a request that has not run. The driver returns its quota token.
type Refuse struct {
	// ID identifies the request.
	ID ItemID
	// Reason is why the request was refused.
	Reason Reason
	// RetryAfter is the estimated time until the requests that now run and wait are
	// finished and the rate limit admits another request.
	RetryAfter time.Duration
}

func (Run) isAction()    {}
func (Refuse) isAction() {}

// Queue shares the slots of one backend server between client accounts. It holds at most
// length waiting requests and maxIdleAccounts idle accounts.
//
// Invariants: at most slots requests run; no more requests start than the rate limit admits;
// each offered request is ended by exactly one Run or Refuse; a refused request has never
// run.
type Queue struct {
	slots    int
	length   int
	draining bool
	running  map[ItemID]runningItem
	accounts map[accountKey]*accountQueue
	// backlog holds the accounts that have waiting requests.
	backlog []*accountQueue
	// consecutive counts the consecutive slots that an urgency has received while less
	// urgent requests waited.
	consecutive map[fleetconfig.Urgency]int
	waiting     int
	virtualTime time.Duration
	// serviceTime is the mean service time, that is, the time for which a request holds a
	// slot. It is used to estimate waiting times, because a hanging request occupies its
	// slot too.
	serviceTime time.Duration
	// medianServiceTime is the median service time, or 0 before any request has finished.
	// It is used to decide whether a request can be answered in time, because a few hanging
	// requests do not change it.
	medianServiceTime time.Duration
	// heldRatio is the mean, and slowness the median, of the service times relative to the
	// usual ones of the same requests. slowness is 0 before any response.
	heldRatio, slowness float64
	// throttle is the limit on the rate at which requests start.
	throttle throttle.Throttle
	// lastEventAt is the time of the last event that the driver has reported.
	lastEventAt time.Time
	// backlogSince is since when requests have been waiting without interruption. It is
	// valid only while requests wait.
	backlogSince time.Time
	// toleratedBacklog is set by SetToleratedBacklog.
	toleratedBacklog time.Duration
}

// runningItem is a request that holds a slot.
type runningItem struct {
	account   *accountQueue
	startedAt time.Time
	// charged is the expected service time that was added to the account's start tag. Done
	// corrects the start tag to the actual service time.
	charged time.Duration
	// expected is Item.ServiceTime.
	expected time.Duration
}

// New returns an empty queue for a backend server with the given slots. At most length
// requests wait in it.
func New(slots, length int) *Queue {
	return &Queue{
		slots:       slots,
		length:      length,
		running:     make(map[ItemID]runningItem),
		accounts:    make(map[accountKey]*accountQueue),
		consecutive: make(map[fleetconfig.Urgency]int),
		serviceTime: initialServiceTime,
		heldRatio:   1,
	}
}

// SetLimits changes slots and length while requests run and wait. If more requests wait
// than the new length, the excess is refused as when the queue is full.
func (q *Queue) SetLimits(slots, length int, now time.Time) []Action {
	q.slots = slots
	q.length = length
	q.lastEventAt = now
	var actions []Action
	for q.waiting > q.length {
		actions = append(actions, q.shedOne())
	}
	return q.dispatch(now, actions)
}

// Running returns how many requests hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// ServiceTime returns the mean service time.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime }

// Offer adds a request. The request runs, waits or is refused; when the queue is full,
// another request may be refused instead of it.
func (q *Queue) Offer(item Item, now time.Time) []Action {
	q.lastEventAt = now
	if q.draining {
		return []Action{q.refuse(item.ID, ReasonDraining)}
	}
	// Each request that waits takes a token too.
	if !item.WaitForRate && q.throttle.Tokens(now) <= q.waiting {
		return []Action{q.refuse(item.ID, ReasonRateLimited)}
	}
	account := q.accountQueue(accountKey{id: item.Account, urgency: item.Urgency})
	if reason := q.reasonNotToWait(account, item, now); reason != 0 {
		q.evictIdle()
		return []Action{q.refuse(item.ID, reason)}
	}
	if q.waiting == 0 && q.mayStart(now) {
		return []Action{q.run(account, item, now)}
	}
	q.insert(account, item)
	actions := q.dispatch(now, nil)
	if q.waiting > q.length {
		actions = append(actions, q.shedOne())
	}
	q.evictIdle()
	return actions
}

// Done records that a request has released its slot.
func (q *Queue) Done(id ItemID, now time.Time) []Action {
	q.lastEventAt = now
	item, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	item.account.running--
	serviceTime := max(0, now.Sub(item.startedAt))
	item.account.startTag += serviceTime - item.charged
	q.recordServiceTime(serviceTime, item.expected)
	return q.dispatch(now, nil)
}

// Cancel removes a waiting request that its caller has canceled. A running request keeps
// its slot until Done.
func (q *Queue) Cancel(id ItemID) []Action {
	if q.removeWaiting(id) {
		return []Action{q.refuse(id, ReasonCanceled)}
	}
	return nil
}

// Tick refuses the waiting requests that should wait no longer (see uselessWait), and starts
// those that the rate limit now admits.
func (q *Queue) Tick(now time.Time) []Action {
	q.lastEventAt = now
	var actions []Action
	for _, account := range slices.Clone(q.backlog) {
		for _, item := range slices.Clone(account.items) {
			if reason := q.uselessWait(&item, now); reason != 0 {
				account.remove(item.ID)
				q.recordRemoval(account)
				actions = append(actions, q.refuse(item.ID, reason))
			}
		}
	}
	return q.dispatch(now, actions)
}

// missesDeadline reports whether a request that starts now starts too late or is expected
// to finish too late.
func (q *Queue) missesDeadline(item *Item, now time.Time) bool {
	return item.latestStart().Before(now) || item.Deadline.Before(now.Add(q.responseTime(item)))
}

// overloaded reports whether requests arrive faster than the slots can run them. In such a
// queue each request would wait for as long as its deadline permits, and be answered too late
// by the time it starts. The last waiting request is exempt, so that slots are not left
// unused until another request arrives.
func (q *Queue) overloaded() bool {
	if q.waiting <= 1 || q.lastEventAt.Sub(q.backlogSince) < overloadAfter {
		return false
	}
	return q.toleratedBacklog <= 0 || q.backlogWork() > q.toleratedBacklog
}

// backlogWork returns the time for which the waiting requests will occupy all slots.
func (q *Queue) backlogWork() time.Duration {
	var work time.Duration
	for _, account := range q.backlog {
		work += q.workOf(account.items)
	}
	return q.perSlot(work)
}

// SetToleratedBacklog sets the waiting work, as the time for which it will occupy all slots, up
// to which the queue does not count as overloaded. Requests then wait although they miss their
// latency targets: the backlog will soon be worked off. With zero it counts as overloaded
// whatever the backlog.
func (q *Queue) SetToleratedBacklog(backlog time.Duration) { q.toleratedBacklog = backlog }

// uselessWait returns why a request that starts at the given time should not wait until
// then, or zero if it should: it misses its deadline, or the queue is overloaded and it misses
// its latency target. The slots then run requests that meet theirs.
func (q *Queue) uselessWait(item *Item, start time.Time) Reason {
	if q.missesDeadline(item, start) {
		return ReasonDeadline
	}
	if q.overloaded() && !item.TargetTime.IsZero() && item.TargetTime.Before(start.Add(q.responseTime(item))) {
		return ReasonOverloaded
	}
	return 0
}

// Drain refuses all waiting requests and all that are offered later. Running requests
// continue.
func (q *Queue) Drain() []Action {
	q.draining = true
	var actions []Action
	for len(q.backlog) > 0 {
		actions = append(actions, q.refuse(q.pop(q.backlog[0]).ID, ReasonDraining))
	}
	return actions
}

// mayStart reports whether a slot is free and the rate limit admits a request.
func (q *Queue) mayStart(now time.Time) bool {
	return len(q.running) < q.slots && q.throttle.TokensWithOverage(now) > 0
}

// dispatch assigns the free slots to the urgency whose turn it is (see nextUrgency) and,
// within one urgency, to the account with the least start tag. Deadlines are checked again,
// so that no request runs that cannot meet its deadline.
func (q *Queue) dispatch(now time.Time, actions []Action) []Action {
	for q.mayStart(now) {
		account := q.nextAccount()
		if account == nil {
			return actions
		}
		item := q.pop(account)
		if reason := q.uselessWait(&item, now); reason != 0 {
			actions = append(actions, q.refuse(item.ID, reason))
			continue
		}
		actions = append(actions, q.run(account, item, now))
	}
	return actions
}

// run assigns a slot to a request that is not in the queue.
func (q *Queue) run(account *accountQueue, item Item, now time.Time) Run {
	q.throttle.Take(now)
	q.recordStart(account.urgency)
	q.virtualTime = max(q.virtualTime, account.startTag)
	work := q.work(&item)
	account.startTag += work
	account.running++
	q.running[item.ID] = runningItem{account: account, startedAt: now, charged: work, expected: item.ServiceTime}
	return Run{ID: item.ID}
}

func (q *Queue) refuse(id ItemID, reason Reason) Refuse {
	return Refuse{ID: id, Reason: reason, RetryAfter: q.retryAfter()}
}

// retryAfter returns the estimated time until the requests that now run and wait are
// finished and the rate limit admits another request.
func (q *Queue) retryAfter() time.Duration {
	var ahead time.Duration
	for _, item := range q.running {
		ahead += item.charged
	}
	for _, account := range q.backlog {
		ahead += q.workOf(account.items)
	}
	return max(MinRetryAfter, q.perSlot(ahead), q.throttle.Wait(q.waiting+1, q.lastEventAt))
}

// reasonNotToWait returns why the request should not wait (see uselessWait), because of
// the requests that get a slot before it: those of its own account with earlier deadlines;
// from each other waiting account of the same urgency, at most one request more than those;
// and the requests of other urgencies that get a slot in between (see maxConsecutive). The
// wait for the rate limit is that of the last request in the queue. While a request may
// start, only one whose latest start has passed is refused. Otherwise a backend server with
// high estimates would get no requests, and the estimates would never show that it has
// become faster.
func (q *Queue) reasonNotToWait(account *accountQueue, item Item, now time.Time) Reason {
	if q.waiting == 0 && q.mayStart(now) {
		if item.latestStart().Before(now) {
			return ReasonDeadline
		}
		return 0
	}
	var wait time.Duration
	if len(q.running) >= q.slots {
		wait = q.waitForSlot(account, account.position(item.Deadline))
	}
	wait = max(wait, q.throttle.Wait(q.waiting+1, now))
	return q.uselessWait(&item, now.Add(wait))
}
