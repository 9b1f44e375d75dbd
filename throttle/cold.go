package throttle

import (
	"math"
	"time"
)

const (
	// coldWindow is the time in which the requests to a cold server are bounded by
	// ColdLimit.Bound.
	coldWindow = time.Second
	// returnAfter is the time without requests after which a server may have become cold
	// without this being known. It is not less than coldWindow, so that no request of the
	// last window is forgotten.
	returnAfter = coldWindow
	// arrivalMargin is by how many requests less than its bound a server gets that may be
	// cold, because a request may arrive later than it was admitted.
	arrivalMargin = 2
)

// ColdLimit is the limit on the rate of requests to a backend server while it is cold, that
// is, while it warms up. The zero value is no limit.
type ColdLimit struct {
	// PerSecond is the rate that a cold server tolerates, in requests per second from all
	// ingresses together. Zero means that there is no limit.
	PerSecond float64
	// Bound is the most requests that a cold server may get in any second, including those
	// that were sent before it was known to be cold. Values below PerSecond count as
	// PerSecond.
	Bound float64
	// Start is how long a server is cold after it starts.
	Start time.Duration
}

// perWindow returns the most requests that are sent to a cold server in a coldWindow. It keeps
// below Bound as far as the rate permits: a request that is admitted now may arrive some time
// later, for example if the process is frozen in between.
func (l *ColdLimit) perWindow() int {
	return int(max(1, min(math.Floor(max(l.Bound, l.PerSecond)), math.Ceil(l.PerSecond)+MaxBurst)))
}

// perDoubtfulWindow is perWindow for a server that may be cold. It is near Bound, since most
// such servers are warm.
func (l *ColdLimit) perDoubtfulWindow() int {
	return int(max(1, math.Floor(max(l.Bound, l.PerSecond))-arrivalMargin))
}

// coldState is what is known of a server that is cold from time to time.
type coldState struct {
	limit ColdLimit
	// until is when the server becomes warm, as it has stated.
	until time.Time
	// doubtUntil is until when the server is treated as cold because it may have become
	// cold since its last statement.
	doubtUntil time.Time
	// active says that the server was cold by its statement at the last event. tokens is
	// valid then.
	active bool
	tokens bucket
	// starts holds the times of the requests of the last coldWindow, oldest first.
	starts []time.Time
	// knownSince is since when the requests that were sent are known.
	knownSince time.Time
	// usedAt is when the last request was sent, or when the limit was set before the first.
	usedAt time.Time
}

// SetColdLimit sets the limit while the server is cold. It reports whether the limit has
// changed.
func (t *Throttle) SetColdLimit(limit ColdLimit, now time.Time) bool {
	c := &t.cold
	if c.limit == limit {
		return false
	}
	if c.limit.PerSecond <= 0 {
		c.usedAt = now
	}
	c.limit = limit
	if limit.PerSecond <= 0 {
		*c = coldState{until: c.until, knownSince: c.knownSince}
		return true
	}
	if c.active {
		c.tokens.setRate(limit.PerSecond, MaxBurst, now)
	}
	return true
}

// SetKnownSince sets since when all requests that were sent to the server have been recorded
// with Take. A cold server is sent none in the second after that, because earlier ones, such as
// those of a proxy that has restarted, are not known.
func (t *Throttle) SetKnownSince(since time.Time) { t.cold.knownSince = since }

// SetColdUntil records the server's statement that it is cold until the given time, which is
// not after now if it is warm. It reports whether a limit is in force now or was before.
func (t *Throttle) SetColdUntil(until, now time.Time) bool {
	wasCold := t.coldNow(now)
	t.cold.until, t.cold.doubtUntil = until, time.Time{}
	isCold := t.coldNow(now)
	return wasCold || isCold
}

// coldNow reports whether the server is treated as cold. When it is cold by its statement, the
// rate limit starts without tokens.
func (t *Throttle) coldNow(now time.Time) bool {
	c := &t.cold
	if c.limit.PerSecond <= 0 {
		return false
	}
	c.forgetStarts(now)
	stated := now.Before(c.until)
	if stated && !c.active {
		c.tokens = bucket{}
		c.tokens.setRate(c.limit.PerSecond, MaxBurst, now)
		t.beginAppointments(now)
	}
	c.active = stated
	return now.Before(c.end())
}

// beginAppointments starts the appointments at a server that becomes cold.
func (t *Throttle) beginAppointments(now time.Time) {
	if !t.limited {
		t.appointedUntil = now
	}
}

// perWindow returns the most requests that are sent in a coldWindow.
func (c *coldState) perWindow() int {
	if c.active {
		return c.limit.perWindow()
	}
	return c.limit.perDoubtfulWindow()
}

// perSecond returns the rate at which requests are sent.
func (c *coldState) perSecond() float64 {
	if c.active {
		return c.limit.PerSecond
	}
	return float64(c.limit.perDoubtfulWindow()) / coldWindow.Seconds()
}

// end returns when the server is no longer treated as cold.
func (c *coldState) end() time.Time {
	if c.doubtUntil.After(c.until) {
		return c.doubtUntil
	}
	return c.until
}

// forgetStarts drops the starts before the last coldWindow.
func (c *coldState) forgetStarts(now time.Time) {
	drop := 0
	for drop < len(c.starts) && now.Sub(c.starts[drop]) > coldWindow {
		drop++
	}
	if drop > 0 {
		c.starts = append(c.starts[:0], c.starts[drop:]...)
	}
}

// coldTokens returns how many requests the limit of a cold server admits now.
func (t *Throttle) coldTokens(now time.Time) int {
	if !t.coldNow(now) {
		return math.MaxInt
	}
	if now.Sub(t.cold.knownSince) <= coldWindow {
		return 0
	}
	tokens := max(0, t.cold.perWindow()-len(t.cold.starts))
	if t.cold.active {
		tokens = min(tokens, t.cold.tokens.available(now))
	}
	return tokens
}

// coldWait returns the time until the limit of a cold server admits n requests, at most until
// the server is warm.
func (t *Throttle) coldWait(n int, now time.Time) time.Duration {
	if !t.coldNow(now) {
		return 0
	}
	c := &t.cold
	wait := max(0, coldWindow-now.Sub(c.knownSince)+1)
	if c.active {
		wait = max(wait, c.tokens.wait(n, now))
	}
	if excess := len(c.starts) + n - c.perWindow(); excess > 0 && len(c.starts) > 0 {
		oldest := c.starts[min(excess, len(c.starts))-1]
		wait = max(wait, coldWindow-now.Sub(oldest)+1)
	}
	return min(wait, c.end().Sub(now))
}

// takeCold records that a request is sent. A server that had no request for returnAfter may
// have become cold in the meantime, for example while it was out of service. It then gets no
// more requests than a cold one may get until its next statement.
func (t *Throttle) takeCold(now time.Time) {
	c := &t.cold
	if c.limit.PerSecond <= 0 {
		return
	}
	if !t.coldNow(now) && now.Sub(c.usedAt) > returnAfter && c.limit.Start > 0 {
		c.doubtUntil = now.Add(c.limit.Start)
		t.beginAppointments(now)
	}
	if c.active {
		c.tokens.refill(now)
		c.tokens.tokens--
	}
	c.starts = append(c.starts, now)
	c.usedAt = now
}
