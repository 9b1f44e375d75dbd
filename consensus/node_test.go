package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/internal/codec"
)

var testStart = time.Unix(1_700_000_000, 0)

// newTestNode returns a bootstrapped node that is one of the three voters a, b and c.
func newTestNode(t *testing.T, id MemberID) *Node {
	t.Helper()
	members := NewMembership(
		Member{ID: "a", Disk: "da", Voter: true},
		Member{ID: "b", Disk: "db", Voter: true},
		Member{ID: "c", Disk: "dc", Voter: true},
	)
	node, err := New(Config{
		ID:                  id,
		Disk:                "d" + DiskID(id),
		ElectionTimeout:     testElectionTimeout,
		HeartbeatInterval:   testHeartbeat,
		MaxMessageBytes:     1 << 20,
		MaxUncommittedBytes: 1 << 20,
		Rand:                rand.New(rand.NewPCG(1, 2)),
	}, StoredState{}, testStart)
	must.NoError(t, err)
	node.Bootstrap(testStart, InitialSnapshot(members))
	processReady(node)
	return node
}

// processReady treats the node's pending work as done, without storing or applying
// anything, and returns the node's messages.
func processReady(node *Node) []Message {
	var messages []Message
	for node.HasReady() {
		ready := node.Ready()
		messages = append(messages, ready.Messages...)
		messages = append(messages, ready.MessagesAfterSync...)
		node.Advance()
	}
	return messages
}

// After a member has answered a leader, the leader relies on the member to grant no
// vote for an election timeout, even if it has meanwhile adopted a newer term.
// A vote within that time could elect a second leader during the first one's lease.
func TestVoteRejectedDuringPreviousLeaderLease(t *testing.T) {
	node := newTestNode(t, "a")
	now := testStart.Add(2 * testElectionTimeout)
	node.Step(now, Message{Type: MessageAppend, From: "b", FromDisk: "db", To: "a", Term: 2, Index: 1, LogTerm: 1})
	node.Step(now, Message{Type: MessageAppendResponse, From: "c", FromDisk: "dc", To: "a", Term: 3, Reject: true})
	must.Eq(t, 3, node.Term())
	processReady(node)

	request := Message{Type: MessageVote, From: "c", FromDisk: "dc", To: "a", Term: 3, Index: 1, LogTerm: 1}
	node.Step(now.Add(testElectionTimeout-1), request)
	refused := processReady(node)
	must.Len(t, 1, refused)
	must.True(t, refused[0].Reject)

	node.Step(now.Add(testElectionTimeout), request)
	granted := processReady(node)
	must.Len(t, 1, granted)
	must.False(t, granted[0].Reject)
}

// grantsVote reports whether the node grants a vote or pre-vote, by kind, to a
// candidate of term 3.
func grantsVote(node *Node, now time.Time, kind MessageType) bool {
	node.Step(now, Message{Type: kind, From: "c", FromDisk: "dc", To: "a", Term: 3, Index: 1, LogTerm: 1})
	for _, answer := range processReady(node) {
		if !answer.Reject {
			return true
		}
	}
	return false
}

// A member that is in contact with a leader grants no vote to another candidate.
// Neither does a restarted member for an election timeout, because it does not
// know what it answered before.
func TestVoteRejectedDuringLeaderLeaseAndAfterRestart(t *testing.T) {
	for _, kind := range []MessageType{MessagePreVote, MessageVote} {
		// New does the same for a first start as for a restart.
		started := newTestNode(t, "a")
		must.False(t, grantsVote(started, testStart.Add(testElectionTimeout-1), kind))
		must.True(t, grantsVote(started, testStart.Add(testElectionTimeout), kind))

		node := newTestNode(t, "a")
		now := testStart.Add(2 * testElectionTimeout)
		node.Step(now, Message{Type: MessageAppend, From: "b", FromDisk: "db", To: "a", Term: 2, Index: 1, LogTerm: 1})
		processReady(node)
		must.False(t, grantsVote(node, now.Add(testElectionTimeout-1), kind))
		must.True(t, grantsVote(node, now.Add(testElectionTimeout), kind))
	}
}

// For a planned stop, leadership is transferred without waiting for an election
// timeout.
func TestTransferLeadershipElectsSuccessorWithoutTimeout(t *testing.T) {
	nodes := map[MemberID]*Node{}
	for _, id := range []MemberID{"a", "b", "c"} {
		nodes[id] = newTestNode(t, id)
	}
	now := testStart
	exchange := func() {
		for moved := true; moved; {
			moved = false
			for _, node := range nodes {
				for _, message := range processReady(node) {
					moved = true
					nodes[message.To].Step(now, message)
				}
			}
		}
	}
	for nodes["a"].Role() != Leader {
		now = now.Add(testHeartbeat)
		nodes["a"].Tick(now)
		exchange()
	}
	must.NoError(t, nodes["a"].TransferLeadership(now))
	_, _, err := nodes["a"].Propose(now, []byte("late"))
	must.Error(t, err)
	exchange()
	must.NotEq(t, Leader, nodes["a"].Role())
	must.True(t, nodes["b"].Role() == Leader || nodes["c"].Role() == Leader)
}

// FuzzStep passes a follower arbitrary messages, including ones that no correct
// member sends.
func FuzzStep(f *testing.F) {
	seeds := []Message{
		{Type: MessageAppend, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}},
		{Type: MessageAppend, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 9, Term: 7}}},
		{Type: MessageSnapshot, From: "b", To: "a", Term: 2, Snapshot: &Snapshot{Index: 9, Term: 2}},
		{Type: MessageVote, From: "b", FromDisk: "db", To: "a", Term: 9, Index: 1, LogTerm: 1},
	}
	for _, seed := range seeds {
		data, err := codec.Marshal(seed)
		must.NoError(f, err)
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		node := newTestNode(t, "a")
		now := testStart.Add(testElectionTimeout)
		for _, data := range [][]byte{first, second} {
			var message Message
			if codec.Unmarshal(data, &message) == nil {
				message.To = "a"
				node.Step(now, message)
				processReady(node)
			}
		}
		node.Tick(now.Add(2 * testElectionTimeout))
		processReady(node)
	})
}

func TestNewRejectsStoredLogWithGap(t *testing.T) {
	_, err := New(Config{ElectionTimeout: time.Second, Rand: rand.New(rand.NewPCG(1, 2))}, StoredState{
		HardState: HardState{Term: 1},
		Entries:   []Entry{{Index: 2, Term: 1}},
	}, testStart)
	var inconsistent *InconsistentStateError
	must.True(t, errors.As(err, &inconsistent))
}

// After a restart, in the term in which it has voted, a member grants its vote only
// to the candidate that it voted for, and only if that has the same disk.
func TestRestartedMemberKeepsVote(t *testing.T) {
	stored := StoredState{
		HardState: HardState{Term: 5, Vote: "b", VoteDisk: "db"},
		Snapshot:  InitialSnapshot(NewMembership(Member{ID: "a", Disk: "da", Voter: true})),
	}
	config := Config{ID: "a", Disk: "da", ElectionTimeout: testElectionTimeout, Rand: rand.New(rand.NewPCG(1, 2))}
	node, err := New(config, stored, testStart)
	must.NoError(t, err)
	later := testStart.Add(testElectionTimeout)
	for _, candidate := range []struct {
		id    MemberID
		disk  DiskID
		grant bool
	}{{"c", "dc", false}, {"b", "swapped", false}, {"b", "db", true}} {
		node.Step(later, Message{
			Type: MessageVote, From: candidate.id, FromDisk: candidate.disk, To: "a", Term: 5, Index: 1, LogTerm: 1,
		})
		answers := processReady(node)
		must.Len(t, 1, answers)
		must.Eq(t, candidate.grant, !answers[0].Reject)
	}
}

// It can happen that only the removed leader has stored the entry that removes it.
// Its log is then the newest, and it grants no vote to a member with an older one.
// It must still campaign, because no one else can be elected if the other members
// that are available are no majority without its vote.
func TestMemberWithUncommittedRemovalCampaigns(t *testing.T) {
	all := NewMembership(
		Member{ID: "a", Disk: "da", Voter: true},
		Member{ID: "b", Disk: "db", Voter: true},
		Member{ID: "c", Disk: "dc", Voter: true},
	)
	without := all.Without("a")
	node, err := New(Config{ID: "a", Disk: "da", ElectionTimeout: testElectionTimeout, Rand: rand.New(rand.NewPCG(1, 2))},
		StoredState{
			HardState: HardState{Term: 2},
			Snapshot:  InitialSnapshot(all),
			Entries:   []Entry{{Index: 2, Term: 2, Kind: EntryMembership, Membership: &without}},
		}, testStart)
	must.NoError(t, err)
	node.Tick(testStart.Add(2 * testElectionTimeout))
	must.Eq(t, PreCandidate, node.Role())
	must.Len(t, 2, processReady(node))
}
