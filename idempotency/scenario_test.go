package idempotency

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// newStableSimulation returns five replicas whose group has not changed for long.
func newStableSimulation() *simulation {
	w := newSimulation(nil, 5, rand.New(rand.NewPCG(1, 1)))
	w.now = w.now.Add(testConfig.maxRecordLifetime())
	return w
}

// nodesAt returns the nodes with the given numbers.
func (w *simulation) nodesAt(numbers ...int) []*node {
	var picked []*node
	for _, i := range numbers {
		picked = append(picked, w.nodes[i])
	}
	return picked
}

// restartAndRead restarts a replica and lets it read the given others once its
// claim time has run out.
func (w *simulation) restartAndRead(number int, others ...int) {
	w.restart(w.nodes[number])
	w.now = w.now.Add(testConfig.recoveryWait())
	w.readFrom(number, others...)
}

func (w *simulation) readFrom(number int, others ...int) {
	n := w.nodes[number]
	for _, other := range others {
		for _, read := range n.replica.NextReads(w.now) {
			if read.To == nodeID(other) {
				n.replica.HandleReadReply(read.To, w.nodes[other].replica.ReadPage(read.Request, w.now), w.now)
			}
		}
	}
}

// publishGroup publishes an epoch with the given replicas, without CheckStep.
func (w *simulation) publishGroup(numbers ...int) {
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
			w.start(n)
			w.nodes = append(w.nodes, n)
		}
	}
	w.groups = append(w.groups, next)
}

// claimAndRelease returns the verdict of a claim that does not dispatch.
func (w *simulation) claimAndRelease(account fleetconfig.AccountID, content string) ClaimResult {
	claim := w.newClaim(account, content)
	requestVotes(claim, w.now, w.nodes...)
	verdict := claim.Result()
	release := claim.Settle(OutcomeNotRun, nil).Release
	for _, n := range w.nodes {
		n.replica.Release(*release)
	}
	return verdict
}

func (w *simulation) applyGroup(numbers ...int) {
	for _, n := range w.nodesAt(numbers...) {
		n.replica.SetGroup(w.group(), w.now)
	}
}

// TestAtMostOneClaimGetsMajority holds the schedules that would give two claims a majority if
// one rule were missing. Each returns the verdict of the first claim, then of
// the second.
func TestAtMostOneClaimGetsMajority(t *testing.T) {
	schedules := map[string]func(w *simulation) (a, b *Claim){
		"the vote of a replica that lost its memory is still counted": func(w *simulation) (a, b *Claim) {
			a = w.newClaim("a", "/x")
			requestVotes(a, w.now, w.nodesAt(0)...)
			w.restart(w.nodes[0])
			w.readFrom(0, 2, 3, 4)
			requestVotes(a, w.now, w.nodesAt(1, 2)...)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodesAt(0, 3, 4)...)
			return a, b
		},
		"the replicas that were read never heard of the claim": func(w *simulation) (a, b *Claim) {
			a = w.newClaim("a", "/x")
			requestVotes(a, w.now, w.nodesAt(0, 1, 2)...)
			w.restartAndRead(0, 3, 4)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodesAt(0, 3, 4)...)
			return a, b
		},
		"a second loss follows the first": func(w *simulation) (a, b *Claim) {
			a = w.newClaim("a", "/x")
			requestVotes(a, w.now, w.nodesAt(0, 1, 2)...)
			w.restartAndRead(0, 1, 3, 4)
			w.restartAndRead(1, 0, 3, 4)
			w.restartAndRead(2, 0, 3, 4)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodes...)
			return a, b
		},
		"the release of an older claim comes late and twice": func(w *simulation) (a, b *Claim) {
			old := w.newClaim("a", "/x")
			requestVotes(old, w.now, w.nodesAt(0, 1)...)
			release := *old.Settle(OutcomeNotRun, nil).Release
			for _, n := range w.nodes {
				n.replica.Release(release)
			}
			a = w.newClaim("a", "/x")
			requestVotes(a, w.now, w.nodes...)
			for _, n := range w.nodes {
				n.replica.Release(release)
			}
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodes...)
			return a, b
		},
		"a vote is counted in an epoch that has passed": func(w *simulation) (a, b *Claim) {
			a = w.newClaim("a", "/x")
			w.publishGroup(0, 1, 2, 3, 4, 5)
			w.applyGroup(2, 3, 4, 5)
			w.now = w.now.Add(testConfig.recoveryWait())
			a = NewClaim(testConfig, a.group, a.record, a.fingerprint, a.id, w.now, w.now.Add(testRequestTime))
			requestVotes(a, w.now, w.nodesAt(0, 1)...)
			w.readFrom(5, 2, 3, 4)
			w.publishGroup(1, 2, 3, 4, 5)
			w.applyGroup(2, 3, 4, 5)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodesAt(3, 4, 5)...)
			requestVotes(a, w.now, w.nodesAt(2)...)
			return b, a
		},
		"a new replica reads from replicas of the last epoch": func(w *simulation) (a, b *Claim) {
			w.publishGroup(0, 1, 2, 3, 4, 5)
			w.applyGroup(5)
			w.now = w.now.Add(testConfig.recoveryWait())
			w.readFrom(5, 2, 3, 4)
			last := w.groups[1]
			a = w.newClaim("a", "/x")
			a = NewClaim(testConfig, last, a.record, a.fingerprint, a.id, w.now, w.now.Add(testRequestTime))
			requestVotes(a, w.now, w.nodesAt(0, 1, 2)...)
			w.publishGroup(1, 2, 3, 4, 5)
			w.applyGroup(1, 2, 3, 4, 5)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodesAt(3, 4, 5)...)
			return a, b
		},
		"the shard shrinks to replicas that never heard of the claim": func(w *simulation) (a, b *Claim) {
			a = w.newClaim("a", "/x")
			requestVotes(a, w.now, w.nodesAt(0, 1, 2)...)
			w.publishGroup(1, 2, 3, 4)
			w.applyGroup(1, 2, 3, 4)
			w.publishGroup(2, 3, 4)
			w.applyGroup(2, 3, 4)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodesAt(3, 4)...)
			return a, b
		},
		"the shard has shrunk and a replica that lost its memory reads few": func(w *simulation) (a, b *Claim) {
			a = w.newClaim("a", "/x")
			requestVotes(a, w.now, w.nodesAt(0, 1, 2)...)
			w.publishGroup(1, 2, 3, 4)
			w.applyGroup(1, 2, 3, 4)
			w.restartAndRead(1, 3, 4)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodesAt(1, 3, 4)...)
			return a, b
		},
		"the epochs of the larger shard were skipped": func(w *simulation) (a, b *Claim) {
			a = w.newClaim("a", "/x")
			requestVotes(a, w.now, w.nodesAt(0, 1, 2)...)
			w.publishGroup(1, 2, 3, 4)
			w.applyGroup(2)
			w.publishGroup(2, 3, 4)
			w.applyGroup(2, 3, 4)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodesAt(3, 4)...)
			return a, b
		},
		"a replica was away in epochs that it skipped": func(w *simulation) (a, b *Claim) {
			for i := range w.groups {
				for j := range w.groups[i].Members {
					w.groups[i].Members[j].Joined = 0
				}
			}
			for _, n := range w.nodes {
				w.restart(n)
				n.replica.phase = PhaseReady
			}
			w.publishGroup(1, 2, 3, 4, 5)
			w.applyGroup(1, 2, 3, 4, 5)
			w.now = w.now.Add(testConfig.recoveryWait())
			w.readFrom(5, 2, 3, 4)
			a = w.newClaim("a", "/x")
			requestVotes(a, w.now, w.nodesAt(1, 2, 3)...)
			w.publishGroup(0, 2, 3, 4, 5)
			w.groups[len(w.groups)-1].Members[0].Joined = 0
			w.applyGroup(0, 2, 3, 4, 5)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodesAt(0, 4, 5)...)
			return a, b
		},
		"a replica was away and came back to the same group": func(w *simulation) (a, b *Claim) {
			w.publishGroup(0, 1, 2, 3, 4, 5)
			w.applyGroup(1, 2, 3, 4, 5)
			w.now = w.now.Add(testConfig.recoveryWait())
			w.readFrom(5, 2, 3, 4)
			w.publishGroup(1, 2, 3, 4, 5)
			w.applyGroup(1, 2, 3, 4, 5)
			a = w.newClaim("a", "/x")
			requestVotes(a, w.now, w.nodesAt(1, 2, 5)...)
			w.publishGroup(0, 1, 2, 3, 4, 5)
			w.applyGroup(1, 2, 3, 4, 5)
			w.publishGroup(0, 1, 2, 3, 4)
			w.applyGroup(0, 1, 2, 3, 4, 5)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodesAt(0, 3, 4)...)
			return a, b
		},
		"a replica was away without noticing": func(w *simulation) (a, b *Claim) {
			w.publishGroup(0, 1, 2, 3, 4, 5)
			w.applyGroup(1, 2, 3, 4, 5)
			w.now = w.now.Add(testConfig.recoveryWait())
			w.readFrom(5, 2, 3, 4)
			w.publishGroup(1, 2, 3, 4, 5)
			w.applyGroup(1, 2, 3, 4, 5)
			a = w.newClaim("a", "/x")
			requestVotes(a, w.now, w.nodesAt(1, 2, 3)...)
			w.publishGroup(0, 1, 2, 3, 4, 5)
			w.applyGroup(0, 1, 2, 3, 4, 5)
			w.publishGroup(0, 2, 3, 4, 5)
			w.applyGroup(0, 2, 3, 4, 5)
			b = w.newClaim("a", "/x")
			requestVotes(b, w.now, w.nodesAt(0, 4, 5)...)
			return a, b
		},
	}
	for name, schedule := range schedules {
		t.Run(name, func(t *testing.T) {
			a, b := schedule(newStableSimulation())
			must.Eq(t, ResultClaimed, a.Result().Kind)
			must.NotEq(t, ResultClaimed, b.Result().Kind)
		})
	}
}

// TestCheckStepRejectsUnsafeChanges proves that a shard is never removed from
// twice in a row, and that a step waits for the last one.
func TestCheckStepRejectsUnsafeChanges(t *testing.T) {
	w := newStableSimulation()
	five := w.group()
	w.publishGroup(0, 1, 2, 3)
	must.ErrorIs(t, CheckStep(five, w.group(), w.statuses()), ErrShardShrinks)
	w.groups = w.groups[:2]
	w.publishGroup(0, 1, 2, 3, 4, 5)
	six := w.group()
	must.NoError(t, CheckStep(five, six, w.statuses()))
	must.ErrorIs(t, CheckStep(five, six, w.statuses()[:2]), ErrNotConfirmed)
	w.publishGroup(1, 2, 3, 4, 5)
	must.ErrorIs(t, CheckStep(five, w.group(), w.statuses()), ErrEpochSkipped)
	// All old replicas have taken the epoch up, the new one has not read yet.
	w.groups = w.groups[:3]
	w.applyGroup(0, 1, 2, 3, 4, 5)
	w.publishGroup(1, 2, 3, 4, 5)
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

// TestClaimIgnoresLateAndDuplicateVotes proves that late and doubled answers do not count
// and that a frozen claimant finds its time run out.
func TestClaimIgnoresLateAndDuplicateVotes(t *testing.T) {
	w := newStableSimulation()
	claim := w.newClaim("a", "/x")
	request := claim.VoteRequest(w.now)
	for range 3 {
		claim.HandleVoteReply(nodeID(0), w.nodes[0].replica.Vote(request, w.now), w.now)
	}
	must.Eq(t, ResultPending, claim.Result().Kind)
	late := w.now.Add(testClaimTime)
	claim.HandleVoteReply(nodeID(1), w.nodes[1].replica.Vote(request, w.now), late)
	claim.HandleVoteReply(nodeID(2), w.nodes[2].replica.Vote(request, w.now), late)
	must.Eq(t, ResultNotRun, claim.Result().Kind)

	frozen := w.newClaim("b", "/x")
	requestVotes(frozen, w.now, w.nodes...)
	must.Eq(t, ResultClaimed, frozen.Result().Kind)
	must.False(t, frozen.MayDispatch(late))
	must.NotNil(t, frozen.Settle(OutcomeNotRun, nil).Release)
	must.False(t, frozen.MayDispatch(w.now))
}

// TestReplicasWithoutReadQuorumWaitForRetention loses more memories than a majority
// can cover, and the memory of a group of one.
func TestReplicasWithoutReadQuorumWaitForRetention(t *testing.T) {
	for _, size := range []int{1, 5} {
		w := newSimulation(nil, size, rand.New(rand.NewPCG(1, 1)))
		claim := w.newClaim("a", "/x")
		requestVotes(claim, w.now, w.nodes...)
		must.True(t, claim.MayDispatch(w.now))
		for i := range (size + 1) / 2 {
			w.restart(w.nodes[i])
		}
		for range 20 {
			w.now = w.now.Add(testConfig.maxRecordLifetime() / 21)
			for i := range w.nodes {
				w.readFrom(i, 0, 1, 2, 3, 4)
			}
			must.Eq(t, ClaimResult{Kind: ResultNotRun, Cause: CauseNotReady}, w.claimAndRelease("b", "/x"))
		}
		w.now = w.now.Add(testConfig.maxRecordLifetime() / 10)
		again := w.newClaim("a", "/x")
		requestVotes(again, w.now, w.nodes...)
		must.Eq(t, ResultClaimed, again.Result().Kind)
	}
}

// TestReplicaRestoresFromJournal restores a replica from its changes. It votes at once
// and knows its votes, unless it may have been away meanwhile.
func TestReplicaRestoresFromJournal(t *testing.T) {
	w := newStableSimulation()
	n := w.nodes[0]
	durable := NewReplica(testConfig, n.id, 9, NewBudget(1<<20), true)
	durable.SetGroup(w.groups[0], w.now)
	durable.SetGroup(w.groups[1], w.now)
	n.replica = durable
	claim := w.newClaim("a", "/x")
	requestVotes(claim, w.now, w.nodes...)
	must.True(t, claim.MayDispatch(w.now))
	log := durable.TakeChanges()
	for _, changes := range [][]Change{log, durable.Snapshot(w.now)} {
		w.start(n)
		for i := range changes {
			must.True(t, n.replica.Restore(&changes[i], w.now))
		}
		n.replica.SetGroup(w.group(), w.now)
		must.Eq(t, PhaseReady, n.replica.Phase())
		must.Eq(t, 2, n.replica.earlierMinority.sizeAt(w.now))
		repeat := w.newClaim("a", "/x")
		requestVotes(repeat, w.now, n)
		must.Eq(t, ResultInProgress, repeat.conflict.Kind)
	}
	for _, joined := range []uint64{0, 4} {
		w.start(n)
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
