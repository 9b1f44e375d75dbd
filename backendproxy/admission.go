package backendproxy

import (
	"context"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/queue"
	"github.com/hemlockring/hemlockring/throttle"
)

// admissionQueue assigns the slots of one backend server to requests. It wraps a
// queue.Queue and passes each decision to the goroutine of the request. It is safe for
// concurrent use.
type admissionQueue struct {
	// mu guards all fields below.
	mu          sync.Mutex
	queue       *queue.Queue
	slots       int
	queueLength int
	lastID      queue.ItemID
	// leaving says that the server has announced that its process will end.
	leaving bool
	// waiting holds a channel for each request that the queue has not decided on.
	waiting map[queue.ItemID]chan queue.Action
}

func newAdmissionQueue(slots, length int) *admissionQueue {
	return &admissionQueue{
		queue:       queue.New(slots, length),
		slots:       slots,
		queueLength: length,
		waiting:     make(map[queue.ItemID]chan queue.Action),
	}
}

// acquire waits until the request gets a slot or is refused. When ctx ends first, the
// request is canceled. acquire returns the ID to release the slot with, or the refusal;
// a refused request has not run.
func (a *admissionQueue) acquire(ctx context.Context, item queue.Item) (queue.ItemID, *queue.Refuse) {
	decision := a.enqueue(&item)
	select {
	case action := <-decision:
		return resultOf(item.ID, action)
	case <-ctx.Done():
	}
	a.cancel(item.ID)
	// The queue makes one decision on each item, at the latest when the item is canceled.
	// If the queue assigned a slot just before the cancellation, acquire returns as if ctx
	// had not ended.
	return resultOf(item.ID, <-decision)
}

func resultOf(id queue.ItemID, action queue.Action) (queue.ItemID, *queue.Refuse) {
	if refuse, refused := action.(queue.Refuse); refused {
		return 0, &refuse
	}
	return id, nil
}

// enqueue assigns an ID to the item and adds it to the queue. It returns the channel on
// which the decision is sent.
func (a *admissionQueue) enqueue(item *queue.Item) chan queue.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	item.ID = a.lastID
	decision := make(chan queue.Action, 1)
	a.waiting[item.ID] = decision
	a.deliver(a.queue.Offer(*item, clock.Now()))
	return decision
}

// cancel removes a waiting item from the queue, which refuses it. It has no effect on an
// item that already has a slot.
func (a *admissionQueue) cancel(id queue.ItemID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.queue.Cancel(id))
}

// release frees the slot that the item holds.
func (a *admissionQueue) release(id queue.ItemID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.queue.Done(id, clock.Now()))
}

// tick refuses waiting requests that can no longer start or finish in time.
func (a *admissionQueue) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.queue.Tick(now))
}

// leave drains the queue of a server that has announced that its process will end.
func (a *admissionQueue) leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.drain()
}

// isLeaving reports whether the end of the server's process was announced.
func (a *admissionQueue) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

// drain refuses all waiting and future requests.
func (a *admissionQueue) drain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.queue.Drain())
}

func (a *admissionQueue) setLimits(slots, length int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.slots == slots && a.queueLength == length {
		return
	}
	a.slots, a.queueLength = slots, length
	a.deliver(a.queue.SetLimits(slots, length, clock.Now()))
}

// observeRate records what a response states about the rate. It reports whether the rate
// limit has changed.
func (a *admissionQueue) observeRate(advertised throttle.Advertised, dispatchedAt time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed, actions := a.queue.ObserveRate(advertised, dispatchedAt, clock.Now())
	a.deliver(actions)
	return changed
}

// adoptRate sets the rate that an ingress has learned. It reports whether the rate limit
// has changed.
func (a *admissionQueue) adoptRate(known KnownRate) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed, actions := a.queue.AdoptRate(known.PerSecond, known.Age, clock.Now())
	a.deliver(actions)
	return changed
}

// appointNext returns the time after which the ingress of the last request should send its
// next one.
func (a *admissionQueue) appointNext() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.AppointNext(clock.Now())
}

func (a *admissionQueue) setRateOverage(share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetRateOverage(share, clock.Now())
}

func (a *admissionQueue) setToleratedBacklog(backlog time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetToleratedBacklog(backlog)
}

// setColdLimit sets the limit that holds while the server is cold.
func (a *admissionQueue) setColdLimit(limit throttle.ColdLimit, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.queue.SetColdLimit(limit, now))
}

// setKnownSince sets since when all requests that were sent to the server have passed the queue.
func (a *admissionQueue) setKnownSince(since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetKnownSince(since)
}

// setColdUntil records the server's statement that it is cold until the given time.
func (a *admissionQueue) setColdUntil(until, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.queue.SetColdUntil(until, now))
}

// statedRate returns the rate limit that the server has stated.
func (a *admissionQueue) statedRate() throttle.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.StatedRate(clock.Now())
}

// withheldSlots returns how many slots stay unused because of the rate limit.
func (a *admissionQueue) withheldSlots() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return uint32(a.queue.WithheldSlots())
}

func (a *admissionQueue) load() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Load{
		Running:  a.queue.Running(),
		Queued:   a.queue.Waiting(),
		Slots:    a.slots,
		Rate:     a.queue.RateState(clock.Now()),
		Outlook:  a.queue.Outlook(),
		Slowness: a.queue.Slowness(),
	}
}

// recordResponse records the time after which the server has responded to a request.
func (a *admissionQueue) recordResponse(took, expected time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.RecordResponse(took, expected)
}

// deliver sends decisions to the waiting requests. The caller must hold mu. A send does
// not block: each request gets one decision, and its channel has a buffer of one.
func (a *admissionQueue) deliver(actions []queue.Action) {
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
