package consensus

import "time"

type voteKey struct {
	disk DiskID
	term uint64
}

// simInvariants holds what the invariant checks have observed. The checks run
// after each event.
type simInvariants struct {
	// leaders holds the disk of each term's leader, votes the candidate that a disk
	// has voted for in a term.
	leaders map[uint64]DiskID
	votes   map[voteKey]MemberID
	// log holds every entry that any member has applied, firstCommitTerm the term
	// of the first member that applied it, and hashes the hash of the
	// application's state after it.
	log             map[uint64]Entry
	firstCommitTerm map[uint64]uint64
	hashes          map[uint64]uint64
	// committed is the highest commit index checked for a leader, by disk.
	committed map[DiskID]uint64
	// voters is the last committed set of voters.
	voters map[DiskID]bool
}

func newSimInvariants() simInvariants {
	return simInvariants{
		leaders:         map[uint64]DiskID{},
		votes:           map[voteKey]MemberID{},
		log:             map[uint64]Entry{},
		firstCommitTerm: map[uint64]uint64{},
		hashes:          map[uint64]uint64{},
		committed:       map[DiskID]uint64{},
	}
}

// checkApplied checks that all members apply the same entries to the same
// application state.
func (c *simInvariants) checkApplied(s *simulation, server *simServer, entry Entry) {
	known, ok := c.log[entry.Index]
	if !ok {
		c.checkMembershipChange(s, entry)
		c.log[entry.Index] = entry
		c.firstCommitTerm[entry.Index] = server.node.Term()
		c.hashes[entry.Index] = server.hash
		return
	}
	if known.Term != entry.Term || string(known.Data) != string(entry.Data) || c.hashes[entry.Index] != server.hash {
		s.t.Fatalf("%s applied %+v at index %d where another member applied %+v", server.id, entry, entry.Index, known)
	}
}

// checkMembershipChange checks that successive committed memberships differ by at
// most one voter.
func (c *simInvariants) checkMembershipChange(s *simulation, entry Entry) {
	if entry.Membership == nil {
		return
	}
	voters := map[DiskID]bool{}
	for _, member := range entry.Membership.Members {
		voters[member.Disk] = member.Voter
	}
	changed := 0
	for disk := range s.disks {
		if voters[disk] != c.voters[disk] {
			changed++
		}
	}
	if c.voters != nil && changed > 1 {
		s.t.Fatalf("entry %d changes %d voters at once", entry.Index, changed)
	}
	c.voters = voters
}

// checkSent checks that a member votes for at most one candidate per term, and that
// it votes and campaigns only if a membership stored on its disk admits that disk.
func (c *simInvariants) checkSent(s *simulation, server *simServer, message Message) {
	switch message.Type {
	case MessageVote, MessagePreVote:
		if !server.disk.admits(server.id) {
			s.t.Fatalf("%s campaigns with disk %s, which its log has not admitted", server.id, server.disk.id)
		}
		if message.Type == MessageVote {
			c.checkVote(s, server, message.Term, server.id)
		}
	case MessageVoteResponse, MessagePreVoteResponse:
		if message.Reject {
			return
		}
		if !server.disk.admits(server.id) {
			s.t.Fatalf("%s votes with disk %s, which its log has not admitted", server.id, server.disk.id)
		}
		if message.Type == MessageVoteResponse {
			c.checkVote(s, server, message.Term, message.To)
		}
	default:
	}
}

func (c *simInvariants) checkVote(s *simulation, server *simServer, term uint64, candidate MemberID) {
	key := voteKey{disk: server.disk.id, term: term}
	if earlier, ok := c.votes[key]; ok && earlier != candidate {
		s.t.Fatalf("%s voted for %s and for %s in term %d", server.id, earlier, candidate, term)
	}
	c.votes[key] = candidate
}

// checkNodes checks all nodes after an event.
func (c *simInvariants) checkNodes(s *simulation) {
	leases := 0
	for _, server := range s.servers {
		if server.node == nil {
			continue
		}
		if s.now.Before(server.node.LeaseEnd(s.now)) {
			leases++
		}
		if server.node.Role() == Leader {
			c.checkLeader(s, server)
		}
		if !server.suspended {
			c.checkIsolatedLeader(s, server)
		}
	}
	if leases > 1 {
		s.t.Fatalf("%d leaders hold a lease at the same time", leases)
	}
}

// checkLeader checks that a term has one leader, that the leader has every entry
// committed in earlier terms and at most one uncommitted membership change, and that
// it commits only entries that a majority has stored on admitted disks.
func (c *simInvariants) checkLeader(s *simulation, server *simServer) {
	term := server.node.Term()
	if earlier, ok := c.leaders[term]; ok && earlier != server.disk.id {
		s.t.Fatalf("term %d has two leaders, with disks %s and %s", term, earlier, server.disk.id)
	}
	if _, ok := c.leaders[term]; !ok {
		c.leaders[term] = server.disk.id
		c.committed[server.disk.id] = server.node.log.committed
		for index, entry := range c.log {
			stored, ok := server.node.log.term(index)
			// A candidate may win an election of an older term late. It lacks entries of
			// newer terms, but cannot commit anything.
			mustHave := c.firstCommitTerm[index] < term && index > server.node.log.baseIndex
			if mustHave && (!ok || stored != entry.Term) {
				s.t.Fatalf("%s leads term %d without the committed entry %d", server.id, term, index)
			}
		}
	}
	uncommitted := 0
	for _, known := range server.node.memberships {
		if known.index > server.node.log.committed {
			uncommitted++
		}
	}
	if uncommitted > 1 {
		s.t.Fatalf("%s has %d uncommitted membership changes", server.id, uncommitted)
	}
	index := server.node.log.committed
	if index <= c.committed[server.disk.id] {
		return
	}
	c.committed[server.disk.id] = index
	c.checkMajorityStored(s, server, index)
}

func (c *simInvariants) checkMajorityStored(s *simulation, server *simServer, index uint64) {
	entryTerm, _ := server.node.log.term(index)
	membership := server.node.Membership()
	stored := 0
	for _, member := range membership.Members {
		disk := s.disks[member.Disk]
		if member.Voter && disk != nil && disk.has(index, entryTerm) {
			stored++
		}
	}
	if entryTerm != server.node.Term() {
		s.t.Fatalf("%s committed entry %d of the older term %d by counting disks", server.id, index, entryTerm)
	}
	if stored < membership.majority() {
		s.t.Fatalf("%s committed entry %d, which is stored on %d of %d voters' disks", server.id, index, stored, membership.VoterCount())
	}
}

// checkIsolatedLeader checks that a leader that cannot send or cannot receive
// rejects proposals after an election timeout.
func (c *simInvariants) checkIsolatedLeader(s *simulation, server *simServer) {
	if server.node.Role() != Leader || server.node.Membership().VoterCount() == 1 {
		return
	}
	expired := func(blockedSince time.Time) bool {
		return !blockedSince.IsZero() && s.now.Sub(blockedSince) >= testElectionTimeout
	}
	if !expired(server.sendBlockedSince) && !expired(server.receiveBlockedSince) {
		return
	}
	if err := server.node.checkCanPropose(s.now); err == nil {
		s.t.Fatalf("%s still accepts proposals %s after it was isolated", server.id, testElectionTimeout)
	}
}
