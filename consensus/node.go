package consensus

import (
	"math/rand/v2"
	"time"
)

// Role is what a node is in its term.
type Role uint8

// The roles.
const (
	// Follower takes entries from the leader and votes.
	Follower Role = iota
	// PreCandidate asks whether it would be elected.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader decides on the order of the log.
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config is what a node is told once.
type Config struct {
	// ID is the id of this member.
	ID MemberID
	// Disk is the identity of this member's disk.
	Disk DiskID
	// ElectionTimeout is how long a leader that is not heard keeps its role. A
	// follower campaigns after one to two of them.
	ElectionTimeout time.Duration
	// HeartbeatInterval is how often the leader is heard. It should be at most a
	// fifth of ElectionTimeout.
	HeartbeatInterval time.Duration
	// MaxMessageBytes bounds the entries of one append.
	MaxMessageBytes int
	// MaxUncommittedBytes bounds what the leader accepts before it is committed.
	MaxUncommittedBytes int
	// Rand draws the election timeouts.
	Rand *rand.Rand
}

// StoredState is what a member has on its disk. The zero value is a blank disk.
type StoredState struct {
	HardState HardState
	// Snapshot is the newest one, without its data. A blank disk has none.
	Snapshot Snapshot
	// Entries are the entries after the snapshot.
	Entries []Entry
}

// leaseShare is the share of the election timeout for which a majority's answers
// make a leader certain that there is no other one. The rest is for clocks that
// run at different speeds.
const leaseShare = 0.9

// Node is one member's state of the replicated log. It is not safe for
// concurrent use.
type Node struct {
	config Config
	// epoch is the zero of the time stamps in this node's messages.
	epoch time.Time

	hardState   HardState
	log         entryLog
	snapshot    Snapshot
	memberships membershipLog

	role   Role
	leader MemberID
	// leaderSeenAt is when a message of the leader came. A node gives no vote
	// within an election timeout of it, so that it never helps to elect a second
	// leader while the first one still counts on its answer. It starts at the
	// node's own start: a restarted node doesn't know what it has answered.
	leaderSeenAt time.Time
	// electionAt is when this node campaigns.
	electionAt time.Time

	// votes are the votes that this candidate has received, by disk.
	votes map[MemberID]DiskID
	// votesAskedAt is when this candidate asked for votes.
	votesAskedAt time.Time

	// The rest is the leader's.
	progress    map[MemberID]*progress
	heartbeatAt time.Time
	transferee  MemberID
	transferEnd time.Time
	// lastTick is the time of the last event, for the time stamps of messages.
	lastTick time.Time

	pending pendingReady
}

// New returns a node that starts from what is on its disk.
func New(config Config, stored StoredState, now time.Time) (*Node, error) {
	if err := checkStored(stored); err != nil {
		return nil, err
	}
	n := &Node{
		config:       config,
		epoch:        now,
		hardState:    stored.HardState,
		snapshot:     stored.Snapshot,
		leaderSeenAt: now,
	}
	n.snapshot.Data = nil
	n.log = newEntryLog(stored.Snapshot.Index, stored.Snapshot.Term)
	n.memberships = membershipLog{{index: stored.Snapshot.Index, membership: stored.Snapshot.Membership}}
	n.log.append(stored.Entries...)
	n.noteMemberships(stored.Entries)
	n.log.stable = n.log.lastIndex()
	n.log.committed = max(n.log.baseIndex, min(stored.HardState.Commit, n.log.lastIndex()))
	n.pending.storedState = n.hardState
	n.resetElectionTimer(now)
	return n, nil
}

func checkStored(stored StoredState) error {
	last := stored.Snapshot.Index
	term := stored.Snapshot.Term
	for _, entry := range stored.Entries {
		if entry.Index != last+1 {
			return &InconsistentStateError{Reason: "entries are missing"}
		}
		if entry.Term < term {
			return &InconsistentStateError{Reason: "the terms fall along the log"}
		}
		last, term = entry.Index, entry.Term
	}
	if stored.HardState.Term < term {
		return &InconsistentStateError{Reason: "the log is newer than the stored term"}
	}
	return nil
}

// Bootstrap starts a new log on a blank disk from its initial snapshot, which
// must admit this disk. It does nothing on a disk that is not blank.
func (n *Node) Bootstrap(now time.Time, initial Snapshot) {
	blank := n.log.lastIndex() == 0 && n.hardState.Vote == ""
	if !blank || !initial.Membership.Admits(n.config.ID, n.config.Disk) {
		return
	}
	n.installSnapshot(initial)
	n.hardState.Term = max(n.hardState.Term, initial.Term)
	n.resetElectionTimer(now)
}

// IsBlank tells whether the disk holds no part of a log.
func (n *Node) IsBlank() bool { return n.log.lastIndex() == 0 }

// Tick tells the node the time. It should be called several times in a
// heartbeat interval.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.checkQuorum(now)
	}
	if n.role == Leader {
		n.tickTransfer(now)
		if !now.Before(n.heartbeatAt) {
			n.broadcastHeartbeat(now)
		}
		return
	}
	if !now.Before(n.electionAt) {
		n.campaign(now, false)
	}
}

// checkQuorum makes a leader step down that no majority has answered within the
// election timeout. It runs before anything else that a leader does, so that a
// process that was frozen finds its time run out before it acts. Like all answers,
// the votes that made it the leader count from when they were asked for.
func (n *Node) checkQuorum(now time.Time) {
	since := n.votesAskedAt
	if heardAt, ok := n.quorumHeardAt(now); ok && heardAt.After(since) {
		since = heardAt
	}
	if now.Sub(since) >= n.config.ElectionTimeout {
		n.becomeFollower(now, n.hardState.Term, "")
	}
}

// LeaseEnd returns until when this leader is certain that there is no other one,
// or the zero time. A majority has answered a request sent less than an election
// timeout before, and gives no vote until that time is over. It rests on clocks
// that differ in speed by less than a tenth.
func (n *Node) LeaseEnd(now time.Time) time.Time {
	if n.role != Leader || n.transferee != "" {
		return time.Time{}
	}
	heardAt, ok := n.quorumHeardAt(now)
	if !ok {
		return time.Time{}
	}
	return heardAt.Add(time.Duration(float64(n.config.ElectionTimeout) * leaseShare))
}

// ReadIndex returns an index such that a state machine that has applied it shows
// every command committed before the call; ok is false if this node is not a
// leader that is certain of its role.
func (n *Node) ReadIndex(now time.Time) (index uint64, ok bool) {
	if !now.Before(n.LeaseEnd(now)) || !n.committedInTerm() {
		return 0, false
	}
	return n.log.committed, true
}

// Membership returns the membership in force.
func (n *Node) Membership() Membership { return n.memberships.current().membership }

// MembershipCommitted tells whether the membership in force is committed.
func (n *Node) MembershipCommitted() bool {
	return n.memberships.current().index <= n.log.committed
}

// MembershipAt returns the membership as of an index that is not compacted.
func (n *Node) MembershipAt(index uint64) Membership { return n.memberships.at(index) }

// Progress is what the leader knows of a member.
type Progress struct {
	// Disk is the identity of the disk that answered last.
	Disk DiskID
	// Match is up to where the log is on that disk.
	Match uint64
	// LastContact is when the newest request was sent that it has answered, or zero.
	LastContact time.Time
}

// Status describes a node.
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
	// Progress is set on the leader.
	Progress map[MemberID]Progress
}

// Status returns a description of the node.
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
			if p.heard {
				progress.LastContact = n.epoch.Add(p.heardAt)
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

// Leader returns the leader of the node's term as far as it knows, or "".
func (n *Node) Leader() MemberID { return n.leader }
