package configsync

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/transport"
)

// pathPropose is the path of the call that forwards a command.
const pathPropose = "/fleet/config/propose"

// Proposer proposes commands. It is implemented by Service and Forwarder.
type Proposer interface {
	// Propose is specified at Service.Propose.
	Propose(ctx context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error)
}

// Forwarder forwards commands to the leader of control if this control instance is not
// the leader.
type Forwarder struct {
	local  Proposer
	caller transport.Caller
}

// proposeReply is the reply to a forwarded command: the result or the kind of error.
type proposeReply struct {
	Result         *fleetconfig.Result `cbor:"1,keyasint,omitempty"`
	NotLeader      bool                `cbor:"2,keyasint,omitempty"`
	Busy           string              `cbor:"3,keyasint,omitempty"`
	OutcomeUnknown string              `cbor:"4,keyasint,omitempty"`
}

// NewForwarder returns a forwarder and registers on mux the call with which other
// control instances forward commands to local. Only instances of the fleet can make
// that call; the calling instance has already authorized the operator.
func NewForwarder(local Proposer, caller transport.Caller, mux *http.ServeMux) *Forwarder {
	transport.HandleCall(mux, pathPropose, func(ctx context.Context, _ fleetconfig.InstanceID, command *fleetconfig.Command) (*proposeReply, error) {
		result, err := local.Propose(ctx, command)
		return newProposeReply(result, err), nil
	})
	return &Forwarder{local: local, caller: caller}
}

// Propose proposes the command on this instance or, if another one leads, once on the
// leader. It returns the same errors as Service.Propose.
func (f *Forwarder) Propose(ctx context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error) {
	result, err := f.local.Propose(ctx, command)
	var notLeader *control.NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Address == "" {
		return result, err
	}
	reply := new(proposeReply)
	if err := f.caller.Call(ctx, notLeader.Address, pathPropose, command, reply); err != nil {
		// The leader may have applied the command.
		return nil, &control.OutcomeUnknownError{Reason: "no reply from the leader: " + err.Error()}
	}
	return reply.decode()
}

// newProposeReply encodes the outcome of a command.
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
	// Any other error does not tell whether the command was applied, so the outcome is
	// unknown.
	return &proposeReply{OutcomeUnknown: err.Error()}
}

// decode returns the outcome that the reply contains.
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
