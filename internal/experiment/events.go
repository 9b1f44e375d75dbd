package experiment

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point of virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue is a priority queue of events. Events with equal times run in the order in
// which they were added, which makes runs deterministic.
type eventQueue struct {
	events []event
	added  uint64
}

func (q *eventQueue) add(at time.Time, run func()) {
	q.added++
	heap.Push(q, event{at: at, sequence: q.added, run: run})
}

func (q *eventQueue) next() event { return heap.Pop(q).(event) }

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	if !q.events[i].at.Equal(q.events[j].at) {
		return q.events[i].at.Before(q.events[j].at)
	}
	return q.events[i].sequence < q.events[j].sequence
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
