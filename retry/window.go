package retry

import "time"

// windowSlots is how many slots a window is divided into. With more slots, an allowance
// that was used becomes available again sooner.
const windowSlots = 10

// minSlotLength is the shortest length of a slot, so that new slots do not start too often
// if the window is very short.
const minSlotLength = time.Millisecond

// window counts the requests and retries of the most recent period of a fixed length, in
// slots. It allows retries for failures that occur at the same time: the allowance of the
// whole window can be used at once, whereas a bucket that fills evenly holds only one or
// two retries at each of many proxies.
type window struct {
	slotLength time.Duration
	// slots is a ring buffer. It has windowSlots + 1 slots, because the window begins
	// within the oldest slot. Only a part of the oldest slot still belongs to the window, so
	// its retries count and its requests do not.
	slots [windowSlots + 1]slot
	// current is the number of the current slot, counted from startedAt.
	current   int64
	startedAt time.Time
}

type slot struct {
	requests, retries int
}

func newWindow(length time.Duration, now time.Time) *window {
	return &window{slotLength: max(length/windowSlots, minSlotLength), startedAt: now}
}

// advance clears the slots that have started since the last call.
func (w *window) advance(now time.Time) {
	number := int64(now.Sub(w.startedAt) / w.slotLength)
	for ; w.current < number && number-w.current <= int64(len(w.slots)); w.current++ {
		*w.at(w.current + 1) = slot{}
	}
	if w.current < number {
		w.slots = [windowSlots + 1]slot{}
		w.current = number
	}
}

func (w *window) at(number int64) *slot { return &w.slots[number%int64(len(w.slots))] }

// request counts a request.
func (w *window) request(now time.Time) {
	w.advance(now)
	w.at(w.current).requests++
}

// take counts a retry and reports true, unless the window's retries would then exceed the
// share of its requests plus the floor.
func (w *window) take(share, floor float64, now time.Time) bool {
	requests, retries := w.counts(now)
	if float64(retries+1) > share*float64(requests)+floor {
		return false
	}
	w.at(w.current).retries++
	return true
}

// counts returns the requests and retries that count in the window that ends now.
func (w *window) counts(now time.Time) (requests, retries int) {
	w.advance(now)
	for i := range w.slots {
		retries += w.slots[i].retries
		requests += w.slots[i].requests
	}
	requests -= w.at(w.current + 1).requests // The oldest slot.
	return requests, retries
}
