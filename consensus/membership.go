package consensus

import (
	"cmp"
	"slices"
)

// maxVoters is the largest number of voters in a membership: seven, the most that
// a fleet configures, and one more while a member is replaced.
const maxVoters = 8

// Member is one instance of a membership, with the disk that the log has admitted
// for it.
type Member struct {
	ID MemberID `cbor:"1,keyasint"`
	// Address is the address at which the member receives messages.
	Address string `cbor:"2,keyasint"`
	// Disk is the admitted disk. Votes and answers of a member that runs on
	// another disk do not count.
	Disk DiskID `cbor:"3,keyasint"`
	// Voter reports whether the member counts towards majorities. A member that is
	// not a voter is a learner: it only receives the log.
	Voter bool `cbor:"4,keyasint,omitempty"`
}

// Membership is a set of members, ordered by ID. It is immutable.
type Membership struct {
	Members []Member `cbor:"1,keyasint,omitempty"`
}

// NewMembership returns the membership of the given members.
func NewMembership(members ...Member) Membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return Membership{Members: sorted}
}

// Find returns the member with the given ID.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Admits reports whether the membership lists the member with exactly this disk.
func (m Membership) Admits(id MemberID, disk DiskID) bool {
	member, ok := m.Find(id)
	return ok && member.Disk == disk
}

// IsVoter reports whether the membership lists the member as a voter with exactly
// this disk.
func (m Membership) IsVoter(id MemberID, disk DiskID) bool {
	member, ok := m.Find(id)
	return ok && member.Disk == disk && member.Voter
}

// With returns a copy of the membership in which the given member is added, or
// replaces the member with the same ID.
func (m Membership) With(member Member) Membership {
	return NewMembership(append(m.Without(member.ID).Members, member)...)
}

// Without returns a copy of the membership without the member with the given ID.
func (m Membership) Without(id MemberID) Membership {
	rest := make([]Member, 0, len(m.Members)+1)
	for _, member := range m.Members {
		if member.ID != id {
			rest = append(rest, member)
		}
	}
	return Membership{Members: rest}
}

// VoterCount returns the number of voters.
func (m Membership) VoterCount() int {
	voters := 0
	for _, member := range m.Members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// majority returns the number of voters that form a majority.
func (m Membership) majority() int {
	return m.VoterCount()/2 + 1
}

// isValidChangeFrom reports whether the membership may replace the previous one in
// one step.
//
// Invariant: any majority of the previous membership and any majority of the new
// one have a voter in common. A voter here is an instance with its disk. The
// invariant holds if the memberships differ by at most one voter. A voter's disk
// therefore cannot be replaced in one step: the voter first becomes a learner
// with the new disk, and then a voter again.
//
// Invariant: a new voter was a learner with the same disk before. Its log then
// already admits the disk, so it can vote even if it never receives the entry that
// makes it a voter.
func (m Membership) isValidChangeFrom(previous Membership) bool {
	voters := m.VoterCount()
	if voters < 1 || voters > maxVoters {
		return false
	}
	for _, member := range m.Members {
		if member.Voter && !previous.Admits(member.ID, member.Disk) {
			return false
		}
	}
	return countVotersNotIn(m, previous)+countVotersNotIn(previous, m) <= 1
}

// countVotersNotIn counts the voters of a that are not voters of b.
func countVotersNotIn(a, b Membership) int {
	count := 0
	for _, member := range a.Members {
		if member.Voter && !b.IsVoter(member.ID, member.Disk) {
			count++
		}
	}
	return count
}

// membershipEntry is a membership with the index of the log entry that introduced
// it.
type membershipEntry struct {
	index      uint64
	membership Membership
}

// membershipHistory lists the memberships in the log, oldest first. The first is
// the one in force at the log's base.
//
// Invariant: the last one is in force, whether or not it is committed.
type membershipHistory []membershipEntry

// current returns the membership in force.
func (l membershipHistory) current() membershipEntry {
	return l[len(l)-1]
}

// at returns the membership in force at an index.
func (l membershipHistory) at(index uint64) Membership {
	for i := len(l) - 1; i > 0; i-- {
		if l[i].index <= index {
			return l[i].membership
		}
	}
	return l[0].membership
}

// truncate removes the memberships whose log entries are at or after the given
// index. It is called when another leader's entries replace those entries.
func (l membershipHistory) truncate(from uint64) membershipHistory {
	for len(l) > 1 && l[len(l)-1].index >= from {
		l = l[:len(l)-1]
	}
	return l
}

// compact removes the memberships that were replaced at or before the index.
func (l membershipHistory) compact(index uint64) membershipHistory {
	for len(l) > 1 && l[1].index <= index {
		l = l[1:]
	}
	return slices.Clone(l)
}
