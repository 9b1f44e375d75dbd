package control

import (
	"context"
	cryptorand "crypto/rand"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/consensus"
	"github.com/hemlockring/hemlockring/storage"
)

// ticksPerHeartbeat is the number of ticks of the consensus node per heartbeat
// interval.
const ticksPerHeartbeat = 3

// loop owns the consensus node, the log store and the waiters while the node is
// served. Its methods run on the goroutine of Serve, so its fields need no lock.
type loop struct {
	*Node
	node            *consensus.Node
	store           *storage.LogStore
	senders         *senders
	waiters         waiters
	nextHeartbeatAt time.Time
	role            consensus.Role
	// caughtUpTerm is the latest term in which this instance led and its state machine
	// had applied all entries that earlier leaders committed.
	caughtUpTerm uint64
	// unsyncedCall is the call that has run and whose changes are not synced yet.
	unsyncedCall *loopCall
}

// Serve runs the node until the context ends or an error occurs. It opens the files
// each time it is called, so a restart after a failed write continues from the
// contents of the disk. When the context ends, a leader transfers the leadership
// before Serve returns.
func (n *Node) Serve(ctx context.Context) error {
	l, err := n.open()
	if err != nil {
		n.config.Logger.Error("opening the replicated log failed", "error", err)
		return stopOnCorruption(err)
	}
	taskCtx, cancel := context.WithCancel(context.Background())
	l.senders = newSenders(taskCtx, n)
	var tasks sync.WaitGroup
	tasks.Go(func() { n.bootstrap(taskCtx) })
	if n.config.Group != nil {
		tasks.Go(func() { n.repairMembership(taskCtx) })
	}
	err = l.run(ctx)
	l.senders.flush(n.config.ElectionTimeout)
	cancel()
	tasks.Wait()
	l.senders.wait()
	l.waiters.failAll("the replicated log on this control instance has stopped")
	l.rejectQueued()
	n.published.Store(&publishedState{status: n.published.Load().status})
	return errors.CombineErrors(err, l.store.Close())
}

// stopOnCorruption marks errors that a restart of the service cannot repair, so that
// the supervisor does not restart the service but stops the instance with the error.
func stopOnCorruption(err error) error {
	var corruption *storage.CorruptionError
	var inconsistent *consensus.InconsistentStateError
	if errors.As(err, &corruption) || errors.As(err, &inconsistent) {
		return errors.Join(err, suture.ErrTerminateSupervisorTree)
	}
	return err
}

// open opens the log store and restores the state machine from the stored snapshot.
func (n *Node) open() (*loop, error) {
	store, err := storage.OpenLog(n.config.Files, n.config.Folder, cryptorand.Reader)
	if err != nil {
		return nil, err
	}
	node, err := consensus.New(consensus.Config{
		ID:                  consensus.MemberID(n.config.ID),
		Disk:                store.DiskID(),
		ElectionTimeout:     n.config.ElectionTimeout,
		HeartbeatInterval:   n.config.HeartbeatInterval,
		MaxMessageBytes:     maxMessageBytes,
		MaxUncommittedBytes: maxUncommittedBytes,
		Rand:                rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, store.StoredState(), clock.Now())
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	l := &loop{Node: n, node: node, store: store, waiters: waiters{}}
	snapshot, found, err := store.LoadSnapshot()
	if err == nil && found {
		err = l.restore(snapshot)
	}
	if err != nil {
		return nil, errors.CombineErrors(err, store.Close())
	}
	l.publish(clock.Now())
	return l, nil
}

// run handles events until an error occurs, or the context ends and this instance no
// longer leads. It waits at most one election timeout for the transfer of the
// leadership.
func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(l.config.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	done := ctx.Done()
	var stopAt time.Time
	for {
		select {
		case <-done:
			done = nil
			stopAt = clock.Now().Add(l.config.ElectionTimeout)
			if l.node.TransferLeadership(clock.Now()) != nil {
				return ctx.Err()
			}
		case <-ticker.C:
		case p := <-l.proposals:
			l.proposeBatch(p)
		case batch := <-l.inbox:
			l.stepMessages(batch)
		case call := <-l.loopCalls:
			call.run(l)
			l.unsyncedCall = call
		}
		now := clock.Now()
		l.node.Tick(now)
		if err := l.processReady(now); err != nil {
			return err
		}
		if l.unsyncedCall != nil {
			close(l.unsyncedCall.done)
			l.unsyncedCall = nil
		}
		if !stopAt.IsZero() && (l.node.Role() != consensus.Leader || now.After(stopAt)) {
			return ctx.Err()
		}
	}
}

// stepMessages passes the messages of a received call, and of up to maxBatch-1 calls
// that are queued behind it, to the consensus node.
func (l *loop) stepMessages(batch *messageBatch) {
	for range maxBatch {
		l.senders.learnAddress(batch.from, batch.Address)
		now := clock.Now()
		for _, message := range batch.Messages {
			l.node.Step(now, message)
		}
		select {
		case batch = <-l.inbox:
		default:
			return
		}
	}
}

// proposeBatch proposes a command together with those that are queued behind it, so
// that they are stored with one sync.
func (l *loop) proposeBatch(first *proposal) {
	batch := []*proposal{first}
	commands := [][]byte{first.command}
	size := len(first.command)
	for len(batch) < maxBatch && size < maxMessageBytes && len(l.proposals) > 0 {
		next := <-l.proposals
		batch = append(batch, next)
		commands = append(commands, next.command)
		size += len(next.command)
	}
	index, term, err := l.node.Propose(clock.Now(), commands...)
	for i, p := range batch {
		if err != nil {
			p.done <- outcome{err: l.proposalError(err)}
			continue
		}
		l.waiters[index+uint64(i)] = waiter{term: term, done: p.done}
	}
}

// rejectQueued rejects the proposals that are still queued when Serve ends.
func (l *loop) rejectQueued() {
	for len(l.proposals) > 0 {
		p := <-l.proposals
		p.done <- outcome{err: &BusyError{Reason: "the replicated log on this control instance has stopped"}}
	}
}

// proposalError converts an error of consensus.Node.Propose to NotLeaderError or
// BusyError. The command is not in the log.
func (l *loop) proposalError(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) {
		l.publish(clock.Now())
		return l.notLeaderError()
	}
	return &BusyError{Reason: err.Error()}
}

// processReady carries out the work of each consensus.Ready, then publishes the new
// state. Messages that depend on stored state (Ready.MessagesAfterSync) must be sent,
// and committed entries applied, only after the sync.
func (l *loop) processReady(now time.Time) error {
	for l.node.HasReady() {
		ready := l.node.Ready()
		l.send(ready.Messages)
		if err := l.store.Save(ready); err != nil {
			return errors.Wrap(err, "store log entries")
		}
		if ready.Snapshot != nil {
			if err := l.restore(*ready.Snapshot); err != nil {
				return err
			}
		}
		l.send(ready.MessagesAfterSync)
		for _, entry := range ready.Committed {
			l.apply(entry)
		}
		l.node.Advance()
	}
	if l.node.Role() != consensus.Leader {
		l.waiters.failAll("this control instance lost the leadership")
	}
	if err := l.compact(); err != nil {
		return err
	}
	l.publish(now)
	l.notifyHeartbeat(now)
	return nil
}

// restore replaces the state of the state machine with a snapshot, unless the state
// machine has already applied all entries that the snapshot covers. The initial
// snapshot of a log carries no state.
func (l *loop) restore(snapshot consensus.Snapshot) error {
	if snapshot.Index <= l.appliedIndex {
		return nil
	}
	if snapshot.Index > consensus.InitialSnapshot(consensus.Membership{}).Index {
		if err := l.config.StateMachine.Restore(snapshot.Data); err != nil {
			return errors.Wrap(err, "restore the snapshot")
		}
	}
	l.appliedIndex = snapshot.Index
	return nil
}

// apply applies a committed entry and completes its waiter. It skips entries that the
// state machine has already applied, which is the case after Serve was restarted.
func (l *loop) apply(entry consensus.Entry) {
	var result []byte
	if entry.Index > l.appliedIndex {
		if entry.Kind == consensus.EntryCommand {
			result = l.config.StateMachine.Apply(entry.Index, entry.Data)
		}
		l.appliedIndex = entry.Index
	}
	l.waiters.finish(entry, result)
}

// compact stores a snapshot if the log has reached Config.SnapshotLogBytes, and drops the
// log entries that the snapshot covers, except the last retainedEntries in memory.
func (l *loop) compact() error {
	if l.store.LogSize() < l.config.SnapshotLogBytes {
		return nil
	}
	snapshot := l.node.SnapshotMetadata()
	if snapshot.Index <= l.store.SnapshotIndex() {
		return nil
	}
	data, err := l.config.StateMachine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "take a snapshot")
	}
	snapshot.Data = data
	if err := l.store.Compact(snapshot, l.node.StoredEntries(snapshot.Index)); err != nil {
		return errors.Wrap(err, "store a snapshot")
	}
	l.node.Compact(snapshot, retainedEntries)
	return nil
}

// publish stores the current state for readers on other goroutines, and logs a change
// of role.
func (l *loop) publish(now time.Time) {
	status := newStatus(l.config.ID, l.store.DiskID(), l.node.Status())
	status.LeaderAddress = l.leaderAddress()
	l.published.Store(&publishedState{status: status, leaseEnd: l.node.LeaseEnd(now), confirmedAt: l.leadershipConfirmedAt(now)})
	if role := l.node.Role(); role != l.role {
		l.role = role
		l.config.Logger.Info("role in the replicated log changed",
			"role", role.String(), "term", status.Term, "leader", string(status.Leader))
	}
}

func (l *loop) leaderAddress() string {
	leader := l.node.Leader()
	switch {
	case leader == "":
		return ""
	case leader == consensus.MemberID(l.config.ID):
		return l.config.Address
	default:
		return l.senders.address(leader, l.node.Membership())
	}
}

// notifyHeartbeat calls Config.OnLeaderHeartbeat once per heartbeat interval while
// this instance holds the leader lease.
func (l *loop) notifyHeartbeat(now time.Time) {
	leaseEnd := l.node.LeaseEnd(now)
	if l.config.OnLeaderHeartbeat == nil || now.Before(l.nextHeartbeatAt) || !now.Before(leaseEnd) {
		return
	}
	l.nextHeartbeatAt = now.Add(l.config.HeartbeatInterval)
	l.config.OnLeaderHeartbeat(LeaderHeartbeat{
		Term:           l.node.Term(),
		CommittedIndex: l.published.Load().status.Committed,
		LeaseEnd:       leaseEnd,
	})
}
