package configsync

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// handlePoll replies to a poll.
func (s *Service) handlePoll(_ context.Context, _ fleetconfig.InstanceID, request *pollRequest) (*pollReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newPollReply(request.Have, request.WantHeld), nil
}

// newPollReply returns the reply to an instance that holds version have. The caller
// holds mu.
func (s *Service) newPollReply(have uint64, wantHeld bool) *pollReply {
	document, accepted := s.documentToSend(wantHeld)
	reply := &pollReply{
		Currency: *s.currencyNode.PollReply(clock.Now()),
		Newest:   document.Version,
		Accepted: accepted,
	}
	if have < document.Version {
		reply.Delta, _ = s.deltas.Since(have, document.Version)
	}
	return reply
}

// documentToSend returns the document to send to other instances, and whether it is
// accepted. The caller holds mu.
func (s *Service) documentToSend(wantHeld bool) (*fleetconfig.Document, bool) {
	document := s.View().Document()
	if wantHeld && s.held.Version > document.Version {
		return s.held, false
	}
	_, serving := s.currencyNode.Serving()
	return document, serving
}

// handleOffer stores an offered version. The reply is the same as the reply to a poll with
// WantHeld set.
func (s *Service) handleOffer(_ context.Context, from fleetconfig.InstanceID, request *offerRequest) (*pollReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Leader {
		s.offeringLeader = from
	}
	if request.Delta != nil && request.Delta.From == s.held.Version {
		document, err := request.Delta.Apply(s.held)
		if err != nil {
			return nil, err
		}
		s.storeDocument(document, false)
	}
	s.currencyNode.MarkAccepted(request.Accepted, clock.Now())
	s.publish()
	return s.newPollReply(s.held.Version, true), nil
}

// handleSnapshot sends a complete document. It refuses if maxSnapshotTransfers
// transfers are already running.
func (s *Service) handleSnapshot(_ context.Context, _ fleetconfig.InstanceID, request *snapshotRequest) (*snapshotReply, error) {
	select {
	case s.snapshotSlots <- struct{}{}:
		defer func() { <-s.snapshotSlots }()
	default:
		return nil, errors.New("too many snapshots are being sent by this instance; ask another one")
	}
	s.mu.Lock()
	document, accepted := s.documentToSend(request.WantHeld)
	s.mu.Unlock()
	data, err := fleetconfig.EncodeDocument(document)
	if err != nil {
		return nil, err
	}
	return &snapshotReply{Accepted: accepted, Document: data}, nil
}
