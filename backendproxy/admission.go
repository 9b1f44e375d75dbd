package backendproxy

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/queue"
)

// admission shares the slots of one backend server between the requests that want
// one. It drives a queue.Queue and is safe for concurrent use.
type admission struct {
	mu      sync.Mutex
	queue   *queue.Queue
	slots   int
	length  int
	next    queue.ItemID
	waiting map[queue.ItemID]chan queue.Action
}

func newAdmission(slots, length int) *admission {
	return &admission{
		queue:   queue.New(slots, length),
		slots:   slots,
		length:  length,
		waiting: make(map[queue.ItemID]chan queue.Action),
	}
}

// enter waits for a slot. It returns the item that holds one, or why there is
// none; the request has not run then.
func (a *admission) enter(ctx context.Context, item queue.Item) (queue.ItemID, *queue.Refuse) {
	decision := a.offer(&item)
	select {
	case action := <-decision:
		return decided(item.ID, action)
	case <-ctx.Done():
	}
	a.cancel(item.ID)
	// Every offered item is decided exactly once, by the cancellation at the latest.
	return decided(item.ID, <-decision)
}

func decided(id queue.ItemID, action queue.Action) (queue.ItemID, *queue.Refuse) {
	if refuse, refused := action.(queue.Refuse); refused {
		return 0, &refuse
	}
	return id, nil
}

func (a *admission) offer(item *queue.Item) chan queue.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	item.ID = a.next
	decision := make(chan queue.Action, 1)
	a.waiting[item.ID] = decision
	a.deliver(a.queue.Offer(*item, clock.Now()))
	return decision
}

func (a *admission) cancel(id queue.ItemID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.queue.Cancel(id))
}

// leave gives the slot of an item back.
func (a *admission) leave(id queue.ItemID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.queue.Done(id, clock.Now()))
}

func (a *admission) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.queue.Tick(now))
}

func (a *admission) drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.queue.Drain())
}

func (a *admission) setLimits(slots, length int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.slots == slots && a.length == length {
		return
	}
	a.slots, a.length = slots, length
	a.deliver(a.queue.SetLimits(slots, length, clock.Now()))
}

func (a *admission) load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Load{Running: a.queue.Running(), Queued: a.queue.Waiting(), Slots: a.slots}
}

// deliver tells the waiting requests what was decided. The caller holds the lock.
// Each channel holds one decision, and each request is decided once.
func (a *admission) deliver(actions []queue.Action) {
	for _, action := range actions {
		var id queue.ItemID
		switch action := action.(type) {
		case queue.Run:
			id = action.ID
		case queue.Refuse:
			id = action.ID
		}
		if decision := a.waiting[id]; decision != nil {
			delete(a.waiting, id)
			decision <- action
		}
	}
}
