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

// ticksPerHeartbeat is how often the loop looks at the clock.
const ticksPerHeartbeat = 3

// loop owns the log while the node is served. All of it runs on one goroutine.
type loop struct {
	*Node
	node    *consensus.Node
	store   *storage.LogStore
	senders *senders
	waiters waiters
	beatAt  time.Time
	role    consensus.Role
	// readyTerm is the newest term in which the state machine has caught up.
	readyTerm uint64
	// ran is the request that waits for the sync.
	ran *request
}

// Serve runs the node until the context ends. It opens the files anew each time,
// so that a restart after a failed write goes on from what is on the disk. At the
// end a leader hands its role over.
func (n *Node) Serve(ctx context.Context) error {
	l, err := n.open()
	if err != nil {
		n.config.Logger.Error("cannot open the replicated log", "error", err)
		return terminal(err)
	}
	background, cancel := context.WithCancel(context.Background())
	l.senders = newSenders(background, n)
	var helpers sync.WaitGroup
	helpers.Go(func() { n.form(background) })
	if n.config.Group != nil {
		helpers.Go(func() { n.repair(background) })
	}
	err = l.run(ctx)
	l.senders.flush(n.config.ElectionTimeout)
	cancel()
	helpers.Wait()
	l.senders.wait()
	l.waiters.failAll("this control instance stops")
	l.refuseQueued()
	n.view.Store(&view{status: n.view.Load().status})
	return errors.CombineErrors(err, l.store.Close())
}

// terminal marks an error that a restart of the service does not mend: the
// supervisor gives up, and the instance stops with the error.
func terminal(err error) error {
	var damage *storage.CorruptionError
	var inconsistent *consensus.InconsistentStateError
	if errors.As(err, &damage) || errors.As(err, &inconsistent) {
		return errors.Join(err, suture.ErrTerminateSupervisorTree)
	}
	return err
}

// open reads the files and brings the state machine up to the stored snapshot.
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

// run handles events until the context ends and the leadership is handed over.
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
			l.propose(p)
		case e := <-l.inbox:
			l.step(e)
		case r := <-l.requests:
			r.run(l)
			l.ran = r
		}
		now := clock.Now()
		l.node.Tick(now)
		if err := l.work(now); err != nil {
			return err
		}
		if l.ran != nil {
			close(l.ran.done)
			l.ran = nil
		}
		if !stopAt.IsZero() && (l.node.Role() != consensus.Leader || now.After(stopAt)) {
			return ctx.Err()
		}
	}
}

// step hands a call's messages to the log, and those that wait behind it.
func (l *loop) step(e *envelope) {
	for range maxBatch {
		l.senders.learn(e.from, e.Address)
		now := clock.Now()
		for _, message := range e.Messages {
			l.node.Step(now, message)
		}
		select {
		case e = <-l.inbox:
		default:
			return
		}
	}
}

// propose appends a proposal and those that wait behind it: they share a sync.
func (l *loop) propose(first *proposal) {
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

// refuseQueued refuses the proposals that were not taken up before the end.
func (l *loop) refuseQueued() {
	for len(l.proposals) > 0 {
		p := <-l.proposals
		p.done <- outcome{err: &BusyError{Reason: "this control instance stops"}}
	}
}

// proposalError gives an error of the log its public kind. The command is not in
// the log.
func (l *loop) proposalError(err error) error {
	if errors.Is(err, consensus.ErrNotLeader) {
		l.publish(clock.Now())
		return l.notLeader()
	}
	return &BusyError{Reason: err.Error()}
}

// work does what the log asks for. The order matters: messages that promise
// something are sent, and entries are applied, only after the sync.
func (l *loop) work(now time.Time) error {
	for l.node.HasReady() {
		ready := l.node.Ready()
		l.send(ready.Messages)
		if err := l.store.Save(ready); err != nil {
			return errors.Wrap(err, "store the log")
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
	l.beat(now)
	return nil
}

// restore replaces the application's state, unless it is newer already. The
// initial snapshot of a log has no state.
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

// apply executes a committed entry, unless the state machine did so before the
// node was served again.
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

// compact replaces a long log by a snapshot.
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

// publish shows the state to other goroutines.
func (l *loop) publish(now time.Time) {
	status := newStatus(l.config.ID, l.store.DiskID(), l.node.Status())
	status.LeaderAddress = l.leaderAddress()
	l.view.Store(&view{status: status, leaseEnd: l.node.LeaseEnd(now), confirmedAt: l.confirmation(now)})
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

// beat tells the application that this instance leads.
func (l *loop) beat(now time.Time) {
	leaseEnd := l.node.LeaseEnd(now)
	if l.config.OnLeaderHeartbeat == nil || now.Before(l.beatAt) || !now.Before(leaseEnd) {
		return
	}
	l.beatAt = now.Add(l.config.HeartbeatInterval)
	l.config.OnLeaderHeartbeat(LeaderHeartbeat{
		Term:           l.node.Term(),
		CommittedIndex: l.view.Load().status.Committed,
		LeaseEnd:       leaseEnd,
	})
}
