package retry

import "time"

// windowSlots is how many slots a window is counted in. More slots give an allowance
// back sooner after it was used.
const windowSlots = 10

// minSlot bounds how often slots change under the shortest windows.
const minSlot = time.Millisecond

// window counts requests and retries of the latest time of a fixed length, in slots. It
// answers failures that come together: an allowance for the whole window may be used
// at once, where a bucket that fills evenly holds one or two retries at each of many
// proxies.
type window struct {
	// slot is the length of a slot.
	slot time.Duration
	// slots is a ring. It has one slot more than the window, the oldest, of which a
	// part still belongs to the window: its retries count, its requests do not.
	slots [windowSlots + 1]slot
	// present is the number of the present slot since began.
	present int64
	began   time.Time
}

type slot struct {
	requests, retries int
}

func newWindow(length time.Duration, now time.Time) *window {
	return &window{slot: max(length/windowSlots, minSlot), began: now}
}

// advance empties the slots that have begun since the last call.
func (w *window) advance(now time.Time) {
	number := int64(now.Sub(w.began) / w.slot)
	for ; w.present < number && number-w.present <= int64(len(w.slots)); w.present++ {
		*w.at(w.present + 1) = slot{}
	}
	if w.present < number {
		w.slots = [windowSlots + 1]slot{}
		w.present = number
	}
}

func (w *window) at(number int64) *slot { return &w.slots[number%int64(len(w.slots))] }

// request counts a request.
func (w *window) request(now time.Time) {
	w.advance(now)
	w.at(w.present).requests++
}

// take counts a retry if the window then has no more of them than the share of its
// requests and the floor, and reports whether it did.
func (w *window) take(share, floor float64, now time.Time) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i := range w.slots {
		retries += w.slots[i].retries
		requests += w.slots[i].requests
	}
	requests -= w.at(w.present + 1).requests // The oldest slot.
	if float64(retries+1) > share*float64(requests)+floor {
		return false
	}
	w.at(w.present).retries++
	return true
}
