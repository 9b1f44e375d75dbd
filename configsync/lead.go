package configsync

import (
	"context"
	"slices"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/currency"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// runControlRound stores the committed document on a control instance. On the leader it
// also creates an attestation and offers the document to the holders. On instances that
// are not control instances it does nothing. The goroutine of Serve calls it.
func (s *Service) runControlRound(ctx context.Context) {
	if s.config.Log == nil {
		return
	}
	leadership := s.config.Log.Leadership()
	// The document is read after Leadership, so that it includes everything that
	// earlier leaders committed.
	document := s.config.Replica.Document()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDocument(document, false)
	if !leadership.Leads {
		s.leader = nil
		return
	}
	revision := currency.RevisionOf(document)
	if s.leader == nil || s.leader.Term() != leadership.Term {
		s.leader = currency.NewLeader(leadership.Term, revision)
	}
	s.leader.Commit(revision)
	s.confirmedAt = leadership.ConfirmedAt
	s.currencyNode.HandleLeaderAttestation(s.leader.Attest(), s.confirmedAt, clock.Now())
	s.publish()
	for _, holder := range allHolders(document) {
		if _, running := s.inFlight[holder.ID]; !running && s.beginOffer(holder.ID) {
			s.inFlight[holder.ID] = clock.Now()
			go func() {
				defer s.callEnded(holder.ID)
				s.offerToHolder(ctx, s.currentLeader(), holder)
			}()
		}
	}
}

// allHolders returns the holders and the former holders, without duplicates.
func allHolders(document *fleetconfig.Document) []fleetconfig.InstanceAddress {
	all := slices.Clone(document.Holders)
	for _, former := range document.FormerHolders {
		known := slices.ContainsFunc(all, func(a fleetconfig.InstanceAddress) bool { return a.ID == former.ID })
		if !known {
			all = append(all, former)
		}
	}
	return all
}

// currentLeader returns the leader state, or nil if this instance is not the leader.
func (s *Service) currentLeader() *currency.Leader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// offerToHolder offers the committed version to a holder and processes the reply. It
// runs in a goroutine of its own for each offer that beginOffer has permitted.
func (s *Service) offerToHolder(ctx context.Context, leader *currency.Leader, holder fleetconfig.InstanceAddress) {
	defer s.offerEnded(ctx, leader, holder)
	if leader == nil {
		return
	}
	s.mu.Lock()
	have := s.offers[holder.ID].held
	request := &offerRequest{Leader: true}
	request.Accepted, _ = leader.Accepted()
	request.Delta = s.deltaSince(have, s.held.Version)
	s.mu.Unlock()
	sentAt := clock.Now()
	reply, err := s.sendOffer(ctx, holder, request)
	if err != nil {
		s.config.Logger.Debug("configuration offer to a holder failed", "instance", holder.ID, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offers[holder.ID].recordReply(reply.Held, sentAt)
	acceptedBefore, _ := leader.Accepted()
	leader.HandlePollReply(holder.ID, reply, sentAt, clock.Now())
	accepted, _ := leader.Accepted()
	committed := leader.Committed()
	if accepted > acceptedBefore {
		// Announce the acceptance to the holders at once, so that they serve from the
		// version.
		s.currencyNode.MarkAccepted(accepted, clock.Now())
		s.publish()
		s.signalAccepted()
		s.offerToAllHolders(ctx, leader)
		return
	}
	// A version is accepted only if a majority holds it at the same time. So when a
	// holder has just received the version, all holders are asked again. This adds one
	// round for each holder and version.
	if reply.Held >= committed.Version && have < committed.Version {
		s.offerToAllHolders(ctx, leader)
	}
}

// offerToAllHolders sends an offer to every holder concurrently. The caller holds mu.
func (s *Service) offerToAllHolders(ctx context.Context, leader *currency.Leader) {
	for _, holder := range allHolders(s.held) {
		if s.beginOffer(holder.ID) {
			go s.offerToHolder(ctx, leader, holder)
		}
	}
}

// sendOffer sends an offer to a holder and returns the reply. If this instance is the
// holder, it returns its own state without a call.
func (s *Service) sendOffer(ctx context.Context, holder fleetconfig.InstanceAddress, request *offerRequest) (*currency.PollReply, error) {
	if holder.ID == s.config.Self.ID {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.currencyNode.PollReply(clock.Now()), nil
	}
	reply, err := s.callOffer(ctx, holder, request)
	return &reply.Currency, err
}
