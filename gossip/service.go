package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/quota"
	"github.com/hemlockring/hemlockring/transport"
)

const (
	// tickInterval is how often State.Tick is called.
	tickInterval = 100 * time.Millisecond
	// loadReportInterval is how often load reports are sent. Each ingress gets only a few
	// requests per second, so the loads in response headers alone are not enough.
	loadReportInterval = 200 * time.Millisecond
	// digestInterval is how often this instance compares digests with another one.
	digestInterval = 10 * time.Second
	// digestTimeout bounds one digest exchange.
	digestTimeout = 3 * time.Second
	// joinDigestInterval replaces digestInterval for joinDuration after the start, and
	// while no other member is known. Right after a restart of the whole fleet, other
	// instances know few members either, so one exchange is not enough.
	joinDigestInterval = 500 * time.Millisecond
	joinDuration       = 5 * time.Second

	digestPath = "/fleet/membership/digest"
)

// Datagrams sends and receives encrypted datagrams.
type Datagrams interface {
	Send(address string, payload []byte) error
	Receive(ctx context.Context) (payload []byte, from net.Addr, err error)
}

// Service runs the membership of one instance. It is a suture service and safe for
// concurrent use.
type Service struct {
	datagrams Datagrams
	caller    transport.Caller
	logger    *slog.Logger

	// mu guards state. Functions in onChange are called with it held, except when they are
	// registered.
	mu       sync.Mutex
	state    *membership.State
	onChange []func(*Snapshot)

	snapshot atomic.Pointer[Snapshot]
	// joined says that a digest exchange with another instance has succeeded.
	joined atomic.Bool

	// loads returns the load of the backend servers beside this instance, and
	// onLoadReport handles the load reports of other instances. Both are nil unless
	// EnableLoadReports has been called.
	loads        func() []membership.ServerLoad
	onLoadReport func(from fleetconfig.InstanceID, loads []membership.ServerLoad)
	// announce reports whether a load report is announced to all failure domains, or is nil.
	announce func(loads []membership.ServerLoad) bool
	// onPayload handles the payloads of other instances, or is nil.
	onPayload func(from fleetconfig.InstanceID, payload []byte) error
}

// New returns a Service and registers its call handlers on mux.
func New(state *membership.State, datagrams Datagrams, caller transport.Caller, mux *http.ServeMux, logger *slog.Logger) *Service {
	service := &Service{datagrams: datagrams, caller: caller, state: state, logger: logger}
	service.publish()
	transport.HandleCall(mux, digestPath, service.handleDigest)
	return service
}

// OnChange registers a function that is called with each new snapshot, in order. It is
// called once with the current snapshot at registration. It must not call a method that
// changes the membership. OnChange must be called before Serve.
func (s *Service) OnChange(observe func(*Snapshot)) {
	s.onChange = append(s.onChange, observe)
	observe(s.Snapshot())
}

// EnableLoadReports makes the instance send the loads that localLoads returns to other
// instances, and pass their load reports to onReport. It must be called before Serve.
func (s *Service) EnableLoadReports(localLoads func() []membership.ServerLoad, onReport func(from fleetconfig.InstanceID, loads []membership.ServerLoad)) {
	s.loads, s.onLoadReport = localLoads, onReport
}

// AnnounceLoads makes the instance announce those load reports to all failure domains for
// which announce returns true. It must be called before Serve.
func (s *Service) AnnounceLoads(announce func(loads []membership.ServerLoad) bool) {
	s.announce = announce
}

// HandlePayloads makes the instance pass the payloads that other instances send with
// SendPayload to handle. It must be called before Serve.
func (s *Service) HandlePayloads(handle func(from fleetconfig.InstanceID, payload []byte) error) {
	s.onPayload = handle
}

// Joined reports whether this instance has learned the members that another one knows.
func (s *Service) Joined() bool { return s.joined.Load() }

// SendPayload sends a datagram with a message of another package to a fleet address. It may be
// lost.
func (s *Service) SendPayload(address string, payload []byte) {
	self := s.Snapshot().Self
	s.send(&membership.Envelope{Address: address, Message: membership.Message{Kind: membership.Payload, From: self, Payload: payload}})
}

// PeerClock returns what is known about the clock of another instance from membership, if its
// process is newer than the one of the given incarnation. It returns false if nothing is known
// of such a process.
func (s *Service) PeerClock(id fleetconfig.InstanceID, known uint64, now time.Time) (quota.PeerClock, bool) {
	member := s.Snapshot().Member(id)
	if member == nil || member.Record.Incarnation <= known {
		return quota.PeerClock{}, false
	}
	incarnation := member.Record.Incarnation
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed, observedAt, found := s.state.Uptime(id, incarnation, now)
	if !found {
		return quota.PeerClock{}, false
	}
	var peer quota.PeerClock
	peer.Observe(quota.ClockReading{Incarnation: incarnation, Elapsed: elapsed}, observedAt)
	return peer, true
}

// Snapshot returns the newest snapshot of the members.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Serve runs the membership until ctx is done. It starts one goroutine that receives
// datagrams and one that exchanges digests; both end with ctx.
func (s *Service) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.receiveLoop(ctx)
	go s.digestLoop(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	reports := time.NewTicker(loadReportInterval)
	defer reports.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reports.C:
			s.sendLoadReports()
		case <-ticker.C:
			s.update(func(state *membership.State) []membership.Envelope { return state.Tick(clock.Now()) })
		}
	}
}

// sendLoadReports sends the loads of the backend servers beside this instance.
func (s *Service) sendLoadReports() {
	if s.loads == nil {
		return
	}
	// Read the loads before update locks mu. Reading them locks the registry, which calls
	// SetServers with its lock held, and SetServers locks mu.
	loads := s.loads()
	announce := s.announce != nil && s.announce(loads)
	s.update(func(state *membership.State) []membership.Envelope {
		if announce {
			return state.AnnounceLoads(loads)
		}
		return state.ReportLoads(loads)
	})
}

// SetServers sets the backend servers beside this instance in its own record.
func (s *Service) SetServers(servers []membership.Server) {
	s.update(func(state *membership.State) []membership.Envelope {
		state.SetServers(servers)
		return nil
	})
}

// SetSeeds replaces the seed addresses, which are used while no other member is known.
func (s *Service) SetSeeds(seeds []string) {
	s.update(func(state *membership.State) []membership.Envelope {
		state.SetSeeds(seeds)
		return nil
	})
}

// SetDraining announces to the fleet that this instance is stopping.
func (s *Service) SetDraining() {
	s.update(func(state *membership.State) []membership.Envelope {
		state.SetDraining()
		return nil
	})
}

// Leave tells a few members that this instance leaves the fleet intentionally.
func (s *Service) Leave() {
	s.update(func(state *membership.State) []membership.Envelope { return state.Leave() })
}

// update changes the state with mu held, sends the messages that change returns, and
// publishes a new snapshot if a member has changed.
func (s *Service) update(change func(*membership.State) []membership.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	envelopes := change(s.state)
	for i := range envelopes {
		s.send(&envelopes[i])
	}
	if s.state.TakeChanged() {
		s.publish()
	}
}

// publish stores a new snapshot and passes it to the functions in onChange. The caller must
// hold mu, except in New.
func (s *Service) publish() {
	snapshot := NewSnapshot(s.state.Self().ID, s.state.Members())
	logChanges(s.logger, s.snapshot.Load(), snapshot)
	s.snapshot.Store(snapshot)
	for _, observe := range s.onChange {
		observe(snapshot)
	}
}

func (s *Service) send(envelope *membership.Envelope) {
	payload, err := codec.Marshal(envelope.Message.Wire())
	if err == nil {
		err = s.datagrams.Send(envelope.Address, payload)
	}
	if err != nil {
		s.logger.Debug("membership datagram send failed", "address", envelope.Address, "error", err)
	}
}

// receiveLoop handles received datagrams until ctx is done or receiving fails.
func (s *Service) receiveLoop(ctx context.Context) {
	for ctx.Err() == nil {
		payload, _, err := s.datagrams.Receive(ctx)
		if err != nil {
			return
		}
		var message membership.Message
		if err := codec.Unmarshal(payload, &message); err != nil {
			s.logger.Warn("membership datagram is invalid", "error", err)
			continue
		}
		s.handleMessage(&message)
	}
}

func (s *Service) handleMessage(message *membership.Message) {
	switch message.Kind {
	case membership.LoadReport:
		if s.onLoadReport != nil {
			s.onLoadReport(message.From, message.Loads)
		}
		if message.Relay {
			s.update(func(state *membership.State) []membership.Envelope { return state.RelayLoads(message) })
		}
	case membership.Payload:
		if s.onPayload == nil {
			return
		}
		if err := s.onPayload(message.From, message.Payload); err != nil {
			s.logger.Warn("membership datagram has an invalid payload", "from", string(message.From), "error", err)
		}
	default:
		s.update(func(state *membership.State) []membership.Envelope { return state.Step(message, clock.Now()) })
	}
}

// digestLoop exchanges digests with one other instance after another until ctx is done.
func (s *Service) digestLoop(ctx context.Context) {
	started := clock.Now()
	for ctx.Err() == nil {
		wait := digestInterval
		if len(s.Snapshot().Members) <= 1 || clock.Since(started) < joinDuration {
			wait = joinDigestInterval
		}
		if err := s.exchangeDigest(ctx); err != nil {
			s.logger.Debug("digest exchange failed", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// exchangeDigest runs one digest exchange. It compares fingerprints first, then digests of
// only those parts of the members that differ, and exchanges the missing records.
func (s *Service) exchangeDigest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, digestTimeout)
	defer cancel()
	s.mu.Lock()
	address := s.state.DigestPeer()
	request := s.state.FingerprintRequest()
	s.mu.Unlock()
	if address == "" {
		return nil
	}
	var reply membership.DigestReply
	if err := s.caller.Call(ctx, address, digestPath, request, &reply); err != nil {
		return errors.Wrap(err, "compare fingerprints")
	}
	if reply.InSync {
		s.mu.Lock()
		s.state.HandleInSync(clock.Now())
		s.mu.Unlock()
		s.joined.Store(true)
		return nil
	}
	s.mu.Lock()
	request = s.state.EntriesRequest(reply.DifferingBuckets)
	s.mu.Unlock()
	reply = membership.DigestReply{}
	if err := s.caller.Call(ctx, address, digestPath, request, &reply); err != nil {
		return errors.Wrap(err, "compare digests")
	}
	s.update(func(state *membership.State) []membership.Envelope {
		state.MergeUpdates(reply.Updates, clock.Now())
		return nil
	})
	s.joined.Store(true)
	return s.sendMissingRecords(ctx, address, reply.MissingRecords)
}

// sendMissingRecords sends the records that the other instance lacks.
func (s *Service) sendMissingRecords(ctx context.Context, address string, missing []fleetconfig.InstanceID) error {
	if len(missing) == 0 {
		return nil
	}
	s.mu.Lock()
	request := membership.DigestRequest{
		Fingerprint: s.state.Fingerprint(),
		Updates:     s.state.UpdatesFor(missing),
	}
	s.mu.Unlock()
	var reply membership.DigestReply
	return errors.Wrap(s.caller.Call(ctx, address, digestPath, &request, &reply), "send the missing records")
}

// handleDigest handles a digest request of another instance.
func (s *Service) handleDigest(_ context.Context, _ fleetconfig.InstanceID, request *membership.DigestRequest) (*membership.DigestReply, error) {
	var reply *membership.DigestReply
	s.update(func(state *membership.State) []membership.Envelope {
		reply = state.HandleDigestRequest(request, clock.Now())
		return nil
	})
	return reply, nil
}
