package consensus

import "time"

type voteKey struct {
	disk DiskID
	term uint64
}

// soupChecks are the properties that must hold after each event.
type soupChecks struct {
	leaders map[uint64]DiskID
	votes   map[voteKey]MemberID
	// log is every entry that any member has committed, seenIn the term in which
	// that was first seen, and hashes the state of the application after each.
	log    map[uint64]Entry
	seenIn map[uint64]uint64
	hashes map[uint64]uint64
	// committed is the highest index checked on each disk's leader.
	committed map[DiskID]uint64
	// voters is the last committed set of voters.
	voters map[DiskID]bool
}

func newSoupChecks() soupChecks {
	return soupChecks{
		leaders:   map[uint64]DiskID{},
		votes:     map[voteKey]MemberID{},
		log:       map[uint64]Entry{},
		seenIn:    map[uint64]uint64{},
		hashes:    map[uint64]uint64{},
		committed: map[DiskID]uint64{},
	}
}

// applied checks that all members apply the same entries to the same state.
func (c *soupChecks) applied(s *soup, server *soupServer, entry Entry) {
	known, ok := c.log[entry.Index]
	if !ok {
		c.membershipStep(s, entry)
		c.log[entry.Index] = entry
		c.seenIn[entry.Index] = server.node.Term()
		c.hashes[entry.Index] = server.hash
		return
	}
	if known.Term != entry.Term || string(known.Data) != string(entry.Data) || c.hashes[entry.Index] != server.hash {
		s.t.Fatalf("%s applied %+v at index %d where another member applied %+v", server.id, entry, entry.Index, known)
	}
}

// membershipStep checks that committed memberships change by one voter at a time.
func (c *soupChecks) membershipStep(s *soup, entry Entry) {
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

// sent checks that a member votes once a term, and never with a disk that no log
// has admitted.
func (c *soupChecks) sent(s *soup, server *soupServer, message Message) {
	switch message.Type {
	case MessageVote, MessagePreVote:
		if !server.disk.admits(server.id) {
			s.t.Fatalf("%s campaigns with disk %s, which its log has not admitted", server.id, server.disk.id)
		}
		if message.Type == MessageVote {
			c.vote(s, server, message.Term, server.id)
		}
	case MessageVoteResponse, MessagePreVoteResponse:
		if message.Reject {
			return
		}
		if !server.disk.admits(server.id) {
			s.t.Fatalf("%s votes with disk %s, which its log has not admitted", server.id, server.disk.id)
		}
		if message.Type == MessageVoteResponse {
			c.vote(s, server, message.Term, message.To)
		}
	default:
	}
}

func (c *soupChecks) vote(s *soup, server *soupServer, term uint64, candidate MemberID) {
	key := voteKey{disk: server.disk.id, term: term}
	if earlier, ok := c.votes[key]; ok && earlier != candidate {
		s.t.Fatalf("%s voted for %s and for %s in term %d", server.id, earlier, candidate, term)
	}
	c.votes[key] = candidate
}

// state checks all nodes after an event.
func (c *soupChecks) state(s *soup) {
	leases := 0
	for _, server := range s.servers {
		if server.node == nil {
			continue
		}
		if s.now.Before(server.node.LeaseEnd(s.now)) {
			leases++
		}
		if server.node.Role() == Leader {
			c.leader(s, server)
		}
		if !server.frozen {
			c.isolated(s, server)
		}
	}
	if leases > 1 {
		s.t.Fatalf("%d members are certain to be the only leader", leases)
	}
}

// leader checks that a term has one leader, that it has every entry that was
// committed in earlier terms, and that it counts as committed only what a
// majority has on admitted disks.
func (c *soupChecks) leader(s *soup, server *soupServer) {
	term := server.node.Term()
	if earlier, ok := c.leaders[term]; ok && earlier != server.disk.id {
		s.t.Fatalf("term %d has two leaders, with disks %s and %s", term, earlier, server.disk.id)
	}
	if _, ok := c.leaders[term]; !ok {
		c.leaders[term] = server.disk.id
		c.committed[server.disk.id] = server.node.log.committed
		for index, entry := range c.log {
			have, ok := server.node.log.term(index)
			// A candidate of an older term may win it late and do nothing with it.
			mustHave := c.seenIn[index] < term && index > server.node.log.baseIndex
			if mustHave && (!ok || have != entry.Term) {
				s.t.Fatalf("%s leads term %d without the committed entry %d", server.id, term, index)
			}
		}
	}
	uncommitted := 0
	for _, at := range server.node.memberships {
		if at.index > server.node.log.committed {
			uncommitted++
		}
	}
	if uncommitted > 1 {
		s.t.Fatalf("%s has %d changes of members outstanding", server.id, uncommitted)
	}
	index := server.node.log.committed
	if index <= c.committed[server.disk.id] {
		return
	}
	c.committed[server.disk.id] = index
	c.majorityHas(s, server, index)
}

func (c *soupChecks) majorityHas(s *soup, server *soupServer, index uint64) {
	entryTerm, _ := server.node.log.term(index)
	membership := server.node.Membership()
	have := 0
	for _, member := range membership.Members {
		disk := s.disks[member.Disk]
		if member.Voter && disk != nil && disk.has(index, entryTerm) {
			have++
		}
	}
	if entryTerm != server.node.Term() {
		s.t.Fatalf("%s counted disks for entry %d of the older term %d", server.id, index, entryTerm)
	}
	if have < membership.majority() {
		s.t.Fatalf("%s committed entry %d with %d of %d disks", server.id, index, have, membership.VoterCount())
	}
}

// isolated checks that a leader that nobody hears, or that hears nobody, has
// stopped accepting after an election timeout.
func (c *soupChecks) isolated(s *soup, server *soupServer) {
	if server.node.Role() != Leader || server.node.Membership().VoterCount() == 1 {
		return
	}
	over := func(cutAt time.Time) bool {
		return !cutAt.IsZero() && s.now.Sub(cutAt) >= testElectionTimeout
	}
	if !over(server.outCutAt) && !over(server.inCutAt) {
		return
	}
	if err := server.node.mayAppend(s.now); err == nil {
		s.t.Fatalf("%s still accepts %s after it was cut off", server.id, testElectionTimeout)
	}
}
