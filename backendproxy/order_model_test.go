package backendproxy

import (
	"context"
	"testing"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/serverexit"
)

// newsEvent is one piece of news about the backend servers at one address: two processes of the
// server "one", and the server "two", which starts after both.
type newsEvent int

const (
	newsFirstReady newsEvent = iota
	newsFirstReadyAgain
	newsFirstDraining
	// newsFirstLeaves is the departure of the first process. It names no process.
	newsFirstLeaves
	newsFirstCrashes
	newsSecondReady
	newsSecondReadyAgain
	newsOtherReady
	// newsInstanceRestarts starts the instance again, which then knows only the exits that it has
	// acknowledged.
	newsInstanceRestarts
	newsEvents
)

// newsModel says which processes must and which must not be in service, from what has arrived
// since the instance was started and from the exits that were acknowledged before.
type newsModel struct {
	secondStart                                                             time.Time
	firstSeen, firstSeenDraining, firstCrashed, left, secondSeen, otherSeen bool
	secondSeenAt                                                            time.Time
	secondSequence                                                          uint64
	// secondMayBeOut says that the departure may count as that of the second process.
	secondMayBeOut bool
	// drainingKept says that the draining of the first process outlives a restart of the
	// instance, firstMayBeOut that it may.
	drainingKept, firstMayBeOut bool
}

func (m *newsModel) apply(event newsEvent, now time.Time) {
	firstCounts := !m.left && !m.secondSeen && !m.otherSeen
	switch event {
	case newsFirstReady, newsFirstReadyAgain:
		m.firstSeen = m.firstSeen || firstCounts
	case newsFirstDraining:
		m.firstSeen = m.firstSeen || firstCounts
		m.firstSeenDraining = true
		m.drainingKept = m.drainingKept || (firstCounts && !m.firstCrashed)
		m.firstMayBeOut = true
	case newsFirstLeaves:
		unknown := !m.firstSeen && !m.secondSeen && now.Sub(m.secondStart) >= lateLeaveTime
		m.secondMayBeOut = m.secondMayBeOut || m.secondSeen || unknown
		m.left = true
	case newsFirstCrashes:
		m.firstCrashed = m.firstCrashed || m.firstSeen
	case newsSecondReady, newsSecondReadyAgain:
		sequence := uint64(1 + event - newsSecondReady)
		if m.secondSeen && sequence > m.secondSequence && now.Sub(m.secondSeenAt) < lateLeaveTime {
			m.secondMayBeOut = false
		}
		if !m.secondSeen {
			m.secondSeen, m.secondSeenAt = true, now
		}
		m.secondSequence = max(m.secondSequence, sequence)
	case newsOtherReady:
		m.otherSeen = true
	case newsInstanceRestarts:
		*m = newsModel{
			secondStart: m.secondStart, left: m.left, secondMayBeOut: m.secondMayBeOut,
			firstSeenDraining: m.drainingKept, drainingKept: m.drainingKept, firstMayBeOut: m.firstMayBeOut,
		}
	}
}

// violation returns what is wrong with the processes in service, or an empty text.
func (m *newsModel) violation(first, second, other bool) string {
	superseded := m.left || m.secondSeen || m.otherSeen
	switch {
	case first && (superseded || m.firstSeenDraining):
		return "the first process is in service"
	case !first && m.firstSeen && !superseded && !m.firstMayBeOut && !m.firstCrashed:
		return "the first process is out of service"
	case second && m.otherSeen:
		return "the second process is in service at the address of another server"
	case !second && m.secondSeen && !m.otherSeen && !m.secondMayBeOut:
		return "the second process is out of service"
	case !other && m.otherSeen:
		return "the other server is out of service"
	}
	return ""
}

// newsWorld is a registry that receives news, and the other instances, which hold exits.
type newsWorld struct {
	registry                *testRegistry
	witnesses               *serverexit.Store
	now                     time.Time
	firstStart, secondStart int64
	otherStart              int64
}

func (w *newsWorld) announce(t *testing.T, id string, start int64, sequence uint64, state string, now time.Time) {
	t.Helper()
	err := w.registry.Announce(fleetconfig.BackendServerID(id), Announcement{
		Service: "catalogue", Address: "127.0.0.1:80", Slots: 1, State: state,
		LifetimeMillis: MaxLifetime.Milliseconds(), ProcessStartUnixMilli: start, Sequence: sequence,
	}, now)
	if err == nil {
		err = w.registry.ConfirmExit(t.Context(), fleetconfig.BackendServerID(id))
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (w *newsWorld) apply(t *testing.T, event newsEvent, now time.Time) {
	t.Helper()
	w.now = now
	switch event {
	case newsFirstReady, newsFirstReadyAgain:
		w.announce(t, "one", w.firstStart, uint64(1+event-newsFirstReady), StateReady, now)
	case newsFirstDraining:
		w.announce(t, "one", w.firstStart, 3, StateDraining, now)
	case newsFirstLeaves:
		w.registry.Leave("one", now)
		if err := w.registry.ConfirmExit(t.Context(), "one"); err != nil {
			t.Fatal(err)
		}
	case newsFirstCrashes:
		server := w.registry.Registry.servers["one"]
		if server != nil && server.Announcement.ProcessStartUnixMilli == w.firstStart {
			w.registry.markCrashed("one", server.admission, now)
		}
	case newsSecondReady, newsSecondReadyAgain:
		w.announce(t, "one", w.secondStart, uint64(1+event-newsSecondReady), StateReady, now)
	case newsOtherReady:
		w.announce(t, "two", w.otherStart, 1, StateReady, now)
	case newsInstanceRestarts:
		w.startInstance(now, true)
	}
}

func (w *newsWorld) startInstance(now time.Time, restarted bool) {
	w.registry = newTestRegistry()
	w.registry.KeepExits(w, restarted)
	if restarted {
		if err := w.registry.RestoreExits(w.witnesses.Of("self", now), now); err != nil {
			panic(err)
		}
	}
}

// Keep implements ExitKeeper.
func (w *newsWorld) Keep(_ context.Context, record serverexit.Record) error {
	w.witnesses.Put("self", record, w.now)
	return nil
}

// ready reports whether the process is in service.
func (w *newsWorld) ready(start int64) bool {
	for i := range w.registry.servers {
		if w.registry.servers[i].ProcessStartUnixMilli == start {
			return w.registry.servers[i].State == membership.ServerReady
		}
	}
	return false
}

// Guards against requests to a process that has left, and one that is kept out of service, in any order of six pieces of news.
func TestServiceFollowsNewsInEveryOrder(t *testing.T) {
	const length = 6
	for _, pause := range []time.Duration{100 * time.Millisecond, lateLeaveTime + time.Second} {
		var used [newsEvents]bool
		order := make([]newsEvent, 0, length)
		var extend func()
		extend = func() {
			if len(order) == length {
				playNews(t, order, pause)
				return
			}
			for event := range newsEvents {
				if !used[event] {
					used[event] = true
					order = append(order, event)
					extend()
					order = order[:len(order)-1]
					used[event] = false
				}
			}
		}
		extend()
	}
}

func playNews(t *testing.T, order []newsEvent, pause time.Duration) {
	t.Helper()
	now := time.Now()
	world := newsWorld{
		witnesses: serverexit.NewStore(), firstStart: now.Add(-time.Minute).UnixMilli(), secondStart: now.UnixMilli(), otherStart: now.UnixMilli() + 1,
	}
	world.startInstance(now, false)
	model := newsModel{secondStart: now}
	for i, event := range order {
		now = now.Add(pause)
		world.apply(t, event, now)
		model.apply(event, now)
		if problem := model.violation(world.ready(world.firstStart), world.ready(world.secondStart), world.ready(world.otherStart)); problem != "" {
			t.Fatalf("%s after %v, %s apart", problem, order[:i+1], pause)
		}
	}
}
