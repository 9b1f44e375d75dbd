package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// slowPollTimeout is the time after which a poll without a reply counts as failed, so
// that other instances are polled in addition. It allows several round trips between
// regions and is shorter than DefaultPollInterval.
const slowPollTimeout = 400 * time.Millisecond

// runPollRound polls the leader if this is a control instance that knows another one as
// leader, and otherwise the instances that the upstream selects. In either case it
// polls the holders that package currency asks for, and offers a new version to the
// children. It is called by the goroutine of Serve. Each call to another instance runs
// in its own goroutine; a poll that is still running is not repeated.
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

// pollTargets polls the instances that are not being polled already. A poll that has
// been running for slowPollTimeout counts as failed for the choice of the upstream,
// although its reply is still used. The caller holds mu.
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

// updateUpstream calls update, which changes the state of the upstream, and logs if
// another instance is used from now on. It returns the instances to poll at once. The
// caller holds mu.
func (s *Service) updateUpstream(update func() []fleetconfig.InstanceAddress) []fleetconfig.InstanceAddress {
	before := s.upstream.active()
	toPoll := update()
	if after := s.upstream.active(); after != before {
		s.config.Logger.Info("configuration upstream changed",
			"former", before, "instance", after, "version", s.View().Version())
	}
	return toPoll
}

// upstreamCandidates returns the instances to poll, in order of preference, the maximum
// age of an attestation from them, and the number of fallbacks to poll at once. A
// holder prefers the leader from which it receives offers. The caller holds mu.
func (s *Service) upstreamCandidates(neighbourhood *neighbours, peers []Peer) ([]fleetconfig.InstanceAddress, time.Duration, int) {
	if _, serving := s.currencyNode.Serving(); !serving {
		return startupCandidates(s.config.Self, peers, s.config.PollControlFirst), maxUpstreamAge(neighbourhood.level, s.config.PollInterval), 1
	}
	candidates := slices.Clone(neighbourhood.parents)
	if leader := slices.IndexFunc(candidates, func(a fleetconfig.InstanceAddress) bool { return a.ID == s.offeringLeader }); leader > 0 {
		candidates[0], candidates[leader] = candidates[leader], candidates[0]
	}
	return candidates, maxUpstreamAge(neighbourhood.level, s.config.PollInterval), fallbacksPerRound
}

// remoteLeader returns the leader of control if this is a control instance and another
// one leads.
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

// holdersToPoll returns the addresses of the holders that package currency asks to
// poll. The caller holds mu.
func (s *Service) holdersToPoll() []fleetconfig.InstanceAddress {
	wanted := s.currencyNode.HoldersToPoll(clock.Now())
	var addresses []fleetconfig.InstanceAddress
	for _, holder := range slices.Concat(s.held.Holders, s.held.FormerHolders) {
		if slices.Contains(wanted, holder.ID) {
			addresses = append(addresses, holder)
			wanted = slices.DeleteFunc(wanted, func(id fleetconfig.InstanceID) bool { return id == holder.ID })
		}
	}
	return addresses
}

// pollOne polls one instance and processes the reply. It runs in a goroutine of its
// own.
func (s *Service) pollOne(ctx context.Context, target fleetconfig.InstanceAddress) {
	defer s.callEnded(target.ID)
	s.mu.Lock()
	request := pollRequest{Have: s.held.Version, WantHeld: s.wantsHeld()}
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The time is taken before the call and the age in the reply is subtracted from it,
	// so that the age of the attestation is never underestimated.
	sentAt := clock.Now()
	reply := new(pollReply)
	if err := s.config.Caller.Call(callCtx, target.Address, pathPoll, &request, reply); err != nil {
		s.config.Logger.Debug("configuration poll failed", "instance", target.ID, "error", err)
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

// wantsHeld reports whether this instance stores versions that are not accepted yet: a
// control instance, a holder, or an instance to which the leader sends offers. The
// caller holds mu.
func (s *Service) wantsHeld() bool {
	revision := s.currencyNode.Held()
	return s.config.Replica != nil || s.offeringLeader != "" || revision.IncludesHolder(s.config.Self.ID)
}

// callEnded removes a poll or an offer from inFlight.
func (s *Service) callEnded(id fleetconfig.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, id)
}

// handlePollAge processes the age of the attestation that an instance returned. If the
// attestation of the instance in use is too old, other instances are polled at once.
func (s *Service) handlePollAge(ctx context.Context, from fleetconfig.InstanceID, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollTargets(ctx, s.updateUpstream(func() []fleetconfig.InstanceAddress { return s.upstream.handleAge(from, age, clock.Now()) }))
}

// handlePollFailure records that an instance did not reply, has no attestation or did
// not provide a valid snapshot. If that instance was in use, other instances are polled
// at once.
func (s *Service) handlePollFailure(ctx context.Context, from fleetconfig.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollTargets(ctx, s.updateUpstream(func() []fleetconfig.InstanceAddress { return s.upstream.handleFailure(from, clock.Now()) }))
}

// applyPollReply processes the reply to a poll and reports whether a snapshot must be
// fetched.
func (s *Service) applyPollReply(from fleetconfig.InstanceID, reply *pollReply, sentAt time.Time) (needsSnapshot bool) {
	delta, err := s.unpackDelta(reply.Delta)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The delta is applied before the currency state is processed, because that state
	// may refer to the new version.
	if err == nil {
		err = s.applyDelta(reply.Delta, delta, reply.Accepted)
	}
	if err != nil {
		s.config.Logger.Warn("applying the configuration delta failed, fetching a snapshot", "instance", from, "error", err)
		return true
	}
	s.currencyNode.HandlePollReply(from, &reply.Currency, sentAt, clock.Now())
	s.publish()
	return reply.Newest > s.held.Version && !reply.DeltaUnderWay
}

// fetchSnapshot fetches a complete document from an instance.
func (s *Service) fetchSnapshot(ctx context.Context, from fleetconfig.InstanceAddress, wantHeld bool) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	reply := new(snapshotReply)
	if err := s.config.Caller.Call(ctx, from.Address, pathSnapshot, &snapshotRequest{WantHeld: wantHeld}, reply); err != nil {
		s.config.Logger.Warn("fetching the configuration snapshot failed", "instance", from.ID, "error", err)
		s.handlePollFailure(ctx, from.ID)
		return
	}
	document, err := decodeSnapshot(reply)
	if err != nil {
		s.config.Logger.Warn("decoding the configuration snapshot failed", "instance", from.ID, "error", err)
		s.handlePollFailure(ctx, from.ID)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDocument(document, reply.Accepted)
}

// decodeSnapshot returns the document of a snapshot.
func decodeSnapshot(reply *snapshotReply) (*fleetconfig.Document, error) {
	data, err := reply.Document.Unpack()
	if err != nil {
		return nil, err
	}
	return fleetconfig.DecodeDocument(data)
}

// offerToChildren offers the children the version that came into force since the last
// call. The caller holds mu.
func (s *Service) offerToChildren(ctx context.Context, children []fleetconfig.InstanceAddress) {
	version, before := s.View().Version(), s.offeredVersion
	s.offeredVersion = version
	// The first version that an instance obtains after its start is not new to its
	// children, unless it is the first version of the fleet.
	isNew := before != 0 || version == 1
	if version == before || !isNew {
		return
	}
	for _, child := range children {
		if request := s.nextOffer(child.ID, before); request != nil {
			go s.offerToChild(ctx, child, request)
		}
	}
}

// nextOffer returns the offer of the version in force to an instance that holds the version
// before, unless more is known about it. It returns nil if the instance has the version, if it
// is getting it, or if this instance has no delta for it. The caller holds mu.
func (s *Service) nextOffer(id fleetconfig.InstanceID, before uint64) *offerRequest {
	version := s.View().Version()
	held, permitted := s.transfers.beginOffer(id, before, version, clock.Now())
	if !permitted {
		return nil
	}
	delta := s.deltaSince(held, version)
	if delta == nil {
		s.transfers.endOffer(id)
		return nil
	}
	return &offerRequest{Delta: delta, Accepted: version}
}

// offerToChild sends an offer to a child, and then the version that came into force meanwhile.
// If an offer fails, the child gets the delta when it polls.
func (s *Service) offerToChild(ctx context.Context, child fleetconfig.InstanceAddress, request *offerRequest) {
	for request != nil {
		reply, err := s.callOffer(ctx, child, request)
		s.mu.Lock()
		s.transfers.endOffer(child.ID)
		offered := request.Delta
		request = nil
		if err != nil {
			s.config.Logger.Debug("configuration offer to a child failed", "instance", child.ID, "error", err)
		} else if s.transfers.recordHeld(child.ID, reply.Newest); reply.Newest != offered.From {
			request = s.nextOffer(child.ID, reply.Newest)
		}
		s.mu.Unlock()
	}
}

// callOffer sends an offer and returns the reply.
func (s *Service) callOffer(ctx context.Context, to fleetconfig.InstanceAddress, request *offerRequest) (*pollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := new(pollReply)
	err := s.config.Caller.Call(ctx, to.Address, pathOffer, request, reply)
	return reply, err
}
