package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/configtree"
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
	self := Peer{InstanceAddress: s.config.Self, Control: s.config.Replica != nil, LinkMbps: s.config.LinkMbps}
	neighbourhood := configtree.Find(self, s.held.Holders, peers)
	s.offerToNeighbours(ctx, &neighbourhood)
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
func (s *Service) upstreamCandidates(neighbourhood *configtree.Neighbours, peers []Peer) ([]fleetconfig.InstanceAddress, time.Duration, int) {
	if _, serving := s.currencyNode.Serving(); !serving {
		return configtree.StartupCandidates(s.config.Self, peers, s.config.PollControlFirst), maxUpstreamAge(neighbourhood.Level, s.config.PollInterval), 1
	}
	candidates := slices.Clone(neighbourhood.Parents)
	if leader := slices.IndexFunc(candidates, func(a fleetconfig.InstanceAddress) bool { return a.ID == s.offeringLeader }); leader > 0 {
		candidates[0], candidates[leader] = candidates[leader], candidates[0]
	}
	return candidates, maxUpstreamAge(neighbourhood.Level, s.config.PollInterval), fallbacksPerRound
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

// pollOne polls one instance and processes the reply. If the poll was a trial, beginFollowUp
// decides whether the instance is polled again for its delta. It runs in a goroutine of its own.
func (s *Service) pollOne(ctx context.Context, target fleetconfig.InstanceAddress) {
	defer s.callEnded(target.ID)
	request := s.newPollRequest(target.ID)
	reply := s.pollWith(ctx, target, request)
	if reply == nil || !request.NoDelta || !s.beginFollowUp(target.ID, reply.Newest) {
		return
	}
	request = s.newPollRequest(target.ID)
	request.NoDelta = false
	s.pollWith(ctx, target, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followingUp = false
}

// beginFollowUp reports whether to ask an instance for the delta to a version that it has
// according to a trial. That is so if the instance is in use now. If none is in use, because
// no attestation is recent, it is so for one instance at a time.
func (s *Service) beginFollowUp(target fleetconfig.InstanceID, newest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse := s.upstream.active()
	if newest <= s.held.Version || s.followingUp || inUse != "" && inUse != target {
		return false
	}
	s.followingUp = true
	return true
}

// newPollRequest returns a poll of an instance, which is about to be sent. Once this instance
// serves, trials have no delta: an instance that is slow because its link is full would
// otherwise receive the delta from each of the instances that it tries.
func (s *Service) newPollRequest(target fleetconfig.InstanceID) *pollRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[target] = clock.Now()
	_, serving := s.currencyNode.Serving()
	return &pollRequest{Have: s.held.Version, WantHeld: s.wantsHeld(), NoDelta: serving && s.upstream.isTrial(target)}
}

// pollWith sends a poll, processes the reply and returns it. It returns nil if there is none.
func (s *Service) pollWith(ctx context.Context, target fleetconfig.InstanceAddress, request *pollRequest) *pollReply {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The time is taken before the call and the age in the reply is subtracted from it,
	// so that the age of the attestation is never underestimated.
	sentAt := clock.Now()
	reply := new(pollReply)
	if err := s.config.Caller.Call(callCtx, target.Address, pathPoll, request, reply); err != nil {
		s.config.Logger.Debug("configuration poll failed", "instance", target.ID, "error", err)
		s.handlePollFailure(ctx, target.ID)
		return nil
	}
	if reply.Currency.Attested {
		s.handlePollAge(ctx, target.ID, reply.Currency.Age)
	} else {
		s.handlePollFailure(ctx, target.ID)
	}
	if s.applyPollReply(target.ID, reply, sentAt) && !request.NoDelta {
		s.fetchSnapshot(ctx, target, request.WantHeld)
	}
	return reply
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

// offerToNeighbours offers the version that came into force since the last call to the children.
// In a fleet without holders, the leader of control offers it to the other control instances
// first, as these are the roots of the tree. The caller holds mu.
func (s *Service) offerToNeighbours(ctx context.Context, neighbourhood *configtree.Neighbours) {
	version, before := s.View().Version(), s.offeredVersion
	s.offeredVersion = version
	// The first version that an instance obtains after its start is not new to its
	// children, unless it is the first version of the fleet.
	isNew := before != 0 || version == 1
	if version == before || !isNew {
		return
	}
	if s.leader != nil && len(s.held.Holders) == 0 {
		for _, root := range neighbourhood.Parents {
			s.beginOffering(ctx, root, before, true)
		}
	}
	for _, child := range neighbourhood.Children {
		s.beginOffering(ctx, child, before, false)
	}
}

// beginOffering offers the version in force to an instance, if nextOffer has an offer. The
// caller holds mu.
func (s *Service) beginOffering(ctx context.Context, to fleetconfig.InstanceAddress, before uint64, announce bool) {
	if request := s.nextOffer(to.ID, before, announce); request != nil {
		go s.offerTo(ctx, to, request, announce)
	}
}

// nextOffer returns the offer of the version in force to an instance that holds the version
// before, unless more is known about it. It returns nil if the instance is getting the version,
// or if this instance has no delta for it. If the instance holds the version, the offer has no
// delta with announce set, as a control instance may not know that the version is accepted,
// and is nil otherwise. The caller holds mu.
func (s *Service) nextOffer(id fleetconfig.InstanceID, before uint64, announce bool) *offerRequest {
	version := s.View().Version()
	held, permitted := s.transfers.beginOffer(id, before, version, clock.Now())
	if !permitted {
		return nil
	}
	if held >= version && announce {
		return &offerRequest{Accepted: version}
	}
	if delta := s.deltaSince(held, version); delta != nil {
		return &offerRequest{Delta: delta, Accepted: version}
	}
	s.transfers.endOffer(id)
	return nil
}

// offerTo sends an offer to an instance, and then the version that came into force meanwhile.
// If an offer fails, the instance gets the delta when it polls.
func (s *Service) offerTo(ctx context.Context, to fleetconfig.InstanceAddress, request *offerRequest, announce bool) {
	for request != nil {
		reply, err := s.callOffer(ctx, to, request)
		if err != nil {
			s.config.Logger.Debug("configuration offer failed", "instance", to.ID, "error", err)
		}
		request = s.offerAfter(to.ID, request, reply, err, announce)
	}
}

// offerAfter processes the reply to an offer and returns the next one, or nil. There is none
// if the instance has all that this one has, or if it has not accepted the delta.
func (s *Service) offerAfter(id fleetconfig.InstanceID, request *offerRequest, reply *pollReply, err error, announce bool) *offerRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.transfers.endOffer(id)
		return nil
	}
	s.transfers.confirmOffer(id, reply.Newest, clock.Now())
	isRefused := request.Delta != nil && reply.Newest == request.Delta.From
	if isRefused || request.Accepted >= s.View().Version() && reply.Newest >= request.Accepted {
		return nil
	}
	return s.nextOffer(id, reply.Newest, announce)
}

// callOffer sends an offer and returns the reply.
func (s *Service) callOffer(ctx context.Context, to fleetconfig.InstanceAddress, request *offerRequest) (*pollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := new(pollReply)
	err := s.config.Caller.Call(ctx, to.Address, pathOffer, request, reply)
	return reply, err
}
