// Package linelimit bounds the log lines of one kind, so that the log stays small when
// everything fails at once.
package linelimit

import (
	"sync"
	"time"
)

// Limiter permits a number of lines a second. It is safe for concurrent use.
type Limiter struct {
	most int

	mu      sync.Mutex
	second  time.Time
	lines   int
	omitted int
}

// New returns a limiter of most lines a second.
func New(most int) *Limiter { return &Limiter{most: most} }

// Allow reports whether one more line may be written. omitted is how many were not in
// the second before; it is told once.
func (l *Limiter) Allow(now time.Time) (permitted bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second || now.Before(l.second) {
		omitted = l.omitted
		l.second, l.lines, l.omitted = now, 0, 0
	}
	if l.lines >= l.most {
		l.omitted++
		return false, omitted
	}
	l.lines++
	return true, omitted
}
