package currency

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// disturb lets one thing happen.
func disturb(t *rapid.T, w *world) {
	last := w.log[len(w.log)-1]
	p := w.drawProcess(append(slices.Clone(last.Holders), last.FormerHolders...))
	other := w.drawProcess(proxies)
	event := rapid.SampledFrom([]string{
		"change", "change", "change", "change", "holders", "elect", "away", "back", "restart", "restart",
		"freeze", "thaw", "thaw", "cut", "isolate", "isolate", "heal", "leader only", "slow", "quick",
	}).Draw(t, "event")
	switch event {
	case "change":
		w.commit(last.Holders)
	case "holders":
		count := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "count")
		w.commit(rapid.Permutation(proxies).Draw(t, "order")[:count])
	case "elect":
		w.elect()
		w.away = false
	case "away", "back":
		w.away = event == "away"
	case "restart":
		w.start(p)
	case "freeze", "thaw":
		p.frozen = event == "freeze"
	case "cut":
		w.cuts[[2]fleetconfig.InstanceID{p.id, other.id}] = true
	case "isolate":
		w.isolate(p, rapid.Bool().Draw(t, "both ways"))
	case "leader only":
		// The leader hears one holder, which no one else hears.
		w.isolate(p, true)
		w.cuts[[2]fleetconfig.InstanceID{p.id, w.inOffice().at.id}] = false
		w.cuts[[2]fleetconfig.InstanceID{w.inOffice().at.id, p.id}] = false
	case "heal":
		clear(w.cuts)
	case "slow":
		w.maxDelay = 6 * time.Second
	case "quick":
		w.maxDelay = tick
	}
}

// drawProcess draws one of the preferred processes, and now and then any.
func (w *world) drawProcess(preferred []fleetconfig.InstanceID) *process {
	if rapid.IntRange(0, 3).Draw(w.t, "any") == 3 {
		return rapid.SampledFrom(w.processes).Draw(w.t, "process")
	}
	return w.process(rapid.SampledFrom(preferred).Draw(w.t, "preferred"))
}

func (w *world) isolate(p *process, bothWays bool) {
	for _, other := range w.processes {
		w.cuts[[2]fleetconfig.InstanceID{p.id, other.id}] = true
		w.cuts[[2]fleetconfig.InstanceID{other.id, p.id}] = bothWays
	}
}

func run(t *rapid.T) *world {
	w := newWorld(t)
	loss := rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "loss percent")
	w.steps(30, loss)
	for range rapid.IntRange(1, 60).Draw(t, "events") {
		disturb(t, w)
		w.steps(rapid.IntRange(1, 12).Draw(t, "ticks"), loss)
	}
	return w
}

func (w *world) steps(count, loss int) {
	for range count {
		w.step(loss)
	}
}

func (w *world) heal() {
	clear(w.cuts)
	w.maxDelay = tick / 2
	w.messages = nil
	w.away = false
	for _, p := range w.processes {
		p.frozen = false
	}
}

// Through delayed, lost and reordered messages, cuts, freezes, restarts, changes
// of the holders and of the leader: no instance admits a withdrawn key later than
// Promise after the withdrawal was accepted, and none reverts. Afterwards every
// change that was committed comes into force everywhere.
func TestWithdrawnKeysStopAndNothingReverts(t *testing.T) {
	admitted, accepted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := run(t)
		admitted += w.admitted
		accepted += len(w.acceptedAt)
		w.heal()
		w.elect()
		w.steps(150, 0)
		last := w.log[len(w.log)-1].Version
		for _, p := range w.processes {
			version, serving := p.node.Serving()
			must.True(t, serving, must.Sprint(p.id))
			must.Eq(t, last, version, must.Sprint(p.id))
		}
	})
	// The property is empty unless instances do admit after a withdrawal.
	must.Positive(t, admitted)
	must.Positive(t, accepted)
}

// With all of control away, and as many holders lost as leave a majority, every
// other instance goes on admitting requests.
func TestRequestsGoOnWhileControlIsAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := run(t)
		w.heal()
		w.elect()
		w.steps(150, 0)
		for _, id := range controls {
			w.process(id).stopped = true
		}
		holders := rapid.Permutation(w.log[len(w.log)-1].Holders).Draw(t, "order")
		for _, id := range holders[majority(len(holders)):] {
			w.process(id).stopped = true
		}
		lost := rapid.SampledFrom(proxies).Draw(t, "restarted")
		if !slices.Contains(holders, lost) {
			w.start(w.process(lost))
		}
		w.steps(60, 0)
		for range 200 {
			w.step(5)
			for _, p := range w.processes {
				if !p.stopped {
					current, _ := p.node.Current(p.clock(w.now))
					must.True(t, current, must.Sprint(p.id))
				}
			}
		}
	})
}

// An instance that is cut off alone, or whose process was frozen, is no longer
// current after Limit; one cut off together with a deposed leader neither.
func TestCurrencyRunsOutAlone(t *testing.T) {
	start := time.Time{}.Add(time.Hour)
	leader := NewLeader(3, Revision{})
	node := NewNode("p1", 1, DefaultRevocationBound, start)
	node.HandleLeaderAttestation(leader.Attest(), start, start)
	current, _ := node.Current(start.Add(MaxAttestationAge(DefaultRevocationBound)))
	must.True(t, current)
	later := start.Add(MaxAttestationAge(DefaultRevocationBound) + time.Nanosecond)
	node.HandleLeaderAttestation(leader.Attest(), start, later)
	current, retryAfter := node.Current(later)
	must.False(t, current)
	must.Eq(t, RetryAfter, retryAfter)

	// The answer came late: it counts from when it was asked for.
	answer := &PollReply{Incarnation: 2, Ready: true, Serving: true, Attested: true, Attestation: leader.Attest(), Age: time.Second}
	node.HandlePollReply("p2", answer, start.Add(time.Minute), start.Add(time.Minute+4*time.Second))
	current, _ = node.Current(start.Add(time.Minute + 4*time.Second))
	must.False(t, current)

	// A leader of an older term is not heard.
	old := NewLeader(2, Revision{})
	later = start.Add(time.Hour)
	node.HandleLeaderAttestation(old.Attest(), later, later)
	current, _ = node.Current(later)
	must.False(t, current)
}
