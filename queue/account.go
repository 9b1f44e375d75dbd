package queue

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// accountKey tells the parts of client accounts in the queue apart.
type accountKey struct {
	id      fleetconfig.AccountID
	urgency fleetconfig.Urgency
}

// account is the part of one client account in the queue, with requests of one
// urgency.
type account struct {
	accountKey
	// start is the start tag of the account's next request, in virtual time.
	start   time.Duration
	running int
	// items are the waiting requests, the earliest deadline first.
	items []Item
}

func (a *account) idle() bool { return len(a.items) == 0 }

// position returns how many waiting requests go before one with the deadline.
func (a *account) position(deadline time.Time) int {
	index, _ := slices.BinarySearchFunc(a.items, deadline, func(item Item, deadline time.Time) int {
		if item.Deadline.After(deadline) {
			return 1
		}
		return -1
	})
	return index
}

func (a *account) insert(item Item) {
	a.items = slices.Insert(a.items, a.position(item.Deadline), item)
}

func (a *account) pop() Item {
	item := a.items[0]
	a.items = slices.Delete(a.items, 0, 1)
	return item
}

func (a *account) popLast() Item {
	last := len(a.items) - 1
	item := a.items[last]
	a.items = a.items[:last]
	return item
}

func (a *account) remove(id ItemID) bool {
	index := slices.IndexFunc(a.items, func(item Item) bool { return item.ID == id })
	if index < 0 {
		return false
	}
	a.items = slices.Delete(a.items, index, index+1)
	return true
}

// account returns the record of an account and makes one if there is none.
func (q *Queue) account(key accountKey) *account {
	owner := q.accounts[key]
	if owner == nil {
		owner = &account{accountKey: key, start: q.virtual}
		q.accounts[key] = owner
	}
	return owner
}

// insert adds a waiting request. An account that had none waiting starts at the
// present virtual time, so that it neither saves up nor owes turns for long.
func (q *Queue) insert(owner *account, item Item) {
	if owner.idle() {
		owner.start = max(owner.start, q.virtual)
		q.backlog = append(q.backlog, owner)
	}
	owner.insert(item)
	q.waiting++
}

// pop takes out the request of an account with the earliest deadline.
func (q *Queue) pop(owner *account) Item {
	item := owner.pop()
	q.removed(owner)
	return item
}

// removed keeps count after a request of the account was taken out.
func (q *Queue) removed(owner *account) {
	q.waiting--
	if owner.idle() {
		index := slices.Index(q.backlog, owner)
		q.backlog = slices.Delete(q.backlog, index, index+1)
	}
}

// next returns the waiting account with the least start tag, of those whose turn it is.
func (q *Queue) next() *account {
	urgency, _ := q.turn()
	var best *account
	for _, owner := range q.backlog {
		if owner.urgency == urgency && (best == nil || precedes(owner, best)) {
			best = owner
		}
	}
	return best
}

func precedes(a, b *account) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.id < b.id
}

// pushOut refuses the request with the latest deadline of the account that has the
// most waiting, of those whose urgency gives way.
func (q *Queue) pushOut() Action {
	urgency := q.givesWay()
	var largest *account
	for _, owner := range q.backlog {
		if owner.urgency != urgency {
			continue
		}
		if largest == nil || len(owner.items) > len(largest.items) ||
			(len(owner.items) == len(largest.items) && precedes(largest, owner)) {
			largest = owner
		}
	}
	item := largest.popLast()
	q.removed(largest)
	return q.refuse(item.ID, ReasonFull)
}

// forgetIdle bounds the idle accounts. One whose start tag has been passed would
// begin at the present virtual time anyway and is dropped first; when that is not
// enough, all idle ones are dropped.
func (q *Queue) forgetIdle() {
	if len(q.accounts) <= maxIdleAccounts+q.length+q.slots {
		return
	}
	q.dropIdle(func(owner *account) bool { return owner.start <= q.virtual })
	if len(q.accounts) > maxIdleAccounts+q.length+q.slots {
		q.dropIdle(func(*account) bool { return true })
	}
}

func (q *Queue) dropIdle(drop func(*account) bool) {
	for key, owner := range q.accounts {
		if owner.idle() && owner.running == 0 && drop(owner) {
			delete(q.accounts, key)
		}
	}
}
