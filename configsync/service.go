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

// Intervals and limits of the service.
const (
	// DefaultPollInterval is the interval at which an instance polls its parent.
	DefaultPollInterval = 500 * time.Millisecond
	// callTimeout is the maximum duration of a poll or an offer.
	callTimeout = time.Second
	// snapshotTimeout is the maximum duration of a snapshot transfer.
	snapshotTimeout = 30 * time.Second
	// maxSnapshotTransfers is the maximum number of snapshots that an instance sends at
	// the same time. A further request is refused, so that the requester tries another
	// instance.
	maxSnapshotTransfers = 4
	// holderPollInterval is the interval at which holders and control instances poll
	// the leader. It is short because these instances are few and because the age of their
	// attestations adds to the age of the attestations of all instances in the tree.
	holderPollInterval = 200 * time.Millisecond
)

// Config configures a Service.
type Config struct {
	// Self is this instance.
	Self fleetconfig.InstanceAddress
	// LinkMbps is the capacity of this instance's link in Mbit/s, or 0 if it is not known.
	LinkMbps uint32
	// Incarnation identifies the process. It must differ from that of every other
	// process of this instance.
	Incarnation uint64
	// Peers provides the other instances.
	Peers Peers
	// Caller makes calls to other instances.
	Caller transport.Caller
	// Replica and Log are set on control instances only.
	Replica *Replica
	Log     Log
	// PollControlFirst makes a starting instance poll control before other instances. It
	// is for fleets with dedicated control instances: after a restart of the whole
	// fleet, only control has the configuration.
	PollControlFirst bool
	// PollInterval is the interval of polls. Zero means DefaultPollInterval.
	PollInterval time.Duration
	// RevocationBound is the maximum time until a withdrawn key is refused on every
	// instance. Zero means currency.DefaultRevocationBound.
	RevocationBound time.Duration
	// Logger receives the messages of the service.
	Logger *slog.Logger
}

// Service keeps the configuration of one instance up to date. It is a suture service
// and safe for concurrent use. The goroutine of Serve starts the rounds of polls and
// offers; each call runs in a goroutine of its own that ends with the call's timeout or
// with the context of Serve.
type Service struct {
	config Config
	view   atomic.Pointer[fleetconfig.View]
	// currentAsOf is the time of the latest attestation according to which no version
	// above the served one had been accepted, or nil if there was none yet.
	currentAsOf atomic.Pointer[time.Time]
	// wake starts a round before the next tick.
	wake chan struct{}
	// snapshotSlots has an element for each snapshot that is being sent.
	snapshotSlots chan struct{}
	// snapshotMu guards snapshot, which is the small packed snapshot that was sent last.
	snapshotMu sync.Mutex
	snapshot   packedSnapshot

	// mu guards the fields below. It is not held during calls to other instances.
	mu           sync.Mutex
	currencyNode *currency.Node
	// held is the latest version that this instance has stored. It may be newer than the
	// version in view, as it need not be accepted yet. deltas contains the changes that
	// led to it.
	held   *fleetconfig.Document
	deltas fleetconfig.DeltaLog
	// packed has deltas as they are sent, and transfers the receivers that they are under
	// way to.
	packed    packedDeltas
	transfers transfers
	// leader is the currency state of the leader, or nil if this instance is not the
	// leader of control. confirmedAt is the Leadership.ConfirmedAt that was last read
	// while this instance was the leader.
	leader      *currency.Leader
	confirmedAt time.Time
	// offers has the state of the leader's offers to each holder.
	offers map[fleetconfig.InstanceID]*holderOffers
	// offeringLeader is the leader that sends offers to this instance as a holder, or
	// empty.
	offeringLeader fleetconfig.InstanceID
	upstream       upstream
	// inFlight maps the instances with a running poll or offer to its start time.
	inFlight map[fleetconfig.InstanceID]time.Time
	// followingUp reports whether an instance is polled for the delta of which a trial told.
	followingUp bool
	// offeredVersion is the version that was last offered to the children, or 0.
	offeredVersion uint64
	// viewChanged is closed and replaced when the view changes, acceptedChanged when a
	// version may have been accepted.
	viewChanged     chan struct{}
	acceptedChanged chan struct{}
}

// New returns the service and registers its calls on mux.
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
		currencyNode:    currency.NewNode(config.Self.ID, config.Incarnation, config.RevocationBound, clock.Now()),
		held:            fleetconfig.NewDocument(),
		offers:          make(map[fleetconfig.InstanceID]*holderOffers),
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

// View returns the accepted configuration that this instance serves from. It is version
// 0 until the instance has obtained another one.
func (s *Service) View() *fleetconfig.View { return s.view.Load() }

// Current reports whether the view may be used for requests that carry a key, and if
// not, when a caller may retry.
func (s *Service) Current(now time.Time) (current bool, retryAfter time.Duration) {
	if now.After(s.CurrentUntil()) {
		return false, currency.RetryAfter
	}
	return true, 0
}

// CurrentUntil returns the time until which, as far as is known now, the view may be
// used for requests that carry a key. It is the zero time if the view was never
// current.
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

// Serve implements suture.Service. It runs until ctx is cancelled.
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

// logCurrency logs when the configuration becomes current or ceases to be current, and
// returns whether it is current.
func (s *Service) logCurrency(wasCurrent bool) bool {
	now := clock.Now()
	current, _ := s.Current(now)
	if current == wasCurrent {
		return current
	}
	version := s.View().Version()
	if current {
		s.config.Logger.Info("configuration became current", "version", version)
		return true
	}
	s.config.Logger.Warn("configuration is no longer current, refusing requests with keys",
		"version", version, "proved_ms_ago", now.Sub(*s.currentAsOf.Load()).Milliseconds())
	return false
}

// pollInterval returns the time until the next round.
func (s *Service) pollInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := s.config.PollInterval
	if revision := s.currencyNode.Held(); s.config.Replica != nil || revision.IncludesHolder(s.config.Self.ID) {
		interval = min(interval, holderPollInterval)
	}
	return s.currencyNode.PollInterval(interval, clock.Now())
}

// triggerRound makes Serve start a round at once. It does not block.
func (s *Service) triggerRound() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// storeDocument stores a document if it is newer than the held one, and passes its
// revision to the currency state. accepted reports whether the version is known to be
// accepted. The caller holds mu.
func (s *Service) storeDocument(document *fleetconfig.Document, accepted bool) {
	if document.Version > s.held.Version {
		s.deltas.Add(fleetconfig.Diff(s.held, document))
		s.held = document
	}
	revision := currency.RevisionOf(document)
	if accepted {
		s.currencyNode.StoreServedRevision(revision, clock.Now())
	} else {
		s.currencyNode.StoreRevision(revision, clock.Now())
	}
	s.publish()
}

// publish makes the decisions of the currency state visible to View and Current. The
// caller holds mu and calls publish after every call that may change that state.
func (s *Service) publish() {
	if asOf, known := s.currencyNode.CurrentAsOf(); known {
		s.currentAsOf.Store(&asOf)
	}
	version, serving := s.currencyNode.Serving()
	if !serving || version <= s.View().Version() {
		return
	}
	// The version to serve from is always the held one here, because the currency state
	// only selects the version that is held, and publish runs after each change of it.
	previous := s.View()
	s.view.Store(fleetconfig.NewView(s.held))
	close(s.viewChanged)
	s.viewChanged = make(chan struct{})
	if revision := s.currencyNode.Held(); !revision.IncludesHolder(s.config.Self.ID) {
		s.offeringLeader = ""
	}
	s.config.Logger.Info("configuration in force", "version", version)
	s.logEvacuations(previous)
	s.signalAccepted()
	s.triggerRound()
}

// logEvacuations logs the evacuations that came into force or ended with the current view.
func (s *Service) logEvacuations(previous *fleetconfig.View) {
	own := s.config.Self.FailureDomain
	for _, domain := range s.View().Document().EvacuatedDomains {
		if !previous.Evacuated(domain) {
			s.config.Logger.Info("evacuation in force", "failure_domain", domain, "own", domain == own, "version", s.View().Version())
		}
	}
	for _, domain := range previous.Document().EvacuatedDomains {
		if !s.View().Evacuated(domain) {
			s.config.Logger.Info("evacuation ended", "failure_domain", domain, "own", domain == own, "version", s.View().Version())
		}
	}
}
