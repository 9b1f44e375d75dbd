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

// injectEvent applies one random event.
func injectEvent(t *rapid.T, sim *simulation) {
	last := sim.log[len(sim.log)-1]
	p := sim.drawProcess(append(slices.Clone(last.Holders), last.FormerHolders...))
	other := sim.drawProcess(proxies)
	event := rapid.SampledFrom([]string{
		"change", "change", "change", "change", "holders", "elect", "control down", "control up", "restart", "restart",
		"suspend", "resume", "resume", "block link", "isolate", "isolate", "heal", "leader only", "long delays", "short delays",
	}).Draw(t, "event")
	switch event {
	case "change":
		sim.commit(last.Holders)
	case "holders":
		count := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "count")
		sim.commit(rapid.Permutation(proxies).Draw(t, "order")[:count])
	case "elect":
		sim.elect()
		sim.controlDown = false
	case "control down", "control up":
		sim.controlDown = event == "control down"
	case "restart":
		sim.start(p)
	case "suspend", "resume":
		p.suspended = event == "suspend"
	case "block link":
		sim.blockedLinks[[2]fleetconfig.InstanceID{p.id, other.id}] = true
	case "isolate":
		sim.isolate(p, rapid.Bool().Draw(t, "both ways"))
	case "leader only":
		// Only the leader can reach this process, usually a holder or former holder.
		sim.isolate(p, true)
		sim.blockedLinks[[2]fleetconfig.InstanceID{p.id, sim.currentLeadership().host.id}] = false
		sim.blockedLinks[[2]fleetconfig.InstanceID{sim.currentLeadership().host.id, p.id}] = false
	case "heal":
		clear(sim.blockedLinks)
	case "long delays":
		sim.maxDelay = 6 * time.Second
	case "short delays":
		sim.maxDelay = tick
	}
}

// drawProcess draws one of the preferred processes, and occasionally any process.
func (sim *simulation) drawProcess(preferred []fleetconfig.InstanceID) *process {
	if rapid.IntRange(0, 3).Draw(sim.t, "any") == 3 {
		return rapid.SampledFrom(sim.processes).Draw(sim.t, "process")
	}
	return sim.process(rapid.SampledFrom(preferred).Draw(sim.t, "preferred"))
}

func (sim *simulation) isolate(p *process, bothWays bool) {
	for _, other := range sim.processes {
		sim.blockedLinks[[2]fleetconfig.InstanceID{p.id, other.id}] = true
		sim.blockedLinks[[2]fleetconfig.InstanceID{other.id, p.id}] = bothWays
	}
}

func runEvents(t *rapid.T) *simulation {
	sim := newSimulation(t)
	loss := rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "loss percent")
	sim.steps(30, loss)
	for range rapid.IntRange(1, 60).Draw(t, "events") {
		injectEvent(t, sim)
		sim.steps(rapid.IntRange(1, 12).Draw(t, "ticks"), loss)
	}
	return sim
}

func (sim *simulation) steps(count, loss int) {
	for range count {
		sim.step(loss)
	}
}

// endFaults ends all faults and drops the messages in transit. Stopped processes stay
// stopped.
func (sim *simulation) endFaults() {
	clear(sim.blockedLinks)
	sim.maxDelay = tick / 2
	sim.messages = nil
	sim.controlDown = false
	for _, p := range sim.processes {
		p.suspended = false
	}
}

// With delayed, lost and reordered messages, network partitions, suspended and
// restarted processes, and changes of the holders and the leader: no instance may
// admit a withdrawn key later than the revocation bound after the withdrawal was
// accepted, and none may revert to an older version. After the faults end, every
// committed change must take effect everywhere.
func TestWithdrawalBoundAndNoReversion(t *testing.T) {
	admitted, accepted := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := runEvents(t)
		admitted += sim.admitted
		accepted += len(sim.acceptedAt)
		sim.endFaults()
		sim.elect()
		sim.steps(150, 0)
		last := sim.log[len(sim.log)-1].Version
		for _, p := range sim.processes {
			version, serving := p.node.Serving()
			must.True(t, serving, must.Sprint(p.id))
			must.Eq(t, last, version, must.Sprint(p.id))
		}
	})
	// The test is meaningless unless some instances admit requests after a
	// withdrawal.
	must.Positive(t, admitted)
	must.Positive(t, accepted)
}

// All control instances are stopped, as well as all holders except a bare majority,
// and one proxy that is not a holder may be restarted. Every running instance must
// then stay current and keep admitting requests.
func TestNodesStayCurrentWithoutControl(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := runEvents(t)
		sim.endFaults()
		sim.elect()
		sim.steps(150, 0)
		for _, id := range controls {
			sim.process(id).stopped = true
		}
		holders := rapid.Permutation(sim.log[len(sim.log)-1].Holders).Draw(t, "order")
		for _, id := range holders[majority(len(holders)):] {
			sim.process(id).stopped = true
		}
		restarted := rapid.SampledFrom(proxies).Draw(t, "restarted")
		if !slices.Contains(holders, restarted) {
			sim.start(sim.process(restarted))
		}
		sim.steps(60, 0)
		for range 200 {
			sim.step(5)
			for _, p := range sim.processes {
				if !p.stopped {
					current, _ := p.node.Current(p.clock(sim.now))
					must.True(t, current, must.Sprint(p.id))
				}
			}
		}
	})
}

// An instance that is isolated, or whose process was suspended, must not be current
// after MaxAttestationAge. The same applies to an instance that only reaches a
// deposed leader.
func TestNodeCurrencyExpires(t *testing.T) {
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

	// The reply is late: its attestation is assumed to have been 1 s old when the poll
	// was sent, so it is 5 s old now.
	reply := &PollReply{Incarnation: 2, Ready: true, Serving: true, Attested: true, Attestation: leader.Attest(), Age: time.Second}
	node.HandlePollReply("p2", reply, start.Add(time.Minute), start.Add(time.Minute+4*time.Second))
	current, _ = node.Current(start.Add(time.Minute + 4*time.Second))
	must.False(t, current)

	// An attestation of an older term is ignored.
	old := NewLeader(2, Revision{})
	later = start.Add(time.Hour)
	node.HandleLeaderAttestation(old.Attest(), later, later)
	current, _ = node.Current(later)
	must.False(t, current)
}
