package configsync

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/transport"
)

const pathSource = "/fleet/config/source"

// sourceRequest asks the leader for the text of the configuration in force.
type sourceRequest struct{}

// sourceReply answers a sourceRequest.
type sourceReply struct {
	// NotLeader says that the instance is not certain to lead.
	NotLeader bool `cbor:"1,keyasint,omitempty"`
	// Source is the text, empty when operators never sent a whole configuration.
	Source []byte `cbor:"2,keyasint,omitempty"`
}

// SourceReader reads the text of the configuration in force, here or at the
// leader. It never returns an older one than was in force when it was asked.
type SourceReader struct {
	service *Service
	caller  transport.Caller
}

// NewSourceReader returns a reader and registers the call by which the other
// control instances ask this one.
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

// Source returns the text. It fails with *control.NotLeaderError while no leader is
// known that is certain of its role.
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

func (r *SourceReader) readLocal(ctx context.Context) ([]byte, error) {
	if r.service.config.Log == nil {
		return nil, &control.NotLeaderError{}
	}
	if err := r.service.config.Log.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	return r.service.config.Replica.Source(), nil
}
