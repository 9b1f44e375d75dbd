package queue

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// maxConsecutive is how many consecutive slots the requests of one urgency receive while
// less urgent requests wait. The next slot goes to a less urgent request, so that a quarter
// of the slots remains for those and they are not starved.
const maxConsecutive = 3

// nextUrgency returns the urgency that gets the next slot, or false if no request waits.
func (q *Queue) nextUrgency() (fleetconfig.Urgency, bool) {
	urgency, found := q.mostUrgent(0)
	for found && q.consecutive[urgency] >= maxConsecutive {
		next, further := q.mostUrgent(urgency + 1)
		if !further {
			break
		}
		urgency = next
	}
	return urgency, found
}

// mostUrgent returns the most urgent urgency with waiting requests, among the given one and
// the less urgent ones. It returns false if there is none.
func (q *Queue) mostUrgent(from fleetconfig.Urgency) (fleetconfig.Urgency, bool) {
	best, found := fleetconfig.LeastUrgent, false
	for _, account := range q.backlog {
		if account.urgency >= from && account.urgency <= best {
			best, found = account.urgency, true
		}
	}
	return best, found
}

// recordStart records that a request of the urgency has received a slot.
func (q *Queue) recordStart(urgency fleetconfig.Urgency) {
	for moreUrgent := range q.consecutive {
		if moreUrgent < urgency {
			delete(q.consecutive, moreUrgent)
		}
	}
	if urgency == fleetconfig.LeastUrgent {
		return
	}
	if _, waits := q.mostUrgent(urgency + 1); waits {
		q.consecutive[urgency]++
	} else {
		delete(q.consecutive, urgency)
	}
}

// urgencyToShed returns the urgency that loses a request when the queue is full: the least
// urgent one with more waiting requests than its share of the queue, or else the least
// urgent one.
func (q *Queue) urgencyToShed() fleetconfig.Urgency {
	var least fleetconfig.Urgency
	waiting := make(map[fleetconfig.Urgency]int)
	for _, account := range q.backlog {
		waiting[account.urgency] += len(account.items)
		least = max(least, account.urgency)
	}
	var chosen fleetconfig.Urgency
	found := false
	for urgency, count := range waiting {
		if count > q.length/(maxConsecutive+1) && (!found || urgency > chosen) {
			chosen, found = urgency, true
		}
	}
	if !found {
		return least
	}
	return chosen
}

// waitForSlot estimates, while no slot is free, the time until a request of the account gets
// one. own is how many requests of the same account precede it.
func (q *Queue) waitForSlot(account *accountQueue, own int) time.Duration {
	var moreUrgent, equallyUrgent, lessUrgent time.Duration
	for _, other := range q.backlog {
		switch {
		case other == account:
			equallyUrgent += q.workOf(other.items[:own])
		case other.urgency < account.urgency:
			moreUrgent += q.workOf(other.items)
		case other.urgency == account.urgency:
			equallyUrgent += q.workOf(other.items[:min(len(other.items), own+1)])
		default:
			lessUrgent += q.workOf(other.items)
		}
	}
	return waitBehind(q.perSlot(q.serviceTime), q.perSlot(moreUrgent), q.perSlot(equallyUrgent), q.perSlot(lessUrgent))
}
