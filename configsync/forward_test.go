package configsync

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// proposerFunc is a Proposer that a test writes.
type proposerFunc func(command *fleetconfig.Command) (*fleetconfig.Result, error)

func (f proposerFunc) Propose(_ context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error) {
	return f(command)
}

// A follower passes commands on to the leader and gives back what the leader has
// answered; an answer that is lost on the way leaves the outcome unknown.
func TestForwarderPreservesOutcomeKind(t *testing.T) {
	fleet := newFakeFleet(t)
	follower, leader := fleet.start(1, true), fleet.start(2, true)
	var answer error
	asked := 0
	NewForwarder(proposerFunc(func(command *fleetconfig.Command) (*fleetconfig.Result, error) {
		asked++
		return &fleetconfig.Result{ChangeID: command.ChangeID, Verdict: fleetconfig.VerdictConflict, Version: 7}, answer
	}), leader, leader.mux)
	forwarder := NewForwarder(proposerFunc(func(*fleetconfig.Command) (*fleetconfig.Result, error) {
		return nil, &control.NotLeaderError{Address: leader.peer.Address}
	}), follower, follower.mux)
	command := &fleetconfig.Command{ChangeID: "c"}

	result, err := forwarder.Propose(context.Background(), command)
	must.NoError(t, err)
	must.Eq(t, fleetconfig.VerdictConflict, result.Verdict)
	must.Eq(t, 7, result.Version)

	var busy *control.BusyError
	answer = &control.BusyError{Reason: "much to do"}
	_, err = forwarder.Propose(context.Background(), command)
	must.True(t, errors.As(err, &busy))

	var notLeader *control.NotLeaderError
	answer = &control.NotLeaderError{Address: follower.peer.Address}
	_, err = forwarder.Propose(context.Background(), command)
	must.True(t, errors.As(err, &notLeader))
	must.Eq(t, 3, asked)

	var unknown *control.OutcomeUnknownError
	answer = errors.New("anything")
	_, err = forwarder.Propose(context.Background(), command)
	must.True(t, errors.As(err, &unknown))
	leader.disconnected.Store(true)
	_, err = forwarder.Propose(context.Background(), command)
	must.True(t, errors.As(err, &unknown))
}
