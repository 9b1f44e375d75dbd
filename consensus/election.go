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
	if message.Term > n.hardState.Term && !n.handleNewerTerm(now, message) {
		return
	}
	if message.Term < n.hardState.Term {
		n.rejectStaleTerm(message)
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

// handleNewerTerm handles a message whose term is newer than the node's. It adopts
// the term, except from a pre-vote request or a granting pre-vote response, which
// carry the term of an election that has not started, and from a vote request that
// is ignored because of the leader lease. It reports whether the message is to be
// processed further.
func (n *Node) handleNewerTerm(now time.Time, message Message) bool {
	switch {
	case message.Type == MessagePreVote:
		return true
	case message.Type == MessagePreVoteResponse && !message.Reject:
		// The term is that of an election that has not started.
		return true
	case message.Type == MessageVote && !message.Transfer && n.inLeaderLease(now):
		return false
	}
	n.becomeFollower(now, message.Term, "")
	return true
}

// rejectStaleTerm answers an append, a snapshot or a pre-vote request of an older
// term with the current term, and ignores other messages. Without the response a
// leader of an older term would continue until its quorum check fails, and a
// pre-candidate of an older term would not learn the current term.
func (n *Node) rejectStaleTerm(message Message) {
	response := Message{To: message.From, Term: n.hardState.Term, Reject: true}
	switch message.Type {
	case MessageAppend, MessageSnapshot:
		response.Type = MessageAppendResponse
	case MessagePreVote:
		response.Type = MessagePreVoteResponse
	default:
		return
	}
	n.sendAfterSync(response)
}

// inLeaderLease reports whether this node must not vote for a candidate yet,
// because it is the leader itself, or because a leader may still rely on a response
// that this node gave within the last election timeout.
func (n *Node) inLeaderLease(now time.Time) bool {
	return n.role == Leader || now.Sub(n.lastLeaderContact) < n.config.ElectionTimeout
}

// canVote reports whether the log admits this member's disk. A member with a blank
// or swapped disk must not vote: it may have lost the record of a vote that it has
// already granted.
//
// A learner votes too, because the entry that makes it a voter may not have
// reached it yet. A member whose removal is not committed also votes, because a
// candidate that lacks the removal entry may need that member's vote. In both
// cases the candidate decides by its own membership whether the vote counts.
func (n *Node) canVote() bool {
	return n.Membership().Admits(n.config.ID, n.config.Disk) ||
		n.memberships.at(n.log.committed).Admits(n.config.ID, n.config.Disk)
}

// canCampaign reports whether this member is a voter, or was one before a
// membership change that is not committed yet. In the second case it may be the
// only member whose log is up to date enough to be elected. It then leads until
// the change is committed, without counting its own vote.
func (n *Node) canCampaign() bool {
	return n.Membership().IsVoter(n.config.ID, n.config.Disk) ||
		n.memberships.at(n.log.committed).IsVoter(n.config.ID, n.config.Disk)
}

func (n *Node) handlePreVote(now time.Time, message Message) {
	granted := n.canVote() &&
		!n.inLeaderLease(now) &&
		message.Term > n.hardState.Term &&
		n.log.isUpToDate(message.Index, message.LogTerm)
	response := Message{Type: MessagePreVoteResponse, To: message.From, Term: message.Term}
	if !granted {
		response.Reject = true
		response.Term = n.hardState.Term
	}
	n.sendAfterSync(response)
}

func (n *Node) handleVote(now time.Time, message Message) {
	notVotedForOther := n.hardState.Vote == "" ||
		n.hardState.Vote == message.From && n.hardState.VoteDisk == message.FromDisk
	// The leader lease is checked here as well as in handleNewerTerm: the node may
	// have adopted the term from another message, and the leader of the older term may
	// still rely on this node.
	granted := n.canVote() &&
		notVotedForOther &&
		(message.Transfer || !n.inLeaderLease(now)) &&
		n.leader == "" &&
		n.log.isUpToDate(message.Index, message.LogTerm)
	response := Message{Type: MessageVoteResponse, To: message.From, Term: n.hardState.Term, Reject: !granted}
	if granted {
		n.hardState.Vote = message.From
		n.hardState.VoteDisk = message.FromDisk
		n.resetElectionTimer(now)
	}
	n.sendAfterSync(response)
}

// campaign starts an election. It begins with a round of pre-votes, unless the
// election is part of a leadership transfer: the leader has then already stepped
// down.
func (n *Node) campaign(now time.Time, transfer bool) {
	n.resetElectionTimer(now)
	if !n.canCampaign() {
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
	n.votesRequestedAt = now
	n.resetElectionTimer(now)
	n.requestVotes(now, MessageVote, n.hardState.Term, transfer)
}

// requestVotes sends vote requests to all other voters and checks whether this
// node's own vote is already a majority. The requests are sent after the sync,
// because the candidate's own vote must be on its disk before other votes are
// added to it.
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
	n.checkElectionWon(now)
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
	n.checkElectionWon(now)
}

func (n *Node) checkElectionWon(now time.Time) {
	if n.grantedVotes() < n.Membership().majority() {
		return
	}
	if n.role == PreCandidate {
		n.becomeCandidate(now, false)
		return
	}
	n.becomeLeader(now)
}

func (n *Node) becomeFollower(now time.Time, term uint64, leader MemberID) {
	assertInvariant(term >= n.hardState.Term, "the term never decreases")
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
	n.nextHeartbeat = now
	n.votes = nil
	n.transferee = ""
	n.progress = make(map[MemberID]*progress)
	n.updateTrackedMembers()
	n.appendEntries(Entry{Kind: EntryNoop})
	n.broadcastHeartbeat(now)
}

// handleTimeoutNow starts a campaign at once, without a pre-vote. The leader of
// this term has stepped down, so its followers may vote without waiting for its
// lease to expire.
func (n *Node) handleTimeoutNow(now time.Time, message Message) {
	if n.role == Leader || n.leader != "" && n.leader != message.From {
		return
	}
	n.campaign(now, true)
}

// resetElectionTimer sets the election deadline to between one and two election
// timeouts from now. The random part, up to one whole timeout, keeps members from
// campaigning at the same time repeatedly.
func (n *Node) resetElectionTimer(now time.Time) {
	timeout := n.config.ElectionTimeout
	jitter := time.Duration(n.config.Rand.Int64N(int64(timeout)))
	n.electionDeadline = now.Add(timeout + jitter)
}
