package queue

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// accountKey identifies the waiting requests of one client account with one urgency.
type accountKey struct {
	id      fleetconfig.AccountID
	urgency fleetconfig.Urgency
}

// accountQueue holds the requests of one client account with one urgency.
type accountQueue struct {
	accountKey
	// startTag is the start tag of the account's next request, in virtual time.
	startTag time.Duration
	running  int
	// items are the waiting requests in order of their deadlines, earliest first.
	items []Item
}

func (a *accountQueue) empty() bool { return len(a.items) == 0 }

// position returns how many waiting requests precede a request with the deadline.
func (a *accountQueue) position(deadline time.Time) int {
	index, _ := slices.BinarySearchFunc(a.items, deadline, func(item Item, deadline time.Time) int {
		if item.Deadline.After(deadline) {
			return 1
		}
		return -1
	})
	return index
}

func (a *accountQueue) insert(item Item) {
	a.items = slices.Insert(a.items, a.position(item.Deadline), item)
}

func (a *accountQueue) pop() Item {
	item := a.items[0]
	a.items = slices.Delete(a.items, 0, 1)
	return item
}

func (a *accountQueue) popLast() Item {
	last := len(a.items) - 1
	item := a.items[last]
	a.items = a.items[:last]
	return item
}

func (a *accountQueue) remove(id ItemID) bool {
	index := slices.IndexFunc(a.items, func(item Item) bool { return item.ID == id })
	if index < 0 {
		return false
	}
	a.items = slices.Delete(a.items, index, index+1)
	return true
}

// accountQueue returns the account's queue, creating it if needed.
func (q *Queue) accountQueue(key accountKey) *accountQueue {
	account := q.accounts[key]
	if account == nil {
		account = &accountQueue{accountKey: key, startTag: q.virtualTime}
		q.accounts[key] = account
	}
	return account
}

// insert adds a waiting request. An account without waiting requests starts at the current
// virtual time at the earliest, so that it accumulates no credit while it is idle. A start
// tag that is ahead of the virtual time is kept, and delays the account only until the
// virtual time has reached it.
func (q *Queue) insert(account *accountQueue, item Item) {
	if account.empty() {
		account.startTag = max(account.startTag, q.virtualTime)
		q.backlog = append(q.backlog, account)
	}
	account.insert(item)
	if q.waiting == 0 {
		q.backlogSince = q.lastEventAt
	}
	q.waiting++
}

// pop removes the account's request with the earliest deadline.
func (q *Queue) pop(account *accountQueue) Item {
	item := account.pop()
	q.recordRemoval(account)
	return item
}

// recordRemoval updates the counts after a request of the account was removed.
func (q *Queue) recordRemoval(account *accountQueue) {
	q.waiting--
	if account.empty() {
		index := slices.Index(q.backlog, account)
		q.backlog = slices.Delete(q.backlog, index, index+1)
	}
}

// nextAccount returns the account with the least start tag among those whose urgency gets
// the next slot.
func (q *Queue) nextAccount() *accountQueue {
	urgency, _ := q.nextUrgency()
	var best *accountQueue
	for _, account := range q.backlog {
		if account.urgency == urgency && (best == nil || precedes(account, best)) {
			best = account
		}
	}
	return best
}

// precedes orders accounts by start tag, then by name.
func precedes(a, b *accountQueue) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.id < b.id
}

// shedOne refuses one request of the urgency that urgencyToShed returns. Among the accounts
// with requests of this urgency, it chooses the one with the most such requests, and
// refuses the one of these with the latest deadline.
func (q *Queue) shedOne() Action {
	urgency := q.urgencyToShed()
	var largest *accountQueue
	for _, account := range q.backlog {
		if account.urgency != urgency {
			continue
		}
		if largest == nil || len(account.items) > len(largest.items) ||
			(len(account.items) == len(largest.items) && precedes(largest, account)) {
			largest = account
		}
	}
	item := largest.popLast()
	q.recordRemoval(largest)
	return q.refuse(item.ID, ReasonFull)
}

// evictIdle bounds the number of idle accounts. An account whose start tag the virtual
// time has passed would restart at the current virtual time anyway and is dropped first. If
// this is not enough, all idle accounts are dropped.
func (q *Queue) evictIdle() {
	if len(q.accounts) <= maxIdleAccounts+q.length+q.slots {
		return
	}
	q.dropIdle(func(account *accountQueue) bool { return account.startTag <= q.virtualTime })
	if len(q.accounts) > maxIdleAccounts+q.length+q.slots {
		q.dropIdle(func(*accountQueue) bool { return true })
	}
}

func (q *Queue) dropIdle(drop func(*accountQueue) bool) {
	for key, account := range q.accounts {
		if account.empty() && account.running == 0 && drop(account) {
			delete(q.accounts, key)
		}
	}
}
