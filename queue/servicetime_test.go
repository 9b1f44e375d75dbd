package queue

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// runFor lets a request occupy a slot for the given time.
func runFor(t *testing.T, queue *Queue, id ItemID, held time.Duration, now time.Time) time.Time {
	t.Helper()
	must.Eq(t, []Action{Run{ID: id}}, queue.Offer(Item{ID: id, Deadline: now.Add(time.Minute)}, now))
	queue.Done(id, now.Add(held))
	return now.Add(held)
}

// Guards against a backend server that stays idle forever because earlier requests were
// slow: requests were refused by the estimate although a slot was free.
func TestQueueUsesFreeSlotAfterSlowRequests(t *testing.T) {
	queue := New(2, 10)
	now := epoch
	id := ItemID(0)
	for range 50 {
		id++
		now = runFor(t, queue, id, 6*time.Second, now)
	}
	must.Greater(t, 5*time.Second, queue.ServiceTime())
	id++
	item := Item{ID: id, Deadline: now.Add(4 * time.Second), StartBy: now.Add(400 * time.Millisecond)}
	must.Eq(t, []Action{Run{ID: id}}, queue.Offer(item, now))
	// A request whose latest start has passed is refused even though a slot is free.
	late := Item{ID: id + 1, Deadline: now.Add(4 * time.Second), StartBy: now.Add(-time.Millisecond)}
	must.Len(t, 1, queue.Offer(late, now))
	must.Eq(t, 1, queue.Running())
}

// StartBy limits when a request may start, not how long it may take. A request waits for a
// slot that becomes free by StartBy, even if the service time is longer than that.
func TestQueueKeepsRequestUntilLatestStart(t *testing.T) {
	queue := New(1, 10)
	now := epoch
	for id := ItemID(1); id <= 50; id++ {
		now = runFor(t, queue, id, 800*time.Millisecond, now)
	}
	must.Eq(t, []Action{Run{ID: 100}}, queue.Offer(Item{ID: 100, Deadline: now.Add(time.Minute)}, now))
	now = now.Add(300 * time.Millisecond)
	waits := Item{ID: 101, Deadline: now.Add(5 * time.Second), StartBy: now.Add(time.Second)}
	must.SliceEmpty(t, queue.Offer(waits, now))
	now = now.Add(700 * time.Millisecond)
	must.SliceEmpty(t, queue.Tick(now))
	must.Eq(t, []Action{Run{ID: 101}}, queue.Done(100, now))
}

// A third of the requests hang. They raise the mean service time but not the median.
func TestQueueMedianServiceTimeIgnoresHangingRequests(t *testing.T) {
	queue := New(1, 10)
	now := epoch
	for id := ItemID(1); id <= 300; id++ {
		held := 100 * time.Millisecond
		if id%3 == 0 {
			held = 6 * time.Second
		}
		now = runFor(t, queue, id, held, now)
	}
	must.Greater(t, time.Second, queue.ServiceTime())
	must.Between(t, 50*time.Millisecond, queue.medianServiceTime, 200*time.Millisecond)
}

// Waits are estimated by the times of the requests ahead, not by one time for all, and by the
// server's own slowness.
func TestWaitIsEstimatedByTheTimesOfTheRequestsAhead(t *testing.T) {
	for _, c := range []struct {
		ahead   time.Duration
		refused int
	}{{20 * time.Millisecond, 0}, {2 * time.Second, 1}} {
		queue := New(1, 10)
		now := epoch
		for id := ItemID(1); id <= 50; id++ {
			now = runFor(t, queue, id, 100*time.Millisecond, now)
		}
		must.Len(t, 1, queue.Offer(Item{ID: 100, Deadline: now.Add(time.Minute)}, now))
		must.SliceEmpty(t, queue.Offer(Item{ID: 101, Account: "a", Deadline: now.Add(time.Minute), ServiceTime: c.ahead}, now))
		item := Item{ID: 102, Account: "b", Deadline: now.Add(400 * time.Millisecond), ServiceTime: 100 * time.Millisecond}
		must.Len(t, c.refused, queue.Offer(item, now))
	}
}

// A request that can not be answered before its deadline at a slow server does not wait there.
func TestSlowServerRefusesWhatItWouldAnswerTooLate(t *testing.T) {
	queue := New(1, 10)
	must.Zero(t, queue.Slowness())
	for range 100 {
		queue.RecordResponse(300*time.Millisecond, 100*time.Millisecond)
	}
	must.Between(t, 2.9, queue.Slowness(), 3.1)
	must.Len(t, 1, queue.Offer(Item{ID: 1, Deadline: epoch.Add(time.Minute)}, epoch))
	item := Item{ID: 2, Deadline: epoch.Add(200 * time.Millisecond), ServiceTime: 100 * time.Millisecond}
	must.Len(t, 1, queue.Offer(item, epoch))
	queue.RecordResponse(time.Hour, time.Millisecond)
	must.LessEq(t, MaxSlowness, queue.Slowness())
}
