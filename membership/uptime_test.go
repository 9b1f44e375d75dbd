package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// No instance believes that another process has been up for longer than it has, whatever is
// delayed, lost, repeated or restarted: the deadline of a request is converted with this bound,
// so it would be late otherwise.
func TestUptimeIsNeverOverestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "instances")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), n)
		started := make(map[uint64]time.Time)
		note := func() {
			for _, state := range s.states {
				started[state.incarnation] = state.startedAt
			}
		}
		s.loss = float64(rapid.IntRange(0, 4).Draw(t, "tenths lost")) / 10
		note()
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "restart") {
				s.start(simAddress(rapid.IntRange(0, n-1).Draw(t, "instance")))
				note()
			}
			s.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "deciseconds")) * 100 * time.Millisecond)
			for _, at := range s.addresses() {
				for _, member := range s.states[at].Members() {
					elapsed, observedAt, known := s.states[at].Uptime(member.Record.ID, member.Record.Incarnation, s.now)
					if known && elapsed > observedAt.Sub(started[member.Record.Incarnation]) {
						t.Fatalf("%s takes %s for up since %s at %s; it started at %s", at, member.Record.ID, elapsed, observedAt, started[member.Record.Incarnation])
					}
				}
			}
		}
	})
}

// An instance that joins a fleet knows the uptime of each member a few seconds later, and
// each member its own, although it has exchanged messages with few of them.
func TestUptimesReachJoiningInstance(t *testing.T) {
	const n = 9
	s := newSimulation(1, n)
	s.run(20 * time.Second)
	restarted := simAddress(n - 1)
	s.start(restarted)
	s.run(3 * time.Second)
	for _, address := range s.addresses() {
		if address == restarted {
			continue
		}
		for _, pair := range [][2]string{{address, restarted}, {restarted, address}} {
			record := s.view(pair[0], pair[1]).Record
			_, _, known := s.states[pair[0]].Uptime(record.ID, s.states[pair[1]].incarnation, s.now)
			must.True(t, known, must.Sprintf("%s does not know the uptime of %s", pair[0], pair[1]))
		}
	}
}

// What an instance learned about a former process does not apply to the next one.
func TestUptimeOfFormerProcessIsNotUsed(t *testing.T) {
	s := newSimulation(1, 2)
	s.run(5 * time.Second)
	state := s.states[simAddress(0)]
	other := s.view(simAddress(0), simAddress(1)).Record
	_, _, known := state.Uptime(other.ID, other.Incarnation, s.now)
	must.True(t, known)
	next := other
	next.Incarnation++
	state.MergeUpdates([]Update{{Record: next}}, s.now)
	_, _, known = state.Uptime(next.ID, next.Incarnation, s.now)
	must.False(t, known)
	state.MergeUpdates([]Update{{Record: other, UptimeMillis: 9_000}}, s.now)
	_, _, known = state.Uptime(next.ID, next.Incarnation, s.now)
	must.False(t, known)
}

// An instance whose clock was set back starts with a lower incarnation than its former process,
// and supersedes the record of that one. The uptime of the former process must not be taken for
// that of the new one: the dispatch deadlines of all requests would be converted to a clock that
// has ended.
func TestUptimeOfFormerProcessIsNotUsedAfterClockWasSetBack(t *testing.T) {
	s := newSimulation(1, 4)
	s.starts = 100
	s.start(simAddress(3))
	s.run(20 * time.Second)
	s.starts = 50
	s.start(simAddress(3))
	s.run(20 * time.Second)
	process := s.states[simAddress(3)]
	for _, address := range s.addresses()[:3] {
		record := s.view(address, simAddress(3)).Record
		must.Eq(t, process.members[process.self].Record.Incarnation, record.Incarnation)
		_, _, known := s.states[address].Uptime(record.ID, record.Incarnation, s.now)
		must.False(t, known, must.Sprintf("%s takes the uptime of the former process for that of the next", address))
	}
}

// An uptime is forgotten before the drift of the clocks makes it useless.
func TestOldUptimeIsNotUsed(t *testing.T) {
	s := newSimulation(1, 2)
	s.run(5 * time.Second)
	other := s.view(simAddress(0), simAddress(1)).Record
	delete(s.states, simAddress(1))
	_, _, known := s.states[simAddress(0)].Uptime(other.ID, other.Incarnation, s.now.Add(maxUptimeAge+time.Second))
	must.False(t, known)
}
