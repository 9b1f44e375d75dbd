package configsync

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/transport"
)

const pathPropose = "/fleet/config/propose"

// Proposer makes commands. Service and Forwarder implement it.
type Proposer interface {
	// Propose is described at Service.Propose.
	Propose(ctx context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error)
}

// Forwarder passes commands on to the leader of control when this control
// instance does not lead.
type Forwarder struct {
	local  Proposer
	caller transport.Caller
}

// proposeReply carries a result or the kind of error between control instances.
type proposeReply struct {
	Result         *fleetconfig.Result `cbor:"1,keyasint,omitempty"`
	NotLeader      bool                `cbor:"2,keyasint,omitempty"`
	Busy           string              `cbor:"3,keyasint,omitempty"`
	OutcomeUnknown string              `cbor:"4,keyasint,omitempty"`
}

// NewForwarder returns a forwarder and registers the call by which the other
// control instances reach local. The caller of that call is an instance of the
// fleet; it has checked the operator.
func NewForwarder(local Proposer, caller transport.Caller, mux *http.ServeMux) *Forwarder {
	transport.HandleCall(mux, pathPropose, func(ctx context.Context, _ fleetconfig.InstanceID, command *fleetconfig.Command) (*proposeReply, error) {
		result, err := local.Propose(ctx, command)
		return newProposeReply(result, err), nil
	})
	return &Forwarder{local: local, caller: caller}
}

// Propose makes the command here or, once, at the leader. Its errors are those of
// Service.Propose.
func (f *Forwarder) Propose(ctx context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error) {
	result, err := f.local.Propose(ctx, command)
	var notLeader *control.NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Address == "" {
		return result, err
	}
	reply := new(proposeReply)
	if err := f.caller.Call(ctx, notLeader.Address, pathPropose, command, reply); err != nil {
		// The leader may have made it all the same.
		return nil, &control.OutcomeUnknownError{Reason: "the answer of the leader was lost: " + err.Error()}
	}
	return reply.decode()
}

func newProposeReply(result *fleetconfig.Result, err error) *proposeReply {
	var notLeader *control.NotLeaderError
	var busy *control.BusyError
	var unknown *control.OutcomeUnknownError
	switch {
	case err == nil:
		return &proposeReply{Result: result}
	case errors.As(err, &notLeader):
		return &proposeReply{NotLeader: true}
	case errors.As(err, &busy):
		return &proposeReply{Busy: busy.Reason}
	case errors.As(err, &unknown):
		return &proposeReply{OutcomeUnknown: unknown.Reason}
	}
	// An error that says nothing about the command is no rejection.
	return &proposeReply{OutcomeUnknown: err.Error()}
}

func (r *proposeReply) decode() (*fleetconfig.Result, error) {
	switch {
	case r.Result != nil:
		return r.Result, nil
	case r.NotLeader:
		return nil, &control.NotLeaderError{}
	case r.Busy != "":
		return nil, &control.BusyError{Reason: r.Busy}
	}
	return nil, &control.OutcomeUnknownError{Reason: r.OutcomeUnknown}
}
