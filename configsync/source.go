package configsync

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/transport"
)

// pathSource is the path of the call for the source text.
const pathSource = "/fleet/config/source"

// sourceRequest asks the leader for the source text; see Replica.Source.
type sourceRequest struct{}

// sourceReply is the reply to a sourceRequest.
type sourceReply struct {
	// NotLeader reports that the receiver is not certain to be the leader.
	NotLeader bool `cbor:"1,keyasint,omitempty"`
	// Source is the text, or empty if operators never sent a complete configuration.
	Source []byte `cbor:"2,keyasint,omitempty"`
}

// SourceReader reads the source text (see Replica.Source), on this instance if it is the
// leader, otherwise from the leader. The text is never older than the latest one that
// was committed when Source was called.
type SourceReader struct {
	service *Service
	caller  transport.Caller
}

// NewSourceReader returns a reader and registers on mux the call with which the other
// control instances read from this one.
func NewSourceReader(service *Service, caller transport.Caller, mux *http.ServeMux) *SourceReader {
	reader := &SourceReader{service: service, caller: caller}
	transport.HandleCall(mux, pathSource, func(ctx context.Context, _ fleetconfig.InstanceID, _ *sourceRequest) (*sourceReply, error) {
		source, err := reader.readLocal(ctx)
		var notLeader *control.NotLeaderError
		if errors.As(err, &notLeader) {
			return &sourceReply{NotLeader: true}, nil
		}
		return &sourceReply{Source: source}, err
	})
	return reader
}

// Source returns the text. It fails with *control.NotLeaderError if no leader is known, or
// if the known leader is not certain to be the leader.
func (r *SourceReader) Source(ctx context.Context) ([]byte, error) {
	source, err := r.readLocal(ctx)
	var notLeader *control.NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Address == "" {
		return source, err
	}
	reply := new(sourceReply)
	if err := r.caller.Call(ctx, notLeader.Address, pathSource, &sourceRequest{}, reply); err != nil {
		return nil, err
	}
	if reply.NotLeader {
		return nil, &control.NotLeaderError{}
	}
	return reply.Source, nil
}

// readLocal returns the text of this instance if it is the leader.
func (r *SourceReader) readLocal(ctx context.Context) ([]byte, error) {
	if r.service.config.Log == nil {
		return nil, &control.NotLeaderError{}
	}
	if err := r.service.config.Log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return r.service.config.Replica.Source(), nil
}
