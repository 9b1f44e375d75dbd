package configsync

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/currency"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/transport"
)

// Intervals of the service.
const (
	// DefaultPollInterval is how often an instance polls its neighbour.
	DefaultPollInterval = 500 * time.Millisecond
	// callTimeout bounds a poll or an offer.
	callTimeout = time.Second
	// snapshotTimeout bounds the transfer of a snapshot.
	snapshotTimeout = 30 * time.Second
	// maxSnapshotTransfers is how many snapshots are sent at one time. Another
	// asker is sent to another neighbour.
	maxSnapshotTransfers = 4
	// holderPollInterval is how often holders and control poll the leader. They are few,
	// and the age of their news is that of the whole tree.
	holderPollInterval = 200 * time.Millisecond
)

// Config is what the service needs.
type Config struct {
	// Self is the own instance.
	Self fleetconfig.InstanceAddress
	// Incarnation differs from that of every other life of the process.
	Incarnation uint64
	// Peers tells of the other instances.
	Peers Peers
	// Caller calls them.
	Caller transport.Caller
	// Replica and Log are set on control instances only.
	Replica *Replica
	Log     Log
	// PollControlFirst lets an instance that starts ask control before its neighbours. It
	// is for fleets whose control instances are set aside: after a restart of all,
	// only they know anything.
	PollControlFirst bool
	// PollInterval is how often to poll. Zero is DefaultPollInterval.
	PollInterval time.Duration
	// RevocationBound is how soon a withdrawn key stops everywhere. Zero is
	// currency.DefaultRevocationBound.
	RevocationBound time.Duration
	// Logger logs.
	Logger *slog.Logger
}

// Service keeps the configuration of one instance. It is a suture service.
type Service struct {
	config      Config
	view        atomic.Pointer[fleetconfig.View]
	currentAsOf atomic.Pointer[time.Time]
	// wake starts a round before the next tick.
	wake chan struct{}
	// snapshotSlots has an element for each snapshot that is being sent.
	snapshotSlots chan struct{}

	// mu guards what follows. No call is made under it.
	mu     sync.Mutex
	node   *currency.Node
	held   *fleetconfig.Document
	deltas fleetconfig.DeltaLog
	// leader is set while this instance leads control; confirmedAt is when a
	// majority last confirmed it.
	leader      *currency.Leader
	confirmedAt time.Time
	// heldVersions is what each holder held when it last answered the leader.
	heldVersions map[fleetconfig.InstanceID]uint64
	// offeringLeader is the leader that offers versions to this instance as a holder.
	offeringLeader fleetconfig.InstanceID
	upstream       upstream
	// inFlight is since when instances are being polled, or are offered a version.
	inFlight map[fleetconfig.InstanceID]time.Time
	// offeredVersion is the version that was last offeredVersion to the children, or 0.
	offeredVersion  uint64
	viewChanged     chan struct{}
	acceptedChanged chan struct{}
}

// New returns the service and registers its calls.
func New(config Config, mux *http.ServeMux) *Service {
	if config.RevocationBound == 0 {
		config.RevocationBound = currency.DefaultRevocationBound
	}
	if config.PollInterval == 0 {
		config.PollInterval = DefaultPollInterval
	}
	s := &Service{
		config:          config,
		wake:            make(chan struct{}, 1),
		snapshotSlots:   make(chan struct{}, maxSnapshotTransfers),
		node:            currency.NewNode(config.Self.ID, config.Incarnation, config.RevocationBound, clock.Now()),
		held:            fleetconfig.NewDocument(),
		heldVersions:    make(map[fleetconfig.InstanceID]uint64),
		inFlight:        make(map[fleetconfig.InstanceID]time.Time),
		viewChanged:     make(chan struct{}),
		acceptedChanged: make(chan struct{}),
	}
	s.view.Store(fleetconfig.NewView(s.held))
	transport.HandleCall(mux, pathPoll, s.handlePoll)
	transport.HandleCall(mux, pathOffer, s.handleOffer)
	transport.HandleCall(mux, pathSnapshot, s.handleSnapshot)
	return s
}

// View returns the accepted configuration that this instance serves from. It is
// version 0 until the instance has learnt of another.
func (s *Service) View() *fleetconfig.View { return s.view.Load() }

// Current reports whether the view may be acted on for requests that carry a key,
// and else when a caller may come back.
func (s *Service) Current(now time.Time) (current bool, retryAfter time.Duration) {
	if now.After(s.CurrentUntil()) {
		return false, currency.RetryAfter
	}
	return true, 0
}

// CurrentUntil returns until when the view may be acted on for requests that carry a
// key, as far as is known now. It is the zero time before it was ever current.
func (s *Service) CurrentUntil() time.Time {
	asOf := s.currentAsOf.Load()
	if asOf == nil {
		return time.Time{}
	}
	return asOf.Add(currency.MaxAttestationAge(s.config.RevocationBound))
}

// Changed returns a channel that is closed when View returns another version.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.viewChanged
}

// Serve implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	timer := time.NewTimer(s.config.PollInterval)
	defer timer.Stop()
	var committed <-chan struct{}
	if s.config.Replica != nil {
		committed = s.config.Replica.changed
	}
	wasCurrent := false
	for {
		s.runControlRound(ctx)
		s.runPollRound(ctx)
		wasCurrent = s.logCurrency(wasCurrent)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			timer.Reset(s.pollInterval())
		case <-s.wake:
		case <-committed:
		}
	}
}

// logCurrency writes a line when the proof that the configuration is in force has run
// out or is back, and returns whether it is there.
func (s *Service) logCurrency(was bool) bool {
	now := clock.Now()
	current, _ := s.Current(now)
	if current == was {
		return current
	}
	version := s.View().Version()
	if current {
		s.config.Logger.Info("configuration is proved current", "version", version)
		return true
	}
	s.config.Logger.Warn("configuration is no longer proved current, keyed requests are refused",
		"version", version, "proved_ms_ago", now.Sub(*s.currentAsOf.Load()).Milliseconds())
	return false
}

func (s *Service) pollInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual := s.config.PollInterval
	if revision := s.node.Held(); s.config.Replica != nil || revision.IncludesHolder(s.config.Self.ID) {
		usual = min(usual, holderPollInterval)
	}
	return s.node.PollInterval(usual, clock.Now())
}

func (s *Service) triggerRound() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// storeDocument takes a newer document. The caller holds mu.
func (s *Service) storeDocument(document *fleetconfig.Document, accepted bool) {
	if document.Version > s.held.Version {
		s.deltas.Add(fleetconfig.Diff(s.held, document))
		s.held = document
	}
	revision := currency.RevisionOf(document)
	if accepted {
		s.node.StoreServedRevision(revision, clock.Now())
	} else {
		s.node.StoreRevision(revision, clock.Now())
	}
	s.publish()
}

// publish shows what the node has decided. The caller holds mu and calls it after
// every event of the node.
func (s *Service) publish() {
	if asOf, known := s.node.CurrentAsOf(); known {
		s.currentAsOf.Store(&asOf)
	}
	version, serving := s.node.Serving()
	if !serving || version <= s.View().Version() {
		return
	}
	// The node moves on only to what it holds, and this runs after each event.
	s.view.Store(fleetconfig.NewView(s.held))
	close(s.viewChanged)
	s.viewChanged = make(chan struct{})
	if revision := s.node.Held(); !revision.IncludesHolder(s.config.Self.ID) {
		s.offeringLeader = ""
	}
	s.config.Logger.Info("configuration in force", "version", version)
	s.signalAccepted()
	s.triggerRound()
}
