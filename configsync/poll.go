package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// lateAnswer is how long a poll may be unanswered until others are asked beside it. It
// is several round trips between regions, and less than the poll interval.
const lateAnswer = 400 * time.Millisecond

// poll starts a round of polls: those that the upstream asks for, and the holders
// when package currency asks for them. Polls that still run are not repeated.
func (s *Service) poll(ctx context.Context) {
	peers := s.config.Peers.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	near := findNeighbours(s.config.Self, s.config.Replica != nil, s.held.Holders, peers)
	s.spread(ctx, near.children)
	targets := s.probes()
	if leader, found := s.knownLeader(); found {
		targets = append(targets, leader)
	} else {
		s.upstream.place(s.candidates(&near, peers))
		targets = append(targets, s.upstream.targets(clock.Now())...)
	}
	s.pollAll(ctx, targets)
}

// pollAll polls those that are not being polled. One that has been for long is taken
// for one that does not help, though its answer still counts. The caller holds mu.
func (s *Service) pollAll(ctx context.Context, targets []fleetconfig.InstanceAddress) {
	now := clock.Now()
	for len(targets) > 0 {
		target := targets[0]
		targets = targets[1:]
		since, running := s.polling[target.ID]
		switch {
		case !running:
			s.polling[target.ID] = now
			go s.pollOne(ctx, target)
		case now.Sub(since) >= lateAnswer:
			targets = append(targets, s.followUpstream(func() []fleetconfig.InstanceAddress { return s.upstream.noHelp(target.ID, now) })...)
		}
	}
}

// followUpstream lets the upstream take something in, logs when another instance is
// polled for it from now on, and returns whom to ask at once. The caller holds mu.
func (s *Service) followUpstream(takeIn func() []fleetconfig.InstanceAddress) []fleetconfig.InstanceAddress {
	before := s.upstream.helper()
	ask := takeIn()
	if after := s.upstream.helper(); after != before {
		s.config.Logger.Info("another instance is polled for the configuration",
			"former", before, "instance", after, "version", s.View().Version())
	}
	return ask
}

// candidates returns whom to poll, the best first, how old the news of one that helps
// may be, and how many to ask at once when the best one stops helping. A holder takes
// the leader that it hears offers from. The caller holds mu.
func (s *Service) candidates(near *neighbours, peers []Peer) ([]fleetconfig.InstanceAddress, time.Duration, int) {
	if _, serving := s.node.Serving(); !serving {
		return nearest(s.config.Self, peers, s.config.PollControlFirst), freshFor(near.level, s.config.PollInterval), 1
	}
	candidates := slices.Clone(near.parents)
	if leader := slices.IndexFunc(candidates, func(a fleetconfig.InstanceAddress) bool { return a.ID == s.leaderID }); leader > 0 {
		candidates[0], candidates[leader] = candidates[leader], candidates[0]
	}
	return candidates, freshFor(near.level, s.config.PollInterval), standInsAtOnce
}

// knownLeader returns the leader of control, on the other control instances.
func (s *Service) knownLeader() (fleetconfig.InstanceAddress, bool) {
	if s.config.Log == nil {
		return fleetconfig.InstanceAddress{}, false
	}
	leadership := s.config.Log.Leadership()
	if leadership.Address == "" || leadership.Leader == s.config.Self.ID {
		return fleetconfig.InstanceAddress{}, false
	}
	return fleetconfig.InstanceAddress{ID: leadership.Leader, Address: leadership.Address}, true
}

// probes returns the holders to poll, by their addresses. The caller holds mu.
func (s *Service) probes() []fleetconfig.InstanceAddress {
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
	defer s.pollEnded(target.ID)
	s.mu.Lock()
	request := pollRequest{Have: s.held.Version, WantHeld: s.wantsHeld()}
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The time is taken before the call: the answer counts from when it was asked.
	askedAt := clock.Now()
	reply := new(pollReply)
	if err := s.config.Caller.Call(callCtx, target.Address, pathPoll, &request, reply); err != nil {
		s.config.Logger.Debug("poll for the configuration failed", "instance", target.ID, "error", err)
		s.noHelp(ctx, target.ID)
		return
	}
	if reply.Answer.Attested {
		s.heard(ctx, target.ID, reply.Answer.Age)
	} else {
		s.noHelp(ctx, target.ID)
	}
	if s.take(target.ID, reply, askedAt) {
		s.fetchSnapshot(ctx, target, request.WantHeld)
	}
}

// wantsHeld reports whether this instance takes versions that are not yet
// accepted. The caller holds mu.
func (s *Service) wantsHeld() bool {
	revision := s.node.Held()
	return s.config.Replica != nil || s.leaderID != "" || revision.IncludesHolder(s.config.Self.ID)
}

func (s *Service) pollEnded(id fleetconfig.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.polling, id)
}

// heard notes how old the news of an instance are, and asks others at once when they
// are too old.
func (s *Service) heard(ctx context.Context, from fleetconfig.InstanceID, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollAll(ctx, s.followUpstream(func() []fleetconfig.InstanceAddress { return s.upstream.heard(from, age, clock.Now()) }))
}

// noHelp notes that an instance did not answer or has no news.
func (s *Service) noHelp(ctx context.Context, from fleetconfig.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollAll(ctx, s.followUpstream(func() []fleetconfig.InstanceAddress { return s.upstream.noHelp(from, clock.Now()) }))
}

// take takes in a reply and reports whether a snapshot is needed.
func (s *Service) take(from fleetconfig.InstanceID, reply *pollReply, askedAt time.Time) (needsSnapshot bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The delta goes first, so that the answer finds the version that it is about.
	if reply.Delta != nil && reply.Delta.From == s.held.Version {
		document, err := reply.Delta.Apply(s.held)
		if err != nil {
			s.config.Logger.Warn("configuration delta refused", "instance", from, "error", err)
			return true
		}
		s.hold(document, reply.Accepted)
	}
	s.node.HandlePollReply(from, &reply.Answer, askedAt, clock.Now())
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
		s.noHelp(ctx, from.ID)
		return
	}
	document, err := fleetconfig.DecodeDocument(reply.Document)
	if err != nil {
		s.config.Logger.Warn("configuration snapshot refused", "instance", from.ID, "error", err)
		s.noHelp(ctx, from.ID)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold(document, reply.Accepted)
}

// spread offers the children what came into force since the last time. The caller
// holds mu.
func (s *Service) spread(ctx context.Context, children []fleetconfig.InstanceAddress) {
	version := s.View().Version()
	delta, found := s.deltas.Since(s.offered, version)
	// What an instance finds at its start is no news to its children.
	isNews := s.offered != 0 || version == 1
	s.offered = version
	if !found || !isNews {
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
