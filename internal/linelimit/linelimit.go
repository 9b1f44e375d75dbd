// Package linelimit limits the rate of log lines of one kind, so that the log stays small
// when many requests fail at once.
package linelimit

import (
	"sync"
	"time"
)

// Limiter allows a limited number of lines per second. It is safe for concurrent use.
type Limiter struct {
	maxPerSecond int

	mu            sync.Mutex
	intervalStart time.Time
	allowed       int
	omitted       int
}

// New returns a Limiter that allows maxPerSecond lines per second.
func New(maxPerSecond int) *Limiter { return &Limiter{maxPerSecond: maxPerSecond} }

// Allow reports whether another line may be written now. The first call of each new
// one-second interval also returns the number of lines omitted in the previous interval;
// all other calls return 0.
func (l *Limiter) Allow(now time.Time) (allowed bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.intervalStart) >= time.Second || now.Before(l.intervalStart) {
		omitted = l.omitted
		l.intervalStart, l.allowed, l.omitted = now, 0, 0
	}
	if l.allowed >= l.maxPerSecond {
		l.omitted++
		return false, omitted
	}
	l.allowed++
	return true, omitted
}
