package consensus

import "time"

// Step handles a message from another member.
func (n *Node) Step(now time.Time, message Message) {
	if message.To != n.config.ID || message.From == n.config.ID || !message.wellFormed() {
		return
	}
	if n.role == Leader {
		n.checkQuorum(now)
	}
	if message.Term > n.hardState.Term && !n.stepNewerTerm(now, message) {
		return
	}
	if message.Term < n.hardState.Term {
		n.answerOlderTerm(message)
		return
	}
	switch message.Type {
	case MessagePreVote:
		n.handlePreVote(now, message)
	case MessageVote:
		n.handleVote(now, message)
	case MessagePreVoteResponse, MessageVoteResponse:
		n.handleVoteResponse(now, message)
	case MessageAppend:
		n.handleAppend(now, message)
	case MessageSnapshot:
		n.handleSnapshot(now, message)
	case MessageAppendResponse:
		n.handleAppendResponse(now, message)
	case MessageTimeoutNow:
		n.handleTimeoutNow(now, message)
	}
}

// stepNewerTerm adopts a newer term if the message calls for it. It tells whether
// the message is to be handled further.
func (n *Node) stepNewerTerm(now time.Time, message Message) bool {
	switch {
	case message.Type == MessagePreVote:
		return true
	case message.Type == MessagePreVoteResponse && !message.Reject:
		// The term of an election that has not begun.
		return true
	case message.Type == MessageVote && !message.Transfer && n.hearsLeader(now):
		return false
	}
	n.becomeFollower(now, message.Term, "")
	return true
}

// answerOlderTerm tells a sender that its term is over. Without the answer a
// leader of an older term would go on until it is cut off, and a candidate could
// not catch up.
func (n *Node) answerOlderTerm(message Message) {
	answer := Message{To: message.From, Term: n.hardState.Term, Reject: true}
	switch message.Type {
	case MessageAppend, MessageSnapshot:
		answer.Type = MessageAppendResponse
	case MessagePreVote:
		answer.Type = MessagePreVoteResponse
	default:
		return
	}
	n.sendAfterSync(answer)
}

// hearsLeader tells whether a leader may still count on this node's answers.
func (n *Node) hearsLeader(now time.Time) bool {
	return n.role == Leader || now.Sub(n.leaderSeenAt) < n.config.ElectionTimeout
}

// mayVote tells whether the log admits this member's disk. A blank or swapped
// disk may have lost a vote that this member gave.
//
// A member that the log lists without a vote answers too: it may not have
// received the entry that makes it a voter. So does a member whose removal is not
// committed: a candidate without that entry needs its vote. In both cases the
// candidate knows whether to count it.
func (n *Node) mayVote() bool {
	return n.Membership().Admits(n.config.ID, n.config.Disk) ||
		n.memberships.at(n.log.committed).Admits(n.config.ID, n.config.Disk)
}

// mayCampaign tells whether this member is a voter, or was one before a change
// that is not committed yet. In the second case it may be the only one whose log
// is new enough; it leads until the change is committed, without a vote of its
// own.
func (n *Node) mayCampaign() bool {
	return n.Membership().IsVoter(n.config.ID, n.config.Disk) ||
		n.memberships.at(n.log.committed).IsVoter(n.config.ID, n.config.Disk)
}

func (n *Node) handlePreVote(now time.Time, message Message) {
	grant := n.mayVote() &&
		!n.hearsLeader(now) &&
		message.Term > n.hardState.Term &&
		n.log.isUpToDate(message.Index, message.LogTerm)
	answer := Message{Type: MessagePreVoteResponse, To: message.From, Term: message.Term}
	if !grant {
		answer.Reject = true
		answer.Term = n.hardState.Term
	}
	n.sendAfterSync(answer)
}

func (n *Node) handleVote(now time.Time, message Message) {
	free := n.hardState.Vote == "" ||
		n.hardState.Vote == message.From && n.hardState.VoteDisk == message.FromDisk
	// The term may have been adopted from another message, so the leader of the
	// older one may still count on this node.
	grant := n.mayVote() &&
		free &&
		(message.Transfer || !n.hearsLeader(now)) &&
		n.leader == "" &&
		n.log.isUpToDate(message.Index, message.LogTerm)
	answer := Message{Type: MessageVoteResponse, To: message.From, Term: n.hardState.Term, Reject: !grant}
	if grant {
		n.hardState.Vote = message.From
		n.hardState.VoteDisk = message.FromDisk
		n.resetElectionTimer(now)
	}
	n.sendAfterSync(answer)
}

// campaign starts an election, with a round of pre-votes first unless the leader
// has stepped down in favour of this node.
func (n *Node) campaign(now time.Time, transfer bool) {
	n.resetElectionTimer(now)
	if !n.mayCampaign() {
		return
	}
	n.leader = ""
	if !transfer {
		n.role = PreCandidate
		n.votes = map[MemberID]DiskID{n.config.ID: n.config.Disk}
		n.requestVotes(now, MessagePreVote, n.hardState.Term+1, false)
		return
	}
	n.becomeCandidate(now, true)
}

func (n *Node) becomeCandidate(now time.Time, transfer bool) {
	n.role = Candidate
	n.leader = ""
	n.hardState.Term++
	n.hardState.Vote = n.config.ID
	n.hardState.VoteDisk = n.config.Disk
	n.votes = map[MemberID]DiskID{n.config.ID: n.config.Disk}
	n.votesAskedAt = now
	n.resetElectionTimer(now)
	n.requestVotes(now, MessageVote, n.hardState.Term, transfer)
}

// requestVotes asks all other voters, and goes on at once if this node is a
// majority by itself. The requests wait for the sync: the candidate's own vote
// must be on its disk before others add theirs.
func (n *Node) requestVotes(now time.Time, kind MessageType, term uint64, transfer bool) {
	for _, member := range n.Membership().Members {
		if !member.Voter || member.ID == n.config.ID {
			continue
		}
		n.sendAfterSync(Message{
			Type:     kind,
			To:       member.ID,
			Term:     term,
			Index:    n.log.lastIndex(),
			LogTerm:  n.log.lastTerm(),
			Transfer: transfer,
		})
	}
	n.countVotes(now)
}

func (n *Node) handleVoteResponse(now time.Time, message Message) {
	if message.Reject {
		return
	}
	switch {
	case n.role == PreCandidate && message.Type == MessagePreVoteResponse && message.Term == n.hardState.Term+1:
	case n.role == Candidate && message.Type == MessageVoteResponse:
	default:
		return
	}
	if _, ok := n.Membership().Find(message.From); ok {
		n.votes[message.From] = message.FromDisk
	}
	n.countVotes(now)
}

func (n *Node) countVotes(now time.Time) {
	if n.granted() < n.Membership().majority() {
		return
	}
	if n.role == PreCandidate {
		n.becomeCandidate(now, false)
		return
	}
	n.becomeLeader(now)
}

func (n *Node) becomeFollower(now time.Time, term uint64, leader MemberID) {
	mustHold(term >= n.hardState.Term, "terms never fall")
	if term > n.hardState.Term {
		n.hardState.Term = term
		n.hardState.Vote = ""
		n.hardState.VoteDisk = ""
	}
	wasLeader := n.role == Leader
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.transferee = ""
	if wasLeader || leader != "" {
		n.resetElectionTimer(now)
	}
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.config.ID
	n.heartbeatAt = now
	n.votes = nil
	n.transferee = ""
	n.progress = make(map[MemberID]*progress)
	n.syncProgress()
	n.appendEntries(Entry{Kind: EntryNoop})
	n.broadcastHeartbeat(now)
}

// handleTimeoutNow campaigns at once. The leader of this term has stepped down,
// so its followers may vote without waiting for it to fall silent.
func (n *Node) handleTimeoutNow(now time.Time, message Message) {
	if n.role == Leader || n.leader != "" && n.leader != message.From {
		return
	}
	n.campaign(now, true)
}

// resetElectionTimer draws the time of the next campaign. A spread of one whole
// timeout keeps members from campaigning at the same time again and again.
func (n *Node) resetElectionTimer(now time.Time) {
	timeout := n.config.ElectionTimeout
	spread := time.Duration(n.config.Rand.Int64N(int64(timeout)))
	n.electionAt = now.Add(timeout + spread)
}
