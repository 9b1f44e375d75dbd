package queue

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// maxOutlookRanks bounds the urgencies in an Outlook. The less urgent ones share the last
// entry.
const maxOutlookRanks = 4

// RankedWork is the work of the waiting requests of one urgency, divided by the slots: the
// time for which they would occupy all slots.
type RankedWork struct {
	Urgency fleetconfig.Urgency
	// Total is the work of all of them, First that of the first request of each account,
	// which get a slot before a request of an account that has none waiting.
	Total, First time.Duration
}

// Outlook says how long a request of each urgency would wait for a slot.
type Outlook struct {
	// NextSlot is the expected time until a slot is released. It is zero while a slot is free
	// and no request waits.
	NextSlot time.Duration
	// Waiting is the work of the waiting requests, the most urgent first.
	Waiting []RankedWork
	// Overloaded says that only requests wait that can meet their latency target.
	Overloaded bool
	// Full says that each request that waits takes the place of another one.
	Full bool
}

// Outlook returns the outlook of a request that is offered now.
func (q *Queue) Outlook() Outlook {
	if len(q.running) < q.slots && q.waiting == 0 {
		return Outlook{}
	}
	outlook := Outlook{
		NextSlot:   max(time.Millisecond, q.perSlot(q.serviceTime)),
		Overloaded: q.overloaded(),
		Full:       q.waiting >= q.length,
	}
	for _, account := range q.backlog {
		outlook.add(RankedWork{
			Urgency: account.urgency,
			Total:   q.perSlot(q.workOf(account.items)),
			First:   q.perSlot(q.work(&account.items[0])),
		})
	}
	outlook.LimitRanks(maxOutlookRanks)
	return outlook
}

func (q *Queue) perSlot(work time.Duration) time.Duration {
	return work / time.Duration(max(1, q.slots))
}

// add adds work to that of its urgency.
func (o *Outlook) add(work RankedWork) {
	index, found := slices.BinarySearchFunc(o.Waiting, work.Urgency, func(w RankedWork, urgency fleetconfig.Urgency) int {
		if w.Urgency < urgency {
			return -1
		}
		return int(min(w.Urgency-urgency, 1))
	})
	if !found {
		o.Waiting = slices.Insert(o.Waiting, index, work)
		return
	}
	o.Waiting[index].Total += work.Total
	o.Waiting[index].First += work.First
}

// LimitRanks merges the least urgent entries until at most count are left. count must be
// positive.
func (o *Outlook) LimitRanks(count int) {
	for len(o.Waiting) > count {
		last := len(o.Waiting) - 1
		o.Waiting[last-1].Total += o.Waiting[last].Total
		o.Waiting[last-1].First += o.Waiting[last].First
		o.Waiting = o.Waiting[:last]
	}
}

// Wait returns the expected time until a request of the urgency gets a slot, if its account
// has no other request waiting. It follows the order of the queue: see maxConsecutive.
func (o *Outlook) Wait(urgency fleetconfig.Urgency) time.Duration {
	var moreUrgent, equallyUrgent, lessUrgent time.Duration
	for _, waiting := range o.Waiting {
		switch {
		case waiting.Urgency < urgency:
			moreUrgent += waiting.Total
		case waiting.Urgency == urgency:
			equallyUrgent += waiting.First
		default:
			lessUrgent += waiting.Total
		}
	}
	return waitBehind(o.NextSlot, moreUrgent, equallyUrgent, lessUrgent)
}

// BacklogAhead returns the expected time until the requests that are at least as urgent as the
// given urgency have got a slot. Unlike Wait it leaves no slots to less urgent requests.
func (o *Outlook) BacklogAhead(urgency fleetconfig.Urgency) time.Duration {
	backlog := o.NextSlot
	for _, waiting := range o.Waiting {
		if waiting.Urgency <= urgency {
			backlog += waiting.Total
		}
	}
	return backlog
}

// Displaces reports whether a full queue would refuse another request instead of one of the
// urgency: a less urgent one waits.
func (o *Outlook) Displaces(urgency fleetconfig.Urgency) bool {
	return len(o.Waiting) > 0 && o.Waiting[len(o.Waiting)-1].Urgency > urgency
}

// waitBehind returns the time until a request gets a slot if the next one is released after
// nextSlot and the given work precedes it, except that the slots are shared with the requests
// of other urgencies as maxConsecutive says.
func waitBehind(nextSlot, moreUrgent, equallyUrgent, lessUrgent time.Duration) time.Duration {
	total := nextSlot + equallyUrgent
	total += min(moreUrgent, maxConsecutive*total)
	return total + min(lessUrgent, total/maxConsecutive)
}
