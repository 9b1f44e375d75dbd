package idempotency

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// scenarioWorld returns five replicas whose group has not changed for long.
func scenarioWorld() *world {
	w := newWorld(nil, 5, rand.New(rand.NewPCG(1, 1)))
	w.now = w.now.Add(testConfig.maxRecordLifetime())
	return w
}

// pick returns the nodes with the given numbers.
func (w *world) pick(numbers ...int) []*node {
	var picked []*node
	for _, i := range numbers {
		picked = append(picked, w.nodes[i])
	}
	return picked
}

// loseMemory restarts a replica and lets it read the given others once its
// claim time has run out.
func (w *world) loseMemory(number int, others ...int) {
	w.crash(w.nodes[number])
	w.now = w.now.Add(testConfig.recoveryWait())
	w.readFrom(number, others...)
}

func (w *world) readFrom(number int, others ...int) {
	n := w.nodes[number]
	for _, other := range others {
		for _, read := range n.replica.NextReads(w.now) {
			if read.To == nodeID(other) {
				n.replica.HandleReadReply(read.To, w.nodes[other].replica.ReadPage(read.Request, w.now), w.now)
			}
		}
	}
}

// nextGroup publishes an epoch with the given replicas, without CheckStep.
func (w *world) nextGroup(numbers ...int) {
	last := w.group()
	next := Group{Epoch: last.Epoch + 1}
	for _, i := range numbers {
		member := Member{ID: nodeID(i), Joined: next.Epoch}
		if j := last.Index(member.ID); j >= 0 {
			member = last.Members[j]
		}
		next.Members = append(next.Members, member)
		for len(w.nodes) <= i {
			n := &node{id: nodeID(len(w.nodes))}
			w.boot(n)
			w.nodes = append(w.nodes, n)
		}
	}
	w.groups = append(w.groups, next)
}

// tryAndRelease returns the verdict of a claim that does not dispatch.
func (w *world) tryAndRelease(account fleetconfig.AccountID, content string) ClaimResult {
	claim := w.claim(account, content)
	exchange(claim, w.now, w.nodes...)
	verdict := claim.Result()
	release := claim.Settle(OutcomeNotRun, nil).Release
	for _, n := range w.nodes {
		n.replica.Release(*release)
	}
	return verdict
}

func (w *world) learn(numbers ...int) {
	for _, n := range w.pick(numbers...) {
		n.replica.SetGroup(w.group(), w.now)
	}
}

// TestOneClaimOnly holds the schedules that would give two claims a majority if
// one rule were missing. Each returns the verdict of the first claim, then of
// the second.
func TestOneClaimOnly(t *testing.T) {
	schedules := map[string]func(w *world) (a, b *Claim){
		"the vote of a replica that lost its memory is still counted": func(w *world) (a, b *Claim) {
			a = w.claim("a", "/x")
			exchange(a, w.now, w.pick(0)...)
			w.crash(w.nodes[0])
			w.readFrom(0, 2, 3, 4)
			exchange(a, w.now, w.pick(1, 2)...)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.pick(0, 3, 4)...)
			return a, b
		},
		"the replicas that were read never heard of the claim": func(w *world) (a, b *Claim) {
			a = w.claim("a", "/x")
			exchange(a, w.now, w.pick(0, 1, 2)...)
			w.loseMemory(0, 3, 4)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.pick(0, 3, 4)...)
			return a, b
		},
		"a second loss follows the first": func(w *world) (a, b *Claim) {
			a = w.claim("a", "/x")
			exchange(a, w.now, w.pick(0, 1, 2)...)
			w.loseMemory(0, 1, 3, 4)
			w.loseMemory(1, 0, 3, 4)
			w.loseMemory(2, 0, 3, 4)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.nodes...)
			return a, b
		},
		"the release of an older claim comes late and twice": func(w *world) (a, b *Claim) {
			old := w.claim("a", "/x")
			exchange(old, w.now, w.pick(0, 1)...)
			release := *old.Settle(OutcomeNotRun, nil).Release
			for _, n := range w.nodes {
				n.replica.Release(release)
			}
			a = w.claim("a", "/x")
			exchange(a, w.now, w.nodes...)
			for _, n := range w.nodes {
				n.replica.Release(release)
			}
			b = w.claim("a", "/x")
			exchange(b, w.now, w.nodes...)
			return a, b
		},
		"a vote is counted in an epoch that has passed": func(w *world) (a, b *Claim) {
			a = w.claim("a", "/x")
			w.nextGroup(0, 1, 2, 3, 4, 5)
			w.learn(2, 3, 4, 5)
			w.now = w.now.Add(testConfig.recoveryWait())
			a = NewClaim(testConfig, a.group, a.record, a.fingerprint, a.id, w.now, w.now.Add(testRequestTime))
			exchange(a, w.now, w.pick(0, 1)...)
			w.readFrom(5, 2, 3, 4)
			w.nextGroup(1, 2, 3, 4, 5)
			w.learn(2, 3, 4, 5)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.pick(3, 4, 5)...)
			exchange(a, w.now, w.pick(2)...)
			return b, a
		},
		"a new replica reads from replicas of the last epoch": func(w *world) (a, b *Claim) {
			w.nextGroup(0, 1, 2, 3, 4, 5)
			w.learn(5)
			w.now = w.now.Add(testConfig.recoveryWait())
			w.readFrom(5, 2, 3, 4)
			last := w.groups[1]
			a = w.claim("a", "/x")
			a = NewClaim(testConfig, last, a.record, a.fingerprint, a.id, w.now, w.now.Add(testRequestTime))
			exchange(a, w.now, w.pick(0, 1, 2)...)
			w.nextGroup(1, 2, 3, 4, 5)
			w.learn(1, 2, 3, 4, 5)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.pick(3, 4, 5)...)
			return a, b
		},
		"the shard shrinks to replicas that never heard of the claim": func(w *world) (a, b *Claim) {
			a = w.claim("a", "/x")
			exchange(a, w.now, w.pick(0, 1, 2)...)
			w.nextGroup(1, 2, 3, 4)
			w.learn(1, 2, 3, 4)
			w.nextGroup(2, 3, 4)
			w.learn(2, 3, 4)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.pick(3, 4)...)
			return a, b
		},
		"the shard has shrunk and a replica that lost its memory reads few": func(w *world) (a, b *Claim) {
			a = w.claim("a", "/x")
			exchange(a, w.now, w.pick(0, 1, 2)...)
			w.nextGroup(1, 2, 3, 4)
			w.learn(1, 2, 3, 4)
			w.loseMemory(1, 3, 4)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.pick(1, 3, 4)...)
			return a, b
		},
		"the epochs of the larger shard were skipped": func(w *world) (a, b *Claim) {
			a = w.claim("a", "/x")
			exchange(a, w.now, w.pick(0, 1, 2)...)
			w.nextGroup(1, 2, 3, 4)
			w.learn(2)
			w.nextGroup(2, 3, 4)
			w.learn(2, 3, 4)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.pick(3, 4)...)
			return a, b
		},
		"a replica was away in epochs that it skipped": func(w *world) (a, b *Claim) {
			for i := range w.groups {
				for j := range w.groups[i].Members {
					w.groups[i].Members[j].Joined = 0
				}
			}
			for _, n := range w.nodes {
				w.crash(n)
				n.replica.phase = PhaseReady
			}
			w.nextGroup(1, 2, 3, 4, 5)
			w.learn(1, 2, 3, 4, 5)
			w.now = w.now.Add(testConfig.recoveryWait())
			w.readFrom(5, 2, 3, 4)
			a = w.claim("a", "/x")
			exchange(a, w.now, w.pick(1, 2, 3)...)
			w.nextGroup(0, 2, 3, 4, 5)
			w.groups[len(w.groups)-1].Members[0].Joined = 0
			w.learn(0, 2, 3, 4, 5)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.pick(0, 4, 5)...)
			return a, b
		},
		"a replica was away and came back to the same group": func(w *world) (a, b *Claim) {
			w.nextGroup(0, 1, 2, 3, 4, 5)
			w.learn(1, 2, 3, 4, 5)
			w.now = w.now.Add(testConfig.recoveryWait())
			w.readFrom(5, 2, 3, 4)
			w.nextGroup(1, 2, 3, 4, 5)
			w.learn(1, 2, 3, 4, 5)
			a = w.claim("a", "/x")
			exchange(a, w.now, w.pick(1, 2, 5)...)
			w.nextGroup(0, 1, 2, 3, 4, 5)
			w.learn(1, 2, 3, 4, 5)
			w.nextGroup(0, 1, 2, 3, 4)
			w.learn(0, 1, 2, 3, 4, 5)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.pick(0, 3, 4)...)
			return a, b
		},
		"a replica was away without noticing": func(w *world) (a, b *Claim) {
			w.nextGroup(0, 1, 2, 3, 4, 5)
			w.learn(1, 2, 3, 4, 5)
			w.now = w.now.Add(testConfig.recoveryWait())
			w.readFrom(5, 2, 3, 4)
			w.nextGroup(1, 2, 3, 4, 5)
			w.learn(1, 2, 3, 4, 5)
			a = w.claim("a", "/x")
			exchange(a, w.now, w.pick(1, 2, 3)...)
			w.nextGroup(0, 1, 2, 3, 4, 5)
			w.learn(0, 1, 2, 3, 4, 5)
			w.nextGroup(0, 2, 3, 4, 5)
			w.learn(0, 2, 3, 4, 5)
			b = w.claim("a", "/x")
			exchange(b, w.now, w.pick(0, 4, 5)...)
			return a, b
		},
	}
	for name, schedule := range schedules {
		t.Run(name, func(t *testing.T) {
			a, b := schedule(scenarioWorld())
			must.Eq(t, ResultClaimed, a.Result().Kind)
			must.NotEq(t, ResultClaimed, b.Result().Kind)
		})
	}
}

// TestCheckStepRefusesSizesThatForget proves that a shard is never removed from
// twice in a row, and that a step waits for the last one.
func TestCheckStepRefusesSizesThatForget(t *testing.T) {
	w := scenarioWorld()
	five := w.group()
	w.nextGroup(0, 1, 2, 3)
	must.ErrorIs(t, CheckStep(five, w.group(), w.statuses()), ErrShardShrinks)
	w.groups = w.groups[:2]
	w.nextGroup(0, 1, 2, 3, 4, 5)
	six := w.group()
	must.NoError(t, CheckStep(five, six, w.statuses()))
	must.ErrorIs(t, CheckStep(five, six, w.statuses()[:2]), ErrNotConfirmed)
	w.nextGroup(1, 2, 3, 4, 5)
	must.ErrorIs(t, CheckStep(five, w.group(), w.statuses()), ErrEpochSkipped)
	// All old replicas have taken the epoch up, the new one has not read yet.
	w.groups = w.groups[:3]
	w.learn(0, 1, 2, 3, 4, 5)
	w.nextGroup(1, 2, 3, 4, 5)
	must.ErrorIs(t, CheckStep(six, w.group(), w.statuses()), ErrNotConfirmed)
	w.now = w.now.Add(testConfig.recoveryWait())
	w.readFrom(5, 2, 3, 4)
	must.NoError(t, CheckStep(six, w.group(), w.statuses()))
	// A proposal without joining epochs is the same step; one that takes a replica
	// out and in again is not.
	proposed := Group{Epoch: w.group().Epoch, Members: slices.Clone(w.group().Members)}
	for i := range proposed.Members {
		proposed.Members[i].Joined = 0
	}
	must.NoError(t, CheckStep(six, proposed, w.statuses()))
	proposed.Members[0].Joined = proposed.Epoch
	must.ErrorIs(t, CheckStep(six, proposed, w.statuses()), ErrStepTooLarge)
}

// TestVotesOutsideTheClaimTime proves that late and doubled answers do not count
// and that a frozen claimant finds its time run out.
func TestVotesOutsideTheClaimTime(t *testing.T) {
	w := scenarioWorld()
	claim := w.claim("a", "/x")
	request := claim.VoteRequest(w.now)
	for range 3 {
		claim.HandleVoteReply(nodeID(0), w.nodes[0].replica.Vote(request, w.now), w.now)
	}
	must.Eq(t, ResultPending, claim.Result().Kind)
	late := w.now.Add(testClaimTime)
	claim.HandleVoteReply(nodeID(1), w.nodes[1].replica.Vote(request, w.now), late)
	claim.HandleVoteReply(nodeID(2), w.nodes[2].replica.Vote(request, w.now), late)
	must.Eq(t, ResultNotRun, claim.Result().Kind)

	frozen := w.claim("b", "/x")
	exchange(frozen, w.now, w.nodes...)
	must.Eq(t, ResultClaimed, frozen.Result().Kind)
	must.False(t, frozen.MayDispatch(late))
	must.NotNil(t, frozen.Settle(OutcomeNotRun, nil).Release)
	must.False(t, frozen.MayDispatch(w.now))
}

// TestUncoveredShardWaitsForTheRetention loses more memories than a majority
// can cover, and the memory of a group of one.
func TestUncoveredShardWaitsForTheRetention(t *testing.T) {
	for _, size := range []int{1, 5} {
		w := newWorld(nil, size, rand.New(rand.NewPCG(1, 1)))
		claim := w.claim("a", "/x")
		exchange(claim, w.now, w.nodes...)
		must.True(t, claim.MayDispatch(w.now))
		for i := range (size + 1) / 2 {
			w.crash(w.nodes[i])
		}
		for range 20 {
			w.now = w.now.Add(testConfig.maxRecordLifetime() / 21)
			for i := range w.nodes {
				w.readFrom(i, 0, 1, 2, 3, 4)
			}
			must.Eq(t, ClaimResult{Kind: ResultNotRun, Cause: CauseNotReady}, w.tryAndRelease("b", "/x"))
		}
		w.now = w.now.Add(testConfig.maxRecordLifetime() / 10)
		again := w.claim("a", "/x")
		exchange(again, w.now, w.nodes...)
		must.Eq(t, ResultClaimed, again.Result().Kind)
	}
}

// TestDiskStandsInForMemory restores a replica from its changes. It votes at once
// and knows its votes, unless it may have been away meanwhile.
func TestDiskStandsInForMemory(t *testing.T) {
	w := scenarioWorld()
	n := w.nodes[0]
	durable := NewReplica(testConfig, n.id, 9, NewBudget(1<<20), true)
	durable.SetGroup(w.groups[0], w.now)
	durable.SetGroup(w.groups[1], w.now)
	n.replica = durable
	claim := w.claim("a", "/x")
	exchange(claim, w.now, w.nodes...)
	must.True(t, claim.MayDispatch(w.now))
	log := durable.TakeChanges()
	for _, changes := range [][]Change{log, durable.Snapshot(w.now)} {
		w.boot(n)
		for i := range changes {
			must.True(t, n.replica.Restore(&changes[i], w.now))
		}
		n.replica.SetGroup(w.group(), w.now)
		must.Eq(t, PhaseReady, n.replica.Phase())
		must.Eq(t, 2, n.replica.earlierMinority.sizeAt(w.now))
		repeat := w.claim("a", "/x")
		exchange(repeat, w.now, n)
		must.Eq(t, ResultInProgress, repeat.conflict.Kind)
	}
	for _, joined := range []uint64{0, 4} {
		w.boot(n)
		for i := range log {
			change := log[i]
			change.Joined = min(change.Joined, joined)
			n.replica.Restore(&change, w.now)
		}
		later := Group{Epoch: 4, Members: []Member{{ID: n.id, Joined: joined}, {ID: "x"}, {ID: "y"}}}
		n.replica.SetGroup(later, w.now)
		must.Eq(t, PhaseWaiting, n.replica.Phase())
	}
}
