package consensus

import (
	"math/rand/v2"
	"time"
)

// Role is the role of a node in its term.
type Role uint8

// The roles.
const (
	// Follower receives entries from the leader and votes.
	Follower Role = iota
	// PreCandidate asks the voters whether they would vote for it.
	PreCandidate
	// Candidate requests votes.
	Candidate
	// Leader appends proposals to the log and replicates it.
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config is the fixed configuration of a node.
type Config struct {
	// ID identifies this member.
	ID MemberID
	// Disk is the identity of this member's disk.
	Disk DiskID
	// ElectionTimeout is the time without contact to a majority after which a
	// leader steps down. A follower campaigns after one to two election timeouts
	// without contact to a leader.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between the leader's heartbeats. It should be
	// at most a fifth of ElectionTimeout.
	HeartbeatInterval time.Duration
	// MaxMessageBytes bounds the size of the entries in one append.
	MaxMessageBytes int
	// MaxUncommittedBytes is the size of the uncommitted entries above which the
	// leader rejects proposals.
	MaxUncommittedBytes int
	// Rand is the source of randomness for election timeouts.
	Rand *rand.Rand
}

// StoredState is the state that a member has on its disk. The zero value is that
// of a blank disk.
type StoredState struct {
	HardState HardState
	// Snapshot is the newest snapshot, without its data. It is zero on a blank
	// disk.
	Snapshot Snapshot
	// Entries are the entries after the snapshot.
	Entries []Entry
}

// leaseFraction is the fraction of the election timeout for which the answers of a
// majority guarantee a leader that there is no other leader. The remaining tenth
// allows for clocks that run at different speeds.
const leaseFraction = 0.9

// Node is one member's state machine of the replicated log. It is not safe for
// concurrent use.
type Node struct {
	config Config
	// startTime is when the node was created. Timestamps in messages are durations
	// since then.
	startTime time.Time

	hardState   HardState
	log         entryLog
	snapshot    Snapshot
	memberships membershipHistory

	role   Role
	leader MemberID
	// lastLeaderContact is when the last message of a leader was received. The node
	// grants no vote within an election timeout after that time, except for a
	// leadership transfer, so that it does not help to elect a second leader while
	// the first one still relies on this node's answer. The initial value is the time
	// of the node's creation, because a restarted node does not know what it answered
	// before.
	lastLeaderContact time.Time
	// electionDeadline is when this node campaigns unless it hears from a leader.
	electionDeadline time.Time

	// votes holds the disk of each member that has granted this candidate its
	// vote.
	votes map[MemberID]DiskID
	// votesRequestedAt is when this candidate requested votes.
	votesRequestedAt time.Time

	// The following fields are used only by a leader.
	progress         map[MemberID]*progress
	nextHeartbeat    time.Time
	transferee       MemberID
	transferDeadline time.Time
	// lastEventTime is the time of the last event that the leader handled, used
	// for the timestamps in messages.
	lastEventTime time.Time

	pending pendingReady
}

// New returns a node that starts from the stored state. It returns an
// InconsistentStateError if that state is inconsistent.
func New(config Config, stored StoredState, now time.Time) (*Node, error) {
	if err := validateStoredState(stored); err != nil {
		return nil, err
	}
	n := &Node{
		config:            config,
		startTime:         now,
		hardState:         stored.HardState,
		snapshot:          stored.Snapshot,
		lastLeaderContact: now,
	}
	n.snapshot.Data = nil
	n.log = newEntryLog(stored.Snapshot.Index, stored.Snapshot.Term)
	n.memberships = membershipHistory{{index: stored.Snapshot.Index, membership: stored.Snapshot.Membership}}
	n.log.append(stored.Entries...)
	n.recordMemberships(stored.Entries)
	n.log.stable = n.log.lastIndex()
	n.log.committed = max(n.log.baseIndex, min(stored.HardState.Commit, n.log.lastIndex()))
	n.pending.storedHardState = n.hardState
	n.resetElectionTimer(now)
	return n, nil
}

func validateStoredState(stored StoredState) error {
	last := stored.Snapshot.Index
	term := stored.Snapshot.Term
	for _, entry := range stored.Entries {
		if entry.Index != last+1 {
			return &InconsistentStateError{Reason: "entries are missing"}
		}
		if entry.Term < term {
			return &InconsistentStateError{Reason: "the terms decrease along the log"}
		}
		last, term = entry.Index, entry.Term
	}
	if stored.HardState.Term < term {
		return &InconsistentStateError{Reason: "the last entry has a newer term than the stored term"}
	}
	return nil
}

// Bootstrap starts a new log from its initial snapshot. It does nothing if this
// member's disk is not blank or the initial membership does not admit that disk.
func (n *Node) Bootstrap(now time.Time, initial Snapshot) {
	blank := n.log.lastIndex() == 0 && n.hardState.Vote == ""
	if !blank || !initial.Membership.Admits(n.config.ID, n.config.Disk) {
		return
	}
	n.installSnapshot(initial)
	n.hardState.Term = max(n.hardState.Term, initial.Term)
	n.resetElectionTimer(now)
}

// IsBlank reports whether the disk holds no part of a log.
func (n *Node) IsBlank() bool { return n.log.lastIndex() == 0 }

// Tick advances the node's time. It should be called several times per heartbeat
// interval.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.checkQuorum(now)
	}
	if n.role == Leader {
		n.abortExpiredTransfer(now)
		if !now.Before(n.nextHeartbeat) {
			n.broadcastHeartbeat(now)
		}
		return
	}
	if !now.Before(n.electionDeadline) {
		n.campaign(now, false)
	}
}

// checkQuorum makes a leader step down if no majority has answered requests sent
// within the last election timeout. It runs before any other action of the leader,
// so that a leader whose process was suspended for longer steps down before it
// acts. The votes that elected the leader count as answers, from the time at which
// the leader requested them.
func (n *Node) checkQuorum(now time.Time) {
	since := n.votesRequestedAt
	if contactAt, ok := n.quorumContactAt(now); ok && contactAt.After(since) {
		since = contactAt
	}
	if now.Sub(since) >= n.config.ElectionTimeout {
		n.becomeFollower(now, n.hardState.Term, "")
	}
}

// LeaseEnd returns the end of the leader's lease: the time until which it is
// guaranteed that no other leader exists. That time may have passed already.
// LeaseEnd returns the zero time if there is no such guarantee. The guarantee
// follows from the votes: each member of the majority that has answered a request
// grants no vote for at least an election timeout after the request was sent. It
// holds only if the members' clocks differ in speed by less than a tenth.
func (n *Node) LeaseEnd(now time.Time) time.Time {
	if n.role != Leader || n.transferee != "" {
		return time.Time{}
	}
	contactAt, ok := n.quorumContactAt(now)
	if !ok {
		return time.Time{}
	}
	return contactAt.Add(time.Duration(float64(n.config.ElectionTimeout) * leaseFraction))
}

// ReadIndex returns an index. A state machine that has applied the entries up to
// that index reflects every command committed before the call. ok is false if
// this node is not the leader, holds no valid lease, or has not committed an
// entry of its term.
func (n *Node) ReadIndex(now time.Time) (index uint64, ok bool) {
	if !now.Before(n.LeaseEnd(now)) || !n.committedInTerm() {
		return 0, false
	}
	return n.log.committed, true
}

// Membership returns the membership in force.
func (n *Node) Membership() Membership { return n.memberships.current().membership }

// MembershipCommitted reports whether the membership in force is committed.
func (n *Node) MembershipCommitted() bool {
	return n.memberships.current().index <= n.log.committed
}

// MembershipAt returns the membership in force at an index that is not compacted.
func (n *Node) MembershipAt(index uint64) Membership { return n.memberships.at(index) }

// Progress is the leader's view of another member.
type Progress struct {
	// Disk is the identity of the disk in the member's last answer, or of its
	// admitted disk if it has not answered.
	Disk DiskID
	// Match is the last index known to be stored on that disk.
	Match uint64
	// LastContact is when the leader sent the newest request that the member has
	// answered. It is zero if the member has answered none.
	LastContact time.Time
}

// Status describes a node's state at one time, for reporting.
type Status struct {
	Role      Role
	Term      uint64
	Leader    MemberID
	Committed uint64
	Applied   uint64
	LastIndex uint64
	LogBytes  int
	// LogEntries is the number of entries in memory.
	LogEntries int
	Membership Membership
	// Progress is set only on the leader.
	Progress map[MemberID]Progress
}

// Status returns the node's current status.
func (n *Node) Status() Status {
	status := Status{
		Role:       n.role,
		Term:       n.hardState.Term,
		Leader:     n.leader,
		Committed:  n.log.committed,
		Applied:    n.log.applied,
		LastIndex:  n.log.lastIndex(),
		LogBytes:   n.log.bytes,
		LogEntries: len(n.log.entries),
		Membership: n.Membership(),
	}
	if n.role == Leader {
		status.Progress = make(map[MemberID]Progress, len(n.progress))
		for id, p := range n.progress {
			progress := Progress{Disk: p.disk, Match: p.match}
			if p.contacted {
				progress.LastContact = n.startTime.Add(p.lastContact)
			}
			status.Progress[id] = progress
		}
	}
	return status
}

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Term returns the node's term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Leader returns the leader of the node's term, or "" if it is not known.
func (n *Node) Leader() MemberID { return n.leader }
