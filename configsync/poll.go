package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// slowPollTimeout is how long a poll may be unanswered until others are asked beside it. It
// is several round trips between regions, and less than the poll interval.
const slowPollTimeout = 400 * time.Millisecond

// runPollRound starts a round of polls: those that the upstream asks for, and the holders
// when package currency asks for them. Polls that still run are not repeated.
func (s *Service) runPollRound(ctx context.Context) {
	peers := s.config.Peers.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	neighbourhood := findNeighbours(s.config.Self, s.config.Replica != nil, s.held.Holders, peers)
	s.offerToChildren(ctx, neighbourhood.children)
	targets := s.holdersToPoll()
	if leader, found := s.remoteLeader(); found {
		targets = append(targets, leader)
	} else {
		s.upstream.setCandidates(s.upstreamCandidates(&neighbourhood, peers))
		targets = append(targets, s.upstream.targets(clock.Now())...)
	}
	s.pollTargets(ctx, targets)
}

// pollTargets polls those that are not being polled. One that has been for long is taken
// for one that does not help, though its answer still counts. The caller holds mu.
func (s *Service) pollTargets(ctx context.Context, targets []fleetconfig.InstanceAddress) {
	now := clock.Now()
	for len(targets) > 0 {
		target := targets[0]
		targets = targets[1:]
		since, running := s.inFlight[target.ID]
		switch {
		case !running:
			s.inFlight[target.ID] = now
			go s.pollOne(ctx, target)
		case now.Sub(since) >= slowPollTimeout:
			targets = append(targets, s.updateUpstream(func() []fleetconfig.InstanceAddress { return s.upstream.handleFailure(target.ID, now) })...)
		}
	}
}

// updateUpstream lets the upstream take something in, logs when another instance is
// polled for it from now on, and returns whom to ask at once. The caller holds mu.
func (s *Service) updateUpstream(update func() []fleetconfig.InstanceAddress) []fleetconfig.InstanceAddress {
	before := s.upstream.active()
	ask := update()
	if after := s.upstream.active(); after != before {
		s.config.Logger.Info("another instance is polled for the configuration",
			"former", before, "instance", after, "version", s.View().Version())
	}
	return ask
}

// upstreamCandidates returns whom to poll, the best first, how old the news of one that helps
// may be, and how many to ask at once when the best one stops helping. A holder takes
// the leader that it hears offers from. The caller holds mu.
func (s *Service) upstreamCandidates(neighbourhood *neighbours, peers []Peer) ([]fleetconfig.InstanceAddress, time.Duration, int) {
	if _, serving := s.node.Serving(); !serving {
		return startupCandidates(s.config.Self, peers, s.config.PollControlFirst), maxUpstreamAge(neighbourhood.level, s.config.PollInterval), 1
	}
	candidates := slices.Clone(neighbourhood.parents)
	if leader := slices.IndexFunc(candidates, func(a fleetconfig.InstanceAddress) bool { return a.ID == s.offeringLeader }); leader > 0 {
		candidates[0], candidates[leader] = candidates[leader], candidates[0]
	}
	return candidates, maxUpstreamAge(neighbourhood.level, s.config.PollInterval), fallbacksPerRound
}

// remoteLeader returns the leader of control, on the other control instances.
func (s *Service) remoteLeader() (fleetconfig.InstanceAddress, bool) {
	if s.config.Log == nil {
		return fleetconfig.InstanceAddress{}, false
	}
	leadership := s.config.Log.Leadership()
	if leadership.Address == "" || leadership.Leader == s.config.Self.ID {
		return fleetconfig.InstanceAddress{}, false
	}
	return fleetconfig.InstanceAddress{ID: leadership.Leader, Address: leadership.Address}, true
}

// holdersToPoll returns the holders to poll, by their addresses. The caller holds mu.
func (s *Service) holdersToPoll() []fleetconfig.InstanceAddress {
	wanted := s.node.HoldersToPoll(clock.Now())
	var addresses []fleetconfig.InstanceAddress
	for _, holder := range slices.Concat(s.held.Holders, s.held.FormerHolders) {
		if slices.Contains(wanted, holder.ID) {
			addresses = append(addresses, holder)
			wanted = slices.DeleteFunc(wanted, func(id fleetconfig.InstanceID) bool { return id == holder.ID })
		}
	}
	return addresses
}

// pollOne polls one instance and takes in what it answers.
func (s *Service) pollOne(ctx context.Context, target fleetconfig.InstanceAddress) {
	defer s.callEnded(target.ID)
	s.mu.Lock()
	request := pollRequest{Have: s.held.Version, WantHeld: s.wantsHeld()}
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The time is taken before the call: the answer counts from when it was asked.
	sentAt := clock.Now()
	reply := new(pollReply)
	if err := s.config.Caller.Call(callCtx, target.Address, pathPoll, &request, reply); err != nil {
		s.config.Logger.Debug("poll for the configuration failed", "instance", target.ID, "error", err)
		s.handlePollFailure(ctx, target.ID)
		return
	}
	if reply.Currency.Attested {
		s.handlePollAge(ctx, target.ID, reply.Currency.Age)
	} else {
		s.handlePollFailure(ctx, target.ID)
	}
	if s.applyPollReply(target.ID, reply, sentAt) {
		s.fetchSnapshot(ctx, target, request.WantHeld)
	}
}

// wantsHeld reports whether this instance takes versions that are not yet
// accepted. The caller holds mu.
func (s *Service) wantsHeld() bool {
	revision := s.node.Held()
	return s.config.Replica != nil || s.offeringLeader != "" || revision.IncludesHolder(s.config.Self.ID)
}

func (s *Service) callEnded(id fleetconfig.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, id)
}

// handlePollAge notes how old the news of an instance are, and asks others at once when they
// are too old.
func (s *Service) handlePollAge(ctx context.Context, from fleetconfig.InstanceID, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollTargets(ctx, s.updateUpstream(func() []fleetconfig.InstanceAddress { return s.upstream.handleAge(from, age, clock.Now()) }))
}

// handlePollFailure notes that an instance did not answer or has no news.
func (s *Service) handlePollFailure(ctx context.Context, from fleetconfig.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollTargets(ctx, s.updateUpstream(func() []fleetconfig.InstanceAddress { return s.upstream.handleFailure(from, clock.Now()) }))
}

// applyPollReply takes in a reply and reports whether a snapshot is needed.
func (s *Service) applyPollReply(from fleetconfig.InstanceID, reply *pollReply, sentAt time.Time) (needsSnapshot bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The delta goes first, so that the answer finds the version that it is about.
	if reply.Delta != nil && reply.Delta.From == s.held.Version {
		document, err := reply.Delta.Apply(s.held)
		if err != nil {
			s.config.Logger.Warn("configuration delta refused", "instance", from, "error", err)
			return true
		}
		s.storeDocument(document, reply.Accepted)
	}
	s.node.HandlePollReply(from, &reply.Currency, sentAt, clock.Now())
	s.publish()
	return reply.Newest > s.held.Version
}

// fetchSnapshot fetches the whole document.
func (s *Service) fetchSnapshot(ctx context.Context, from fleetconfig.InstanceAddress, wantHeld bool) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	reply := new(snapshotReply)
	if err := s.config.Caller.Call(ctx, from.Address, pathSnapshot, &snapshotRequest{WantHeld: wantHeld}, reply); err != nil {
		s.config.Logger.Warn("configuration snapshot not received", "instance", from.ID, "error", err)
		s.handlePollFailure(ctx, from.ID)
		return
	}
	document, err := fleetconfig.DecodeDocument(reply.Document)
	if err != nil {
		s.config.Logger.Warn("configuration snapshot refused", "instance", from.ID, "error", err)
		s.handlePollFailure(ctx, from.ID)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDocument(document, reply.Accepted)
}

// offerToChildren offers the children what came into force since the last time. The caller
// holds mu.
func (s *Service) offerToChildren(ctx context.Context, children []fleetconfig.InstanceAddress) {
	version := s.View().Version()
	delta, found := s.deltas.Since(s.offeredVersion, version)
	// What an instance finds at its start is no news to its children.
	isNew := s.offeredVersion != 0 || version == 1
	s.offeredVersion = version
	if !found || !isNew {
		return
	}
	for _, child := range children {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			request := &offerRequest{Delta: delta, Accepted: version}
			if err := s.config.Caller.Call(callCtx, child.Address, pathOffer, request, new(pollReply)); err != nil {
				s.config.Logger.Debug("offer of the configuration failed", "instance", child.ID, "error", err)
			}
		}()
	}
}
