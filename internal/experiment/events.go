package experiment

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at     time.Time
	number uint64
	run    func()
}

// eventQueue is a queue of events. Events of the same time run in the order in
// which they were added, so that runs repeat exactly.
type eventQueue struct {
	events []event
	added  uint64
}

func (q *eventQueue) add(at time.Time, run func()) {
	q.added++
	heap.Push(q, event{at: at, number: q.added, run: run})
}

func (q *eventQueue) next() event { return heap.Pop(q).(event) }

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	if !q.events[i].at.Equal(q.events[j].at) {
		return q.events[i].at.Before(q.events[j].at)
	}
	return q.events[i].number < q.events[j].number
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(q.events) - 1
	popped := q.events[last]
	q.events = q.events[:last]
	return popped
}
