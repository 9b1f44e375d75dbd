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
	"github.com/hemlockring/hemlockring/transport"
)

const (
	// tickInterval is how often the state is ticked.
	tickInterval = 100 * time.Millisecond
	// loadInterval is how often load reports are sent. A few requests a second come to
	// each ingress, so that answers alone tell too little.
	loadInterval = 200 * time.Millisecond
	// digestInterval is how often this instance compares digests with another.
	digestInterval = 10 * time.Second
	// digestTimeout bounds one digest exchange.
	digestTimeout = 3 * time.Second
	// joinInterval is how often an instance compares digests that has just started,
	// for joinTime, or that knows no other one. After a restart of the whole fleet
	// everyone knows little at first.
	joinInterval = 500 * time.Millisecond
	joinTime     = 5 * time.Second

	digestPath = "/fleet/membership/digest"
)

// Datagrams sends and receives sealed datagrams.
type Datagrams interface {
	Send(address string, payload []byte) error
	Receive(ctx context.Context) (payload []byte, from net.Addr, err error)
}

// Service runs the membership of one instance. It is a suture service and safe
// for concurrent use.
type Service struct {
	datagrams Datagrams
	caller    transport.Caller
	logger    *slog.Logger

	mu       sync.Mutex
	state    *membership.State
	onChange []func(*Snapshot)

	snapshot atomic.Pointer[Snapshot]

	// loads returns how the backend servers beside this instance fare, and onLoad
	// takes what others say of theirs. Both may be nil.
	loads  func() []membership.ServerLoad
	onLoad func(from fleetconfig.InstanceID, loads []membership.ServerLoad)
}

// New returns the service and registers its calls on mux.
func New(state *membership.State, datagrams Datagrams, caller transport.Caller, mux *http.ServeMux, logger *slog.Logger) *Service {
	service := &Service{datagrams: datagrams, caller: caller, state: state, logger: logger}
	service.publish()
	transport.HandleCall(mux, digestPath, service.answerDigest)
	return service
}

// OnChange registers a function that is called with each new snapshot, in order.
// It must be called before Serve.
func (s *Service) OnChange(observe func(*Snapshot)) {
	s.onChange = append(s.onChange, observe)
	observe(s.Snapshot())
}

// EnableLoadReports lets the instance tell others how the backend servers beside it fare,
// and hear of theirs. It must be called before Serve.
func (s *Service) EnableLoadReports(own func() []membership.ServerLoad, hear func(from fleetconfig.InstanceID, loads []membership.ServerLoad)) {
	s.loads, s.onLoad = own, hear
}

// Snapshot returns the newest view of the members.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Serve runs the membership until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.receive(ctx)
	go s.exchangeDigests(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	reports := time.NewTicker(loadInterval)
	defer reports.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reports.C:
			s.reportLoads()
		case <-ticker.C:
			s.update(func(state *membership.State) []membership.Envelope { return state.Tick(clock.Now()) })
		}
	}
}

// reportLoads tells others how the backend servers beside this instance fare.
func (s *Service) reportLoads() {
	if s.loads == nil {
		return
	}
	// The loads are read before the lock of the members is taken: the registry
	// publishes under its own lock.
	loads := s.loads()
	s.update(func(state *membership.State) []membership.Envelope { return state.ReportLoads(loads) })
}

// SetServers publishes the backend servers beside this instance.
func (s *Service) SetServers(servers []membership.Server) {
	s.update(func(state *membership.State) []membership.Envelope {
		state.SetServers(servers)
		return nil
	})
}

// SetSeeds replaces the addresses that are asked while no other member is known.
func (s *Service) SetSeeds(seeds []string) {
	s.update(func(state *membership.State) []membership.Envelope {
		state.SetSeeds(seeds)
		return nil
	})
}

// SetDraining tells the fleet that this instance is stopping.
func (s *Service) SetDraining() {
	s.update(func(state *membership.State) []membership.Envelope {
		state.SetDraining()
		return nil
	})
}

// Leave tells a few members that this instance is gone on purpose.
func (s *Service) Leave() {
	s.update(func(state *membership.State) []membership.Envelope { return state.Leave() })
}

// update changes the state under the lock, sends what it returns and publishes a
// new snapshot when something has changed.
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

func (s *Service) publish() {
	snapshot := NewSnapshot(s.state.Self().ID, s.state.Members())
	logChanges(s.logger, s.snapshot.Load(), snapshot)
	s.snapshot.Store(snapshot)
	for _, observe := range s.onChange {
		observe(snapshot)
	}
}

func (s *Service) send(envelope *membership.Envelope) {
	payload, err := codec.Marshal(&envelope.Message)
	if err == nil {
		err = s.datagrams.Send(envelope.Address, payload)
	}
	if err != nil {
		s.logger.Debug("membership datagram not sent", "address", envelope.Address, "error", err)
	}
}

func (s *Service) receive(ctx context.Context) {
	for ctx.Err() == nil {
		payload, _, err := s.datagrams.Receive(ctx)
		if err != nil {
			return
		}
		var message membership.Message
		if err := codec.Unmarshal(payload, &message); err != nil {
			s.logger.Warn("membership datagram not understood", "error", err)
			continue
		}
		if message.Kind == membership.LoadReport {
			if s.onLoad != nil {
				s.onLoad(message.From, message.Loads)
			}
			continue
		}
		s.update(func(state *membership.State) []membership.Envelope { return state.Step(&message, clock.Now()) })
	}
}

func (s *Service) exchangeDigests(ctx context.Context) {
	started := clock.Now()
	for ctx.Err() == nil {
		wait := digestInterval
		if len(s.Snapshot().Members) <= 1 || clock.Since(started) < joinTime {
			wait = joinInterval
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

// exchangeDigest compares fingerprints first, and digests only of the parts of the
// members that differ.
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
	return s.sendWanted(ctx, address, reply.MissingRecords)
}

func (s *Service) sendWanted(ctx context.Context, address string, wanted []fleetconfig.InstanceID) error {
	if len(wanted) == 0 {
		return nil
	}
	s.mu.Lock()
	request := membership.DigestRequest{
		Fingerprint: s.state.Fingerprint(),
		Updates:     s.state.UpdatesFor(wanted),
	}
	s.mu.Unlock()
	var reply membership.DigestReply
	return errors.Wrap(s.caller.Call(ctx, address, digestPath, &request, &reply), "send the records that the other side lacks")
}

func (s *Service) answerDigest(_ context.Context, _ fleetconfig.InstanceID, request *membership.DigestRequest) (*membership.DigestReply, error) {
	var reply *membership.DigestReply
	s.update(func(state *membership.State) []membership.Envelope {
		reply = state.HandleDigestRequest(request, clock.Now())
		return nil
	})
	return reply, nil
}
