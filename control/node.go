package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/consensus"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Node runs the replicated log on one control instance. It is a suture service.
// All methods except Serve are safe for concurrent use; while Serve does not run,
// calls that need the log wait until their context ends.
type Node struct {
	config Config
	// appliedIndex is the index of the last entry that the state machine has applied.
	// Like the state machine, it is kept when Serve is restarted. Only the goroutine of
	// Serve accesses it.
	appliedIndex uint64

	proposals chan *proposal
	inbox     chan *messageBatch
	// loopCalls carries functions to run on the goroutine of Serve.
	loopCalls chan *loopCall
	published atomic.Pointer[publishedState]
}

// publishedState is the state of the loop that other goroutines may read.
type publishedState struct {
	status   Status
	leaseEnd time.Time
	// confirmedAt is the result of loop.leadershipConfirmedAt.
	confirmedAt time.Time
}

// proposal is a command that waits to be proposed. Its outcome is sent to done, which
// has a buffer of one so that the loop never blocks on it.
type proposal struct {
	command []byte
	done    chan outcome
}

// outcome is the result of a proposal.
type outcome struct {
	result []byte
	err    error
}

// Propose replicates a command and returns the result of applying it. It fails with
// [NotLeaderError] or [BusyError] if the command was definitely not proposed, and
// with [OutcomeUnknownError] if it may still be applied.
func (n *Node) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	if len(command) > MaxCommandBytes {
		return nil, &BusyError{Reason: fmt.Sprintf("the command is larger than %d bytes", MaxCommandBytes)}
	}
	if ctx.Err() != nil {
		return nil, &BusyError{Reason: ctx.Err().Error()}
	}
	p := &proposal{command: command, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, &BusyError{Reason: ctx.Err().Error()}
	}
	return awaitOutcome(ctx, p.done)
}

// awaitOutcome waits for the outcome of a proposal. If the context ends first, the
// outcome is unknown.
func awaitOutcome(ctx context.Context, done <-chan outcome) ([]byte, error) {
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &OutcomeUnknownError{Reason: ctx.Err().Error()}
	}
}

// ReadBarrier returns nil if the state machine has applied every command that was
// committed before the call. It fails with [NotLeaderError] if this instance does not
// hold the leader lease or has not applied all of these commands.
func (n *Node) ReadBarrier(ctx context.Context) error {
	var upToDate bool
	err := n.runOnLoop(ctx, func(l *loop) {
		index, ok := l.node.ReadIndex(clock.Now())
		upToDate = ok && n.appliedIndex >= index
	})
	if err != nil {
		return err
	}
	if !upToDate {
		return n.notLeaderError()
	}
	return nil
}

// loopCall is a function to run on the goroutine of Serve. done is closed when its
// changes are synced.
type loopCall struct {
	run  func(*loop)
	done chan struct{}
}

// runOnLoop runs a function on the goroutine of Serve and returns when the changes that
// it made are synced. The caller may read variables that the function sets only if
// runOnLoop returns nil; otherwise the function may still run later.
func (n *Node) runOnLoop(ctx context.Context, run func(*loop)) error {
	call := &loopCall{run: run, done: make(chan struct{})}
	select {
	case n.loopCalls <- call:
	case <-ctx.Done():
		return &BusyError{Reason: ctx.Err().Error()}
	}
	select {
	case <-call.done:
		return nil
	case <-ctx.Done():
		return &OutcomeUnknownError{Reason: ctx.Err().Error()}
	}
}

// IsLeader reports whether this instance holds the leader lease, so that no other
// instance leads now. The lease expires if a majority of the control instances stops
// answering, and also if the loop is blocked for longer than the lease lasts.
func (n *Node) IsLeader() bool {
	return clock.Now().Before(n.published.Load().leaseEnd)
}

// LeaderTerm returns the current term; ok reports whether this instance holds the
// leader lease in it.
func (n *Node) LeaderTerm() (term uint64, ok bool) {
	current := n.published.Load()
	return current.status.Term, clock.Now().Before(current.leaseEnd)
}

// Leader returns the last known leader and its address; ok is false if no leader is
// known.
func (n *Node) Leader() (id fleetconfig.InstanceID, address string, ok bool) {
	status := n.published.Load().status
	return status.Leader, status.LeaderAddress, status.Leader != ""
}

// Status returns the status of the node as of the last event that the loop handled.
func (n *Node) Status() Status {
	return n.published.Load().status
}

// notLeaderError returns a NotLeaderError with the last known leader. If the last known
// leader is this instance, the error names no leader: the lease has expired, or the
// instance cannot serve reads yet (see ReadBarrier).
func (n *Node) notLeaderError() error {
	status := n.published.Load().status
	notLeader := &NotLeaderError{Leader: status.Leader, Address: status.LeaderAddress}
	if notLeader.Leader == n.config.ID {
		notLeader.Leader, notLeader.Address = "", ""
	}
	return notLeader
}

// Status is the status of a control instance.
type Status struct {
	ID fleetconfig.InstanceID
	// Disk is the identity of this instance's disk.
	Disk consensus.DiskID
	// Role is "follower", "pre-candidate", "candidate" or "leader".
	Role          string
	Term          uint64
	Leader        fleetconfig.InstanceID
	LeaderAddress string
	// Committed and Applied are indexes of the log.
	Committed, Applied uint64
	// LogEntries and LogBytes are the number and the size of the log entries in memory.
	LogEntries, LogBytes int
	Members              []MemberStatus
}

// MemberStatus is what this instance knows about a member.
type MemberStatus struct {
	ID      fleetconfig.InstanceID
	Address string
	Voter   bool
	// AdmittedDisk is the disk identity that the membership in the log lists.
	AdmittedDisk consensus.DiskID
	// AnsweringDisk is the disk identity with which the member answers the leader. If it
	// differs from AdmittedDisk, the member neither votes nor counts towards majorities
	// until the disk is admitted. Every instance reports its own disk identity; only the
	// leader knows the disk identities of the other members.
	AnsweringDisk consensus.DiskID
	// Match is the index up to which the member has the leader's log. For itself, an
	// instance reports the last index of its log; only the leader knows the values of the
	// other members.
	Match uint64
}

func newStatus(id fleetconfig.InstanceID, disk consensus.DiskID, status consensus.Status) Status {
	described := Status{
		ID:         id,
		Disk:       disk,
		Role:       status.Role.String(),
		Term:       status.Term,
		Leader:     fleetconfig.InstanceID(status.Leader),
		Committed:  status.Committed,
		Applied:    status.Applied,
		LogEntries: status.LogEntries,
		LogBytes:   status.LogBytes,
	}
	for _, member := range status.Membership.Members {
		progress := status.Progress[member.ID]
		if member.ID == consensus.MemberID(id) {
			progress = consensus.Progress{Disk: disk, Match: status.LastIndex}
		}
		described.Members = append(described.Members, MemberStatus{
			ID:            fleetconfig.InstanceID(member.ID),
			Address:       member.Address,
			Voter:         member.Voter,
			AdmittedDisk:  member.Disk,
			AnsweringDisk: progress.Disk,
			Match:         progress.Match,
		})
	}
	return described
}
