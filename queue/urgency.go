package queue

import "github.com/hemlockring/hemlockring/fleetconfig"

// passesInTurn is how many slots requests of one urgency take in a row while less
// urgent ones wait. The next slot is for those, so that a quarter is left to them and
// none is starved.
const passesInTurn = 3

// turn returns the urgency that the next slot is for, and false when nothing waits.
func (q *Queue) turn() (fleetconfig.Urgency, bool) {
	urgency, found := q.mostUrgent(0)
	for found && q.passes[urgency] >= passesInTurn {
		next, further := q.mostUrgent(urgency + 1)
		if !further {
			break
		}
		urgency = next
	}
	return urgency, found
}

// mostUrgent returns the most urgent of what waits, from the given urgency on.
func (q *Queue) mostUrgent(from fleetconfig.Urgency) (fleetconfig.Urgency, bool) {
	best, found := fleetconfig.LeastUrgent, false
	for _, owner := range q.backlog {
		if owner.urgency >= from && owner.urgency <= best {
			best, found = owner.urgency, true
		}
	}
	return best, found
}

// tookTurn notes that a request of the urgency has got a slot.
func (q *Queue) tookTurn(urgency fleetconfig.Urgency) {
	for passing := range q.passes {
		if passing < urgency {
			delete(q.passes, passing)
		}
	}
	if urgency == fleetconfig.LeastUrgent {
		return
	}
	if _, waits := q.mostUrgent(urgency + 1); waits {
		q.passes[urgency]++
	} else {
		delete(q.passes, urgency)
	}
}

// givesWay returns the urgency that gives up a request when the queue is full: the
// least urgent one that has more than its part of the places.
func (q *Queue) givesWay() fleetconfig.Urgency {
	var least fleetconfig.Urgency
	waiting := make(map[fleetconfig.Urgency]int)
	for _, owner := range q.backlog {
		waiting[owner.urgency] += len(owner.items)
		least = max(least, owner.urgency)
	}
	var chosen fleetconfig.Urgency
	found := false
	for urgency, count := range waiting {
		if count > q.length/(passesInTurn+1) && (!found || urgency > chosen) {
			chosen, found = urgency, true
		}
	}
	if !found {
		return least
	}
	return chosen
}

// ahead returns how many requests get a slot before one of the owner with so many of
// its own before it.
func (q *Queue) ahead(owner *account, own int) int {
	var urgent, equal, behind int
	for _, other := range q.backlog {
		switch {
		case other.urgency < owner.urgency:
			urgent += len(other.items)
		case other.urgency == owner.urgency:
			equal += min(len(other.items), own+1)
		default:
			behind += len(other.items)
		}
	}
	total := max(equal, own) + 1
	total += min(urgent, passesInTurn*total)
	return total + min(behind, total/passesInTurn)
}
