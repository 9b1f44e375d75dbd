package throttle

import (
	"time"
)

const (
	// MaxBurst is how many unused tokens accumulate. It does not grow with the rate, because
	// the rate may be lowered right after a burst.
	MaxBurst = 2
	// MinRate is the rate, in requests per second, that is admitted to a server that
	// advertises less. Only the responses to these requests show when its limit ends.
	MinRate = 0.5
	// MaxAdoptedAge is the maximum age of a rate that a restarted proxy adopts.
	MaxAdoptedAge = time.Minute
	// overageRate is the least overage, in requests per second, of a limit with an overage.
	// With a share of a low rate alone, servers would get no additional request for seconds.
	overageRate = 0.5
	// maxAppointment bounds the times that Appoint returns.
	maxAppointment = 15 * time.Second
)

// Throttle is the limit on the rate of requests to one backend server. The zero value
// admits any rate. It is not safe for concurrent use.
type Throttle struct {
	limited bool
	// rate is the advertised rate in requests per second.
	rate float64
	// learnedAt is when the current rate was learned.
	learnedAt time.Time
	// observed says that a response of the server has been observed.
	observed bool
	// overage is by how much the rate may be exceeded, as a share of it.
	overage float64

	// regular holds the tokens of the advertised rate, total those of the rate including
	// the overage. Every request takes a token of total.
	regular, total bucket
	// appointedUntil is the last time that Appoint has given.
	appointedUntil time.Time

	// cold is the limit while the server is cold. It holds in addition to the advertised
	// rate, without an overage.
	cold coldState
}

// State describes a Throttle.
type State struct {
	// Known says that a response of the server has been observed or a limit is in force.
	Known bool
	// Limited says that a rate limit is in force. The fields below are zero without one.
	Limited bool
	// PerSecond is the rate in requests per second.
	PerSecond float64
	// Age is the time since the rate was learned.
	Age time.Duration
	// Wait is the time until the next request may be sent.
	Wait time.Duration
	// Cold says that the server is limited because it is cold, or may be. PerSecond is then at
	// most the rate at which it is sent requests for this reason.
	Cold bool
}

// SetOverage sets by how much the advertised rate may be exceeded, as a share of it, for
// requests that no other backend server can run at once. The default is zero.
func (t *Throttle) SetOverage(share float64, now time.Time) {
	if t.overage == share {
		return
	}
	t.overage = share
	t.setBuckets(now)
}

// Observe records what a response states about the rate. dispatchedAt is when the request
// was sent to the server. Observe reports whether the limit has changed.
func (t *Throttle) Observe(advertised Advertised, dispatchedAt, now time.Time) bool {
	if advertised.Kind == KindInvalid {
		return false
	}
	t.observed = true
	relaxes := advertised.Kind == KindNone || advertised.PerSecond > t.rate
	switch {
	case !t.limited && advertised.Kind == KindNone:
		return false
	case t.limited && advertised.Kind == KindRate && advertised.PerSecond == t.rate:
		return false
	case t.limited && relaxes && !dispatchedAt.After(t.learnedAt):
		return false
	case advertised.Kind == KindNone:
		t.limited = false
		t.rate = 0
		t.learnedAt = now
		return true
	}
	t.setRate(advertised.PerSecond, now)
	return true
}

// Adopt sets the rate that an ingress has learned from earlier responses of the server. It
// does so only while no response has been observed, no limit is in force, and the rate is
// at most MaxAdoptedAge old. One token is then available, so that a response can confirm
// the rate. Adopt reports whether the limit has changed.
func (t *Throttle) Adopt(perSecond float64, age time.Duration, now time.Time) bool {
	if t.observed || t.limited || age > MaxAdoptedAge || !(perSecond >= 0) {
		return false
	}
	t.setRate(min(perSecond, MaxRate), now)
	t.regular.tokens, t.total.tokens = 1, 1
	return true
}

func (t *Throttle) setRate(perSecond float64, now time.Time) {
	if !t.limited {
		t.regular = bucket{}
		t.total = bucket{}
		t.appointedUntil = now
	}
	t.limited = true
	t.rate = perSecond
	t.learnedAt = now
	t.setBuckets(now)
}

func (t *Throttle) setBuckets(now time.Time) {
	if t.rate < MinRate {
		t.regular.setRate(MinRate, 1, now)
		t.total.setRate(MinRate, 1, now)
		return
	}
	total := t.rate
	if t.overage > 0 {
		total = t.rate*(1+t.overage) + overageRate
	}
	t.regular.setRate(t.rate, MaxBurst, now)
	t.total.setRate(total, MaxBurst, now)
}

// Limited reports whether a server's advertised rate is in force.
func (t *Throttle) Limited() bool { return t.limited }

// Tokens returns how many requests the limits admit now without the overage, or math.MaxInt
// without a limit.
func (t *Throttle) Tokens(now time.Time) int {
	tokens := t.coldTokens(now)
	if t.limited {
		tokens = min(tokens, t.regular.available(now), t.total.available(now))
	}
	return tokens
}

// TokensWithOverage is like Tokens, but includes the overage.
func (t *Throttle) TokensWithOverage(now time.Time) int {
	tokens := t.coldTokens(now)
	if t.limited {
		tokens = min(tokens, t.total.available(now))
	}
	return tokens
}

// Take records that a request is sent.
func (t *Throttle) Take(now time.Time) {
	t.takeCold(now)
	if !t.limited {
		return
	}
	if t.regular.available(now) > 0 {
		t.regular.tokens--
	}
	t.total.refill(now)
	t.total.tokens--
}

// Wait returns the time until the n-th request from now may be sent, with the overage.
func (t *Throttle) Wait(n int, now time.Time) time.Duration {
	wait := t.coldWait(n, now)
	if t.limited {
		wait = max(wait, t.total.wait(n, now))
	}
	return wait
}

// Appoint returns the time after which an ingress should send its next request. Consecutive
// calls spread the ingresses over the tokens to come, so that few of them find none. While
// only the limit of a cold server is in force, no ingress waits longer than until the server
// is warm.
func (t *Throttle) Appoint(now time.Time) time.Duration {
	state := t.State(now)
	if !state.Limited {
		return 0
	}
	interval := time.Duration(float64(time.Second) / max(state.PerSecond, MinRate))
	next := t.appointedUntil.Add(interval)
	if earliest := now.Add(state.Wait); next.Before(earliest) {
		next = earliest
	}
	latest := now.Add(maxAppointment)
	if !t.limited && t.cold.end().Before(latest) {
		latest = t.cold.end()
	}
	if next.After(latest) {
		next = latest
	}
	t.appointedUntil = next
	return next.Sub(now)
}

// State returns the state of the throttle. A server that may be cold counts as limited only while
// it can be sent no request.
func (t *Throttle) State(now time.Time) State {
	state := State{Known: t.observed}
	if t.limited {
		state = State{Known: true, Limited: true, PerSecond: t.rate, Age: max(0, now.Sub(t.learnedAt)), Wait: t.regular.wait(1, now)}
	}
	if !t.coldNow(now) || (!t.cold.active && t.coldTokens(now) > 0) {
		return state
	}
	rate := t.cold.perSecond()
	if state.Limited {
		rate = min(rate, state.PerSecond)
	}
	return State{Known: true, Limited: true, PerSecond: rate, Age: state.Age, Wait: max(state.Wait, t.coldWait(1, now)), Cold: true}
}

// StatedState is like State, but leaves out that a server may have become cold since its last
// statement.
func (t *Throttle) StatedState(now time.Time) State {
	if now.Before(t.cold.until) {
		return t.State(now)
	}
	stated := *t
	stated.cold = coldState{}
	return stated.State(now)
}
