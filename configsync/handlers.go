package configsync

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// handlePoll replies to a poll.
func (s *Service) handlePoll(_ context.Context, from fleetconfig.InstanceID, request *pollRequest) (*pollReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.newPollReply(request.WantHeld)
	now := clock.Now()
	offered := s.transfers.recordPoll(from, request.Have, now)
	switch {
	case request.Have >= reply.Newest || request.NoDelta:
	case offered:
		reply.DeltaUnderWay = true
	default:
		reply.Delta = s.deltaSince(request.Have, reply.Newest)
		if reply.Delta != nil {
			s.transfers.recordReply(from, reply.Newest, now)
		}
	}
	return reply, nil
}

// newPollReply returns a reply without a delta. The caller holds mu.
func (s *Service) newPollReply(wantHeld bool) *pollReply {
	document, accepted := s.documentToSend(wantHeld)
	return &pollReply{
		Currency: *s.currencyNode.PollReply(clock.Now()),
		Newest:   document.Version,
		Accepted: accepted,
	}
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
	delta, err := s.unpackDelta(request.Delta)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Leader {
		s.offeringLeader = from
	}
	if err := s.applyDelta(request.Delta, delta, false); err != nil {
		return nil, err
	}
	s.currencyNode.MarkAccepted(request.Accepted, clock.Now())
	s.publish()
	return s.newPollReply(true), nil
}

// unpackDelta returns the delta, or nil if it does not apply to the held version. mu is not
// held while the delta is decoded, so that other instances get their replies meanwhile.
func (s *Service) unpackDelta(packed *fleetconfig.PackedDelta) (*fleetconfig.Delta, error) {
	if packed == nil {
		return nil, nil
	}
	s.mu.Lock()
	applies := packed.From == s.held.Version
	s.mu.Unlock()
	if !applies {
		return nil, nil
	}
	return packed.Unpack()
}

// applyDelta stores the document that results from a delta. It does nothing if the delta is
// nil or no longer applies to the held version. The caller holds mu.
func (s *Service) applyDelta(packed *fleetconfig.PackedDelta, delta *fleetconfig.Delta, accepted bool) error {
	if delta == nil || delta.From != s.held.Version || delta.To == delta.From {
		return nil
	}
	document, err := delta.Apply(s.held)
	if err != nil {
		return err
	}
	s.packed.add(packed)
	s.deltas.Add(delta)
	s.held = document
	s.storeDocument(document, accepted)
	return nil
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
	packed, err := s.packSnapshot(document)
	if err != nil {
		return nil, err
	}
	return &snapshotReply{Accepted: accepted, Document: packed}, nil
}
