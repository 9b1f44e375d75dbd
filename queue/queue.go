package queue

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Parameters of the queue.
const (
	// serviceTimeGain is the weight of a new sample in the expected time in a slot.
	serviceTimeGain = 0.1
	// typicalGain is the step by which the typical time in a slot follows a sample.
	typicalGain = 0.05
	// initialServiceTime is expected before anything has run.
	initialServiceTime = 10 * time.Millisecond
	// maxIdleAccounts bounds the accounts that are remembered while they have
	// nothing waiting and nothing running; about 100 bytes each.
	maxIdleAccounts = 1024
	// MinRetryAfter is the shortest time that a refused caller is told to wait.
	MinRetryAfter = 10 * time.Millisecond
)

// ItemID identifies a request in the queue. The driver makes it unique.
type ItemID uint64

// Item is a request that wants a slot.
type Item struct {
	// ID identifies the request.
	ID ItemID
	// Account is its client account; the requests of open routes share the empty
	// one.
	Account fleetconfig.AccountID
	// Urgency orders it against the requests of other urgencies.
	Urgency fleetconfig.Urgency
	// Deadline is when the request is given up.
	Deadline time.Time
	// StartBy is until when it may start; zero is until Deadline.
	StartBy time.Time
}

// latestStart returns until when the request may start.
func (i *Item) latestStart() time.Time {
	if i.StartBy.IsZero() || i.Deadline.Before(i.StartBy) {
		return i.Deadline
	}
	return i.StartBy
}

// Reason says why a request was refused.
type Reason uint8

const (
	// ReasonFull means that the queue is full and the account has its share of it.
	ReasonFull Reason = iota + 1
	// ReasonDeadline means that the request cannot make its deadline.
	ReasonDeadline
	// ReasonDraining means that the backend server is leaving.
	ReasonDraining
	// ReasonCanceled means that the caller went away.
	ReasonCanceled
)

// Action is what the driver must do with a request.
type Action interface{ isAction() }

// Run starts a request. The driver calls Done when its slot is free again.
type Run struct{ ID ItemID }

// Refuse ends a request that has not run. The driver gives its quota token back.
type Refuse struct {
	// ID identifies the request.
	ID ItemID
	// Reason says why.
	Reason Reason
	// RetryAfter is when a place is expected to be free.
	RetryAfter time.Duration
}

func (Run) isAction()    {}
func (Refuse) isAction() {}

// Queue shares the slots of one backend server between client accounts. It holds
// at most its length in waiting requests and maxIdleAccounts idle accounts.
//
// Invariants: at most slots requests run; each offered request leaves by exactly
// one Run or Refuse; a refused request has never run.
type Queue struct {
	slots    int
	length   int
	draining bool
	running  map[ItemID]runningItem
	accounts map[accountKey]*account
	backlog  []*account
	// passes counts the slots that an urgency has taken in a row while less urgent
	// requests waited.
	passes  map[fleetconfig.Urgency]int
	waiting int
	virtual time.Duration
	// serviceTime is the mean time in a slot. Waits follow from it: a request that hangs
	// holds its slot as long.
	serviceTime time.Duration
	// typical is the median time in a slot, which a few requests that hang do not move; 0
	// before anything has run. Whether a request can be answered in time follows from it.
	typical time.Duration
}

// runningItem is a request that holds a slot.
type runningItem struct {
	account *account
	began   time.Time
	charged time.Duration
}

// New returns an empty queue for a backend server with the given slots, in which
// at most length requests wait.
func New(slots, length int) *Queue {
	return &Queue{
		slots:       slots,
		length:      length,
		running:     make(map[ItemID]runningItem),
		accounts:    make(map[accountKey]*account),
		passes:      make(map[fleetconfig.Urgency]int),
		serviceTime: initialServiceTime,
	}
}

// SetLimits changes slots and length while requests run and wait. Requests past
// a shorter length are refused, the largest account's first.
func (q *Queue) SetLimits(slots, length int, now time.Time) []Action {
	q.slots = slots
	q.length = length
	var actions []Action
	for q.waiting > q.length {
		actions = append(actions, q.pushOut())
	}
	return q.dispatch(now, actions)
}

// Running returns how many requests hold a slot.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// ServiceTime returns the expected time in a slot.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime }

// Offer takes in a request. It runs, waits or is refused; when the queue is full,
// another request may be refused in its place.
func (q *Queue) Offer(item Item, now time.Time) []Action {
	if q.draining {
		return []Action{q.refuse(item.ID, ReasonDraining)}
	}
	owner := q.account(accountKey{id: item.Account, urgency: item.Urgency})
	if q.tooLate(owner, item, now) {
		q.forgetIdle()
		return []Action{q.refuse(item.ID, ReasonDeadline)}
	}
	if q.waiting == 0 && len(q.running) < q.slots {
		return []Action{q.run(owner, item, now)}
	}
	q.insert(owner, item)
	actions := q.dispatch(now, nil)
	if q.waiting > q.length {
		actions = append(actions, q.pushOut())
	}
	q.forgetIdle()
	return actions
}

// Done records that a request has left its slot.
func (q *Queue) Done(id ItemID, now time.Time) []Action {
	item, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	item.account.running--
	held := max(0, now.Sub(item.began))
	item.account.start += held - item.charged
	q.learn(held)
	return q.dispatch(now, nil)
}

// learn takes in how long a request held its slot.
func (q *Queue) learn(held time.Duration) {
	q.serviceTime += time.Duration(serviceTimeGain * float64(held-q.serviceTime))
	switch step := 1 + typicalGain; {
	case q.typical == 0:
		q.typical = max(held, time.Microsecond)
	case held > q.typical:
		q.typical = min(held, time.Duration(float64(q.typical)*step))
	default:
		q.typical = max(held, time.Duration(float64(q.typical)/step), time.Microsecond)
	}
}

// Cancel takes out a waiting request whose caller has gone. A running one stays
// until Done.
func (q *Queue) Cancel(id ItemID) []Action {
	for _, owner := range q.backlog {
		if owner.remove(id) {
			q.removed(owner)
			return []Action{q.refuse(id, ReasonCanceled)}
		}
	}
	return nil
}

// Tick refuses the waiting requests that can no longer start, or be answered, in time.
func (q *Queue) Tick(now time.Time) []Action {
	var actions []Action
	for _, owner := range slices.Clone(q.backlog) {
		for _, item := range slices.Clone(owner.items) {
			if q.late(&item, now) {
				owner.remove(item.ID)
				q.removed(owner)
				actions = append(actions, q.refuse(item.ID, ReasonDeadline))
			}
		}
	}
	return actions
}

// late reports whether a request that starts now starts too late.
func (q *Queue) late(item *Item, now time.Time) bool {
	return item.latestStart().Before(now) || item.Deadline.Before(now.Add(q.typical))
}

// Drain refuses what waits and all that is offered later. What runs goes on.
func (q *Queue) Drain() []Action {
	q.draining = true
	var actions []Action
	for len(q.backlog) > 0 {
		actions = append(actions, q.refuse(q.pop(q.backlog[0]).ID, ReasonDraining))
	}
	return actions
}

// dispatch gives the free slots by turns of urgency, and within one to the accounts
// with the least start tag. The deadline is checked once more, so that nothing runs that cannot make it.
func (q *Queue) dispatch(now time.Time, actions []Action) []Action {
	for len(q.running) < q.slots {
		owner := q.next()
		if owner == nil {
			return actions
		}
		item := q.pop(owner)
		if q.late(&item, now) {
			actions = append(actions, q.refuse(item.ID, ReasonDeadline))
			continue
		}
		actions = append(actions, q.run(owner, item, now))
	}
	return actions
}

// run gives a slot to a request that waits no longer.
func (q *Queue) run(owner *account, item Item, now time.Time) Run {
	q.tookTurn(owner.urgency)
	q.virtual = max(q.virtual, owner.start)
	owner.start += q.serviceTime
	owner.running++
	q.running[item.ID] = runningItem{account: owner, began: now, charged: q.serviceTime}
	return Run{ID: item.ID}
}

func (q *Queue) refuse(id ItemID, reason Reason) Refuse {
	return Refuse{ID: id, Reason: reason, RetryAfter: q.retryAfter()}
}

// retryAfter is the time in which the slots work off what runs and waits now.
func (q *Queue) retryAfter() time.Duration {
	ahead := time.Duration(len(q.running) + q.waiting)
	return max(MinRetryAfter, ahead*q.serviceTime/time.Duration(max(1, q.slots)))
}

// tooLate reports whether the request cannot start or be answered in time: the turns
// before its own, of its account's requests with earlier deadlines, as many of each other
// waiting account and those of other urgencies, take too long. While a slot is free, only
// what is over is too late: how long earlier requests took is no reason to leave a slot
// empty, and nothing would ever show that the backend server has become faster.
func (q *Queue) tooLate(owner *account, item Item, now time.Time) bool {
	if q.waiting == 0 && len(q.running) < q.slots {
		return item.latestStart().Before(now)
	}
	ahead := 0
	if len(q.running) >= q.slots {
		ahead = q.ahead(owner, owner.position(item.Deadline))
	}
	wait := time.Duration(ahead) * q.serviceTime / time.Duration(max(1, q.slots))
	return q.late(&item, now.Add(wait))
}
