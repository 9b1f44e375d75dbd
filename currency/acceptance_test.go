package currency

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// These rows of events are too rare in the soup.

var (
	begin = time.Time{}.Add(time.Hour)
	trio  = []fleetconfig.InstanceID{"a", "b", "c"}
)

func at(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }

func holding(incarnation, held uint64, ready bool) *PollReply {
	return &PollReply{Incarnation: incarnation, Held: held, Ready: ready}
}

// a answers, loses its memory, and only then b answers: no moment is known at
// which both held the version.
func TestAcceptanceNeedsAMajorityAtOneMoment(t *testing.T) {
	leader := NewLeader(1, Revision{Version: 2, Holders: trio})
	leader.HandlePollReply("a", holding(1, 2, true), at(0), at(1))
	leader.HandlePollReply("b", holding(1, 2, true), at(0), at(2))
	_, accepted := leader.Accepted()
	must.False(t, accepted)
	leader.HandlePollReply("a", holding(9, 1, true), at(3), at(4))
	leader.HandlePollReply("b", holding(1, 2, true), at(3), at(4))
	_, accepted = leader.Accepted()
	must.False(t, accepted)
	leader.HandlePollReply("a", holding(9, 2, true), at(5), at(6))
	leader.HandlePollReply("b", holding(1, 2, true), at(5), at(6))
	_, accepted = leader.Accepted()
	must.False(t, accepted)
	leader.HandlePollReply("a", holding(9, 2, true), at(6), at(7))
	leader.HandlePollReply("b", holding(1, 2, true), at(6), at(7))
	version, accepted := leader.Accepted()
	must.True(t, accepted)
	must.Eq(t, 2, version)
}

func TestNewHoldersNeedAMajorityOfTheFormerOnes(t *testing.T) {
	leader := NewLeader(1, Revision{Version: 2, Holders: []fleetconfig.InstanceID{"d"}, FormerHolders: trio})
	for second := range 3 {
		leader.HandlePollReply("d", holding(1, 2, true), at(second), at(second+1))
		leader.HandlePollReply("a", holding(1, 2, true), at(second), at(second+1))
	}
	_, accepted := leader.Accepted()
	must.False(t, accepted)
	for second := range 3 {
		leader.HandlePollReply("a", holding(1, 2, true), at(second+3), at(second+4))
		leader.HandlePollReply("b", holding(1, 2, true), at(second+3), at(second+4))
		leader.HandlePollReply("d", holding(1, 2, true), at(second+3), at(second+4))
	}
	_, accepted = leader.Accepted()
	must.True(t, accepted)
}

// A change is proposed only from an accepted version, while a majority of the
// holders is heard. One from an older version may pass: it can make no version.
func TestChangesWaitForTheAcceptanceOfTheLastOne(t *testing.T) {
	leader := NewLeader(1, Revision{Version: 2, Holders: trio})
	must.ErrorContains(t, leader.CheckProposal(2, at(0)), "not yet confirmed")
	must.NoError(t, leader.CheckProposal(1, at(0)))
	for second := range 3 {
		leader.HandlePollReply("a", holding(1, 2, true), at(second), at(second+1))
		leader.HandlePollReply("b", holding(1, 2, true), at(second), at(second+1))
	}
	must.NoError(t, leader.CheckProposal(2, at(3)))
	must.ErrorContains(t, leader.CheckProposal(3, at(3)), "not known")
	must.ErrorContains(t, leader.CheckProposal(2, at(2).Add(HolderContactTimeout+1)), "silent")
}

// A holder that holds a committed version does not serve from it before it is
// accepted.
func TestOnlyAcceptedVersionsAreServed(t *testing.T) {
	node := NewNode("a", 1, DefaultRevocationBound, begin)
	node.HandleLeaderAttestation(Attestation{Term: 1, Accepted: 1, Highest: 1}, begin, begin)
	node.StoreRevision(Revision{Version: 1, Holders: trio}, begin)
	version, serving := node.Serving()
	must.True(t, serving)
	must.Eq(t, 1, version)

	node.StoreRevision(Revision{Version: 2, Holders: trio}, at(1))
	version, _ = node.Serving()
	must.Eq(t, 1, version)
	must.Eq(t, 2, node.Held().Version)
	for second := range 3 {
		node.HandlePollReply("b", holding(1, 2, true), at(second+1), at(second+2))
	}
	version, _ = node.Serving()
	must.Eq(t, 2, version)
}

// A holder that has lost its memory is heard but does not vouch.
func TestAHolderThatLostItsMemoryDoesNotVouch(t *testing.T) {
	node := NewNode("x", 1, DefaultRevocationBound, begin)
	node.StoreRevision(Revision{Version: 1, Holders: trio}, begin)
	node.HandlePollReply("a", holding(9, 1, false), begin, at(1))
	node.HandlePollReply("c", holding(1, 1, true), begin, at(1))
	must.False(t, node.Ready())
	node.HandlePollReply("a", holding(9, 1, true), at(1), at(2))
	must.True(t, node.Ready())
}
