package configsync

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// proposerFunc implements Proposer by a function.
type proposerFunc func(command *fleetconfig.Command) (*fleetconfig.Result, error)

func (f proposerFunc) Propose(_ context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error) {
	return f(command)
}

// A follower forwards commands to the leader and returns the result or the kind of
// error that the leader replied. If the reply is lost, the outcome is unknown.
func TestForwarderPreservesOutcomeKind(t *testing.T) {
	fleet := newFakeFleet(t)
	follower, leader := fleet.start(1, true), fleet.start(2, true)
	var outcome error
	forwarded := 0
	NewForwarder(proposerFunc(func(command *fleetconfig.Command) (*fleetconfig.Result, error) {
		forwarded++
		return &fleetconfig.Result{ChangeID: command.ChangeID, Verdict: fleetconfig.VerdictConflict, Version: 7}, outcome
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
	outcome = &control.BusyError{Reason: "too many commands in progress"}
	_, err = forwarder.Propose(context.Background(), command)
	must.True(t, errors.As(err, &busy))

	var notLeader *control.NotLeaderError
	outcome = &control.NotLeaderError{Address: follower.peer.Address}
	_, err = forwarder.Propose(context.Background(), command)
	must.True(t, errors.As(err, &notLeader))
	must.Eq(t, 3, forwarded)

	var unknown *control.OutcomeUnknownError
	outcome = errors.New("anything")
	_, err = forwarder.Propose(context.Background(), command)
	must.True(t, errors.As(err, &unknown))
	leader.disconnected.Store(true)
	_, err = forwarder.Propose(context.Background(), command)
	must.True(t, errors.As(err, &unknown))
}
