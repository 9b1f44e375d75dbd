package consensus

import (
	"cmp"
	"slices"
)

// maxVoters is the largest number of voters in a membership. Seven is the most
// that a fleet sets aside; one more passes while a member is replaced.
const maxVoters = 8

// Member is one instance of a membership with the disk that the log admitted.
type Member struct {
	ID MemberID `cbor:"1,keyasint"`
	// Address is where the member receives messages.
	Address string `cbor:"2,keyasint"`
	// Disk is the admitted disk. Messages of another disk do not count.
	Disk DiskID `cbor:"3,keyasint"`
	// Voter tells whether the member counts towards majorities. Others only
	// receive the log.
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

// Find returns the member with the given id.
func (m Membership) Find(id MemberID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Admits tells whether the membership lists the member with this very disk.
func (m Membership) Admits(id MemberID, disk DiskID) bool {
	member, ok := m.Find(id)
	return ok && member.Disk == disk
}

// IsVoter tells whether the membership lists the member with this very disk as
// a voter.
func (m Membership) IsVoter(id MemberID, disk DiskID) bool {
	member, ok := m.Find(id)
	return ok && member.Disk == disk && member.Voter
}

// With returns the membership with a member added or replaced.
func (m Membership) With(member Member) Membership {
	return NewMembership(append(m.Without(member.ID).Members, member)...)
}

// Without returns the membership without the member of the given id.
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

// majority returns how many voters decide.
func (m Membership) majority() int {
	return m.VoterCount()/2 + 1
}

// mayFollow tells whether the membership may replace another in one step.
//
// Invariant: any majority of the one shares a voter, that is an instance with
// its disk, with any majority of the other. That holds if they differ by at most
// one voter. So a new disk cannot take a voter's place in one step: the voter is
// first turned into a receiver with the new disk, then into a voter.
//
// Invariant: a new voter was a receiver with the same disk. Its log then admits
// the disk, so that it votes even if it never hears that it became a voter.
func (m Membership) mayFollow(previous Membership) bool {
	voters := m.VoterCount()
	if voters < 1 || voters > maxVoters {
		return false
	}
	for _, member := range m.Members {
		if member.Voter && !previous.Admits(member.ID, member.Disk) {
			return false
		}
	}
	return votersOnlyIn(m, previous)+votersOnlyIn(previous, m) <= 1
}

// votersOnlyIn counts the voters of a that are not voters of b.
func votersOnlyIn(a, b Membership) int {
	count := 0
	for _, member := range a.Members {
		if member.Voter && !b.IsVoter(member.ID, member.Disk) {
			count++
		}
	}
	return count
}

// membershipAt is a membership and the entry that brought it.
type membershipAt struct {
	index      uint64
	membership Membership
}

// membershipLog is the memberships in the log, oldest first. The first one is
// that at the log's base.
//
// Invariant: the last one is in force, whether it is committed or not.
type membershipLog []membershipAt

// current returns the membership in force.
func (l membershipLog) current() membershipAt {
	return l[len(l)-1]
}

// at returns the membership as of an index.
func (l membershipLog) at(index uint64) Membership {
	for i := len(l) - 1; i > 0; i-- {
		if l[i].index <= index {
			return l[i].membership
		}
	}
	return l[0].membership
}

// truncate removes the memberships from an index on: their entries were
// replaced by another leader's.
func (l membershipLog) truncate(from uint64) membershipLog {
	for len(l) > 1 && l[len(l)-1].index >= from {
		l = l[:len(l)-1]
	}
	return l
}

// compact removes the memberships that were replaced at or before an index.
func (l membershipLog) compact(index uint64) membershipLog {
	for len(l) > 1 && l[1].index <= index {
		l = l[1:]
	}
	return slices.Clone(l)
}
