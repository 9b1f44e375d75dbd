package throttle

import "time"

// tokenTolerance absorbs rounding errors when tokens are compared with one.
const tokenTolerance = 1e-6

// bucket is a token bucket. The zero value is empty and gets no tokens.
type bucket struct {
	// rate is in tokens per second, burst in tokens.
	rate, burst float64
	tokens      float64
	refilledAt  time.Time
}

// setRate changes the parameters and keeps the tokens that the new burst permits.
func (b *bucket) setRate(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst, b.refilledAt = rate, burst, now
	b.tokens = min(b.tokens, burst)
}

// refill adds the tokens for the time since the last call.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.rate)
	b.refilledAt = now
}

// available returns the number of whole tokens.
func (b *bucket) available(now time.Time) int {
	b.refill(now)
	return int(max(0, b.tokens+tokenTolerance))
}

// wait returns the time until n tokens are available.
func (b *bucket) wait(n int, now time.Time) time.Duration {
	b.refill(now)
	missing := float64(n) - b.tokens - tokenTolerance
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}
