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

// Node is a control instance's part of the replicated log. It is a suture
// service, and safe for concurrent use.
type Node struct {
	config Config
	// appliedIndex is the last entry that the state machine has applied. It
	// outlives Serve, since the state machine does.
	appliedIndex uint64

	proposals chan *proposal
	inbox     chan *envelope
	// requests run on the goroutine that owns the log.
	requests chan *request
	view     atomic.Pointer[view]
}

// view is what other goroutines see of the loop.
type view struct {
	status   Status
	leaseEnd time.Time
	// confirmedAt is when the leader was last confirmed, zero elsewhere.
	confirmedAt time.Time
}

// proposal is a command on its way.
type proposal struct {
	command []byte
	done    chan outcome
}

// outcome is how a proposal ended.
type outcome struct {
	result []byte
	err    error
}

// Propose replicates a command and returns the result of applying it. It fails
// with [NotLeaderError] or [BusyError] if the command was certainly not proposed,
// and with [OutcomeUnknownError] if it may still be applied.
func (n *Node) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	if len(command) > MaxCommandBytes {
		return nil, &BusyError{Reason: fmt.Sprintf("it is larger than %d bytes", MaxCommandBytes)}
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

// awaitOutcome returns the outcome of something that was proposed.
func awaitOutcome(ctx context.Context, done <-chan outcome) ([]byte, error) {
	select {
	case o := <-done:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &OutcomeUnknownError{Reason: ctx.Err().Error()}
	}
}

// ReadBarrier returns nil if the state machine shows every change that was
// accepted before the call. It fails with [NotLeaderError] if this instance is not
// certain to be the leader.
func (n *Node) ReadBarrier(ctx context.Context) error {
	var certain bool
	err := n.do(ctx, func(l *loop) {
		index, ok := l.node.ReadIndex(clock.Now())
		certain = ok && n.appliedIndex >= index
	})
	if err != nil {
		return err
	}
	if !certain {
		return n.notLeader()
	}
	return nil
}

// request is a function that runs on the goroutine that owns the log.
type request struct {
	run  func(*loop)
	done chan struct{}
}

// do runs a function on the goroutine that owns the log. It returns when what the
// function changed is synced. What the function sets may be read only if do
// returns nil.
func (n *Node) do(ctx context.Context, run func(*loop)) error {
	r := &request{run: run, done: make(chan struct{})}
	select {
	case n.requests <- r:
	case <-ctx.Done():
		return &BusyError{Reason: ctx.Err().Error()}
	}
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return &OutcomeUnknownError{Reason: ctx.Err().Error()}
	}
}

// IsLeader tells whether this instance is certain to be the only leader now. It
// turns false by itself when a majority of the control instances is silent.
func (n *Node) IsLeader() bool {
	return clock.Now().Before(n.view.Load().leaseEnd)
}

// LeaderTerm returns the term in which this instance is certain to be the only
// leader now, or false.
func (n *Node) LeaderTerm() (term uint64, certain bool) {
	current := n.view.Load()
	return current.status.Term, clock.Now().Before(current.leaseEnd)
}

// Leader returns the leader and its address as far as this instance knows; ok is
// false if it knows none.
func (n *Node) Leader() (id fleetconfig.InstanceID, address string, ok bool) {
	status := n.view.Load().status
	return status.Leader, status.LeaderAddress, status.Leader != ""
}

// Status returns a description of the node, as of the last event.
func (n *Node) Status() Status {
	return n.view.Load().status
}

func (n *Node) notLeader() error {
	status := n.view.Load().status
	leader := &NotLeaderError{Leader: status.Leader, Address: status.LeaderAddress}
	if leader.Leader == n.config.ID {
		leader.Leader, leader.Address = "", ""
	}
	return leader
}

// Status describes a control instance.
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
	// LogEntries and LogBytes are what the log takes in memory.
	LogEntries, LogBytes int
	Members              []MemberStatus
}

// MemberStatus describes a member as this instance knows it.
type MemberStatus struct {
	ID      fleetconfig.InstanceID
	Address string
	Voter   bool
	// AdmittedDisk is the disk that the log admits.
	AdmittedDisk consensus.DiskID
	// AnsweringDisk is the disk that answers the leader. If it differs, the member
	// neither votes nor counts until the disk is admitted. Only the leader sets it.
	AnsweringDisk consensus.DiskID
	// Match is up to where the member has the log. Only the leader sets it.
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
