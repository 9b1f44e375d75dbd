package throttle

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// sentWithin returns how many of the times are in the second that ends with now.
func sentWithin(sent []time.Time, now time.Time) int {
	count := 0
	for i := len(sent) - 1; i >= 0 && now.Sub(sent[i]) <= time.Second; i-- {
		count++
	}
	return count
}

// coldRun drives the throttles of successive proxies beside one server.
type coldRun struct {
	limit    ColdLimit
	throttle *Throttle
	now      time.Time
	// coldUntil is what the server has last stated to a proxy.
	coldUntil time.Time
	// silentUntil is until when the server is cold without having stated it.
	silentUntil time.Time
	sent        []time.Time
}

func (r *coldRun) restartProxy() {
	r.throttle = &Throttle{}
	r.throttle.SetKnownSince(r.now)
	r.throttle.SetColdLimit(r.limit, r.now)
}

func (r *coldRun) state(until time.Time) {
	r.coldUntil, r.silentUntil = until, time.Time{}
	r.throttle.SetColdUntil(until, r.now)
}

// send sends as many requests as the limits admit, at most most.
func (r *coldRun) send(t must.T, most int) {
	for range most {
		if r.throttle.TokensWithOverage(r.now) == 0 {
			return
		}
		r.throttle.Take(r.now)
		r.sent = append(r.sent, r.now)
		if r.now.Before(r.coldUntil) || r.now.Before(r.silentUntil) {
			must.LessEq(t, r.limit.Bound, float64(sentWithin(r.sent, r.now)))
		}
	}
}

// From the statement that it is cold on, a server gets at most the bound in every second,
// whatever it got before, advertises or has stated late, and however often its proxy restarts.
// So does one that became cold while it got no requests, before it states this.
func TestColdServerGetsAtMostBoundInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.OneOf(rapid.Float64Range(0.2, 4), rapid.Float64Range(4, 60)).Draw(t, "rate")
		bound := max(1, rate*rapid.Float64Range(1, 2).Draw(t, "overage")) + rapid.Float64Range(0, 9).Draw(t, "slack")
		run := &coldRun{limit: ColdLimit{PerSecond: rate, Bound: bound, Start: 3 * time.Second}, now: start}
		run.restartProxy()
		for range 300 {
			run.now = run.now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "step")) * time.Millisecond)
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				run.state(run.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "cold")) * time.Millisecond))
			case 1:
				run.now = run.now.Add(10 * time.Second)
				run.silentUntil = run.now.Add(run.limit.Start)
			case 2:
				run.throttle.Observe(Advertised{Kind: KindRate, PerSecond: rapid.Float64Range(0, 90).Draw(t, "advertised")}, run.now, run.now)
			case 3:
				run.throttle.Observe(Advertised{}, run.now.Add(1), run.now)
			case 4:
				until := run.coldUntil
				if run.silentUntil.After(until) {
					until = run.silentUntil
				}
				run.restartProxy()
				run.state(until)
			}
			run.send(t, rapid.IntRange(0, 20).Draw(t, "offered"))
			if wait := run.throttle.Wait(1, run.now); run.throttle.TokensWithOverage(run.now) == 0 {
				must.Positive(t, wait)
			}
		}
	})
}

// A server that is cold gets its rate a second after its proxy has restarted, and any rate as
// soon as it is warm.
func TestColdServerGetsItsRateUntilItIsWarm(t *testing.T) {
	run := &coldRun{limit: ColdLimit{PerSecond: 12, Bound: 26, Start: 3 * time.Second}, now: start}
	run.restartProxy()
	run.state(start.Add(3 * time.Second))
	for run.now.Before(run.coldUntil) {
		run.send(t, 5)
		run.now = run.now.Add(20 * time.Millisecond)
	}
	must.Between(t, 24, len(run.sent), 26)
	must.Eq(t, math.MaxInt, run.throttle.Tokens(run.now))
	must.Zero(t, run.throttle.Wait(9, run.now))
	must.False(t, run.throttle.State(run.now).Limited)
}

// A server may have become cold while it got no requests, and states it only later.
func TestServerThatReturnsIsTreatedAsColdUntilItsStatement(t *testing.T) {
	var limit Throttle
	limit.SetColdLimit(ColdLimit{PerSecond: 12, Bound: 26, Start: 3 * time.Second}, start)
	now := start.Add(500 * time.Millisecond)
	limit.Take(now)
	must.Eq(t, math.MaxInt, limit.Tokens(now))
	now = now.Add(returnAfter + time.Millisecond)
	must.False(t, limit.State(now).Limited)
	limit.Take(now)
	must.Eq(t, 26-arrivalMargin-1, limit.Tokens(now))
	must.False(t, limit.State(now).Limited)
	for limit.Tokens(now) > 0 {
		limit.Take(now)
	}
	must.True(t, limit.State(now).Cold)
	must.Between(t, time.Second, limit.State(now).Wait, time.Second+1)
	must.False(t, limit.StatedState(now).Limited)
	limit.SetColdUntil(now, now)
	must.Eq(t, math.MaxInt, limit.Tokens(now))
}

// No ingress waits for a cold server after it has become warm.
func TestAppointmentsOfColdServerEndWhenItIsWarm(t *testing.T) {
	var limit Throttle
	limit.SetColdLimit(ColdLimit{PerSecond: 2, Bound: 4}, start)
	limit.SetColdUntil(start.Add(3*time.Second), start)
	last := time.Duration(0)
	for range 20 {
		next := limit.Appoint(start)
		must.GreaterEq(t, last, next)
		last = next
	}
	must.Eq(t, 3*time.Second, last)
}

// Without a cold rate in the configuration, nothing changes.
func TestServerWithoutColdRateIsNotLimited(t *testing.T) {
	var limit Throttle
	must.False(t, limit.SetColdLimit(ColdLimit{}, start))
	limit.SetColdUntil(start.Add(time.Minute), start)
	for range 100 {
		limit.Take(start)
	}
	must.Eq(t, math.MaxInt, limit.Tokens(start))
	must.Eq(t, State{}, limit.State(start))
}
