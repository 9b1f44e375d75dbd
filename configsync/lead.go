package configsync

import (
	"context"
	"slices"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/currency"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// runControlRound does the work of a control instance: it holds what is committed and, as
// the leader, offers it to the holders and attests.
func (s *Service) runControlRound(ctx context.Context) {
	if s.config.Log == nil {
		return
	}
	leadership := s.config.Log.Leadership()
	// The document is read after Leadership, so that it has all that earlier
	// leaders committed.
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
	s.node.HandleLeaderAttestation(s.leader.Attest(), s.confirmedAt, clock.Now())
	s.publish()
	for _, holder := range allHolders(document) {
		if _, running := s.inFlight[holder.ID]; !running {
			s.inFlight[holder.ID] = clock.Now()
			go func() {
				defer s.callEnded(holder.ID)
				s.offerToHolder(ctx, s.currentLeader(), holder)
			}()
		}
	}
}

// allHolders returns the holders and the former holders, each once.
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

func (s *Service) currentLeader() *currency.Leader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// offerToHolder offers a holder the committed version and takes in what it answers.
func (s *Service) offerToHolder(ctx context.Context, leader *currency.Leader, holder fleetconfig.InstanceAddress) {
	if leader == nil {
		return
	}
	s.mu.Lock()
	have := s.heldVersions[holder.ID]
	request := &offerRequest{Leader: true}
	request.Accepted, _ = leader.Accepted()
	request.Delta, _ = s.deltas.Since(have, s.held.Version)
	s.mu.Unlock()
	sentAt := clock.Now()
	answer, err := s.sendOffer(ctx, holder, request)
	if err != nil {
		s.config.Logger.Debug("offer to a holder failed", "instance", holder.ID, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldVersions[holder.ID] = answer.Held
	before, _ := leader.Accepted()
	leader.HandlePollReply(holder.ID, answer, sentAt, clock.Now())
	accepted, _ := leader.Accepted()
	committed := leader.Committed()
	if accepted > before {
		// Tell it at once, so that the version comes into force.
		s.node.MarkAccepted(accepted, clock.Now())
		s.publish()
		s.signalAccepted()
		s.offerToAllHolders(ctx, leader)
		return
	}
	// A holder that has just taken the version is asked again with all others, to
	// find a moment at which a majority held it. That is one round for each holder
	// and version.
	if answer.Held >= committed.Version && have < committed.Version {
		s.offerToAllHolders(ctx, leader)
	}
}

// offerToAllHolders starts a round of offers. The caller holds mu.
func (s *Service) offerToAllHolders(ctx context.Context, leader *currency.Leader) {
	for _, holder := range allHolders(s.held) {
		go s.offerToHolder(ctx, leader, holder)
	}
}

// sendOffer makes the call, or answers itself when this instance is the holder.
func (s *Service) sendOffer(ctx context.Context, holder fleetconfig.InstanceAddress, request *offerRequest) (*currency.PollReply, error) {
	if holder.ID == s.config.Self.ID {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.node.PollReply(clock.Now()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := new(pollReply)
	err := s.config.Caller.Call(ctx, holder.Address, pathOffer, request, reply)
	return &reply.Currency, err
}
