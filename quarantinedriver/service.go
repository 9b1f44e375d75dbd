package quarantinedriver

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/internal/linelimit"
	"github.com/hemlockring/hemlockring/quarantine"
)

const (
	// compareInterval is the interval between two comparisons with another instance while
	// there is something to compare, and idleCompareInterval while there is not. An instance
	// that has just started compares every joinCompareInterval for joinDuration.
	compareInterval     = 500 * time.Millisecond
	idleCompareInterval = 2 * time.Second
	joinCompareInterval = 200 * time.Millisecond
	joinDuration        = 3 * time.Second
	// maxLinesPerSecond bounds the log messages about requests.
	maxLinesPerSecond = 20
)

// Config configures a Service.
type Config struct {
	// Members returns the latest snapshot of the membership.
	Members func() *gossip.Snapshot
	// Send sends a datagram to the fleet address of another instance. It may be lost.
	Send func(address string, payload []byte)
	// OnQuarantine, unless it is nil, is called with each request that the fleet starts to
	// refuse, on one instance.
	OnQuarantine func(request quarantine.Request)
	// Logger receives a message for each change of what is thought of a request.
	Logger *slog.Logger
}

// Statistics counts events since the start of the instance.
type Statistics struct {
	// Crashes counts the crashes of backend servers beside this instance with requests under
	// way.
	Crashes uint64
	// Refusals counts the requests that were refused because they are quarantined.
	Refusals uint64
	// Trials counts the trial runs of quarantined requests that this instance has permitted.
	Trials uint64
	// Suspected and Quarantined are the numbers of requests in these states now.
	Suspected, Quarantined int
}

// Service is the quarantine of one instance. It is a suture service and safe for concurrent
// use.
type Service struct {
	config      Config
	lineLimiter *linelimit.Limiter

	crashes, refusals, trials atomic.Uint64
	// anyQuarantined saves requests the lock while none is quarantined.
	anyQuarantined atomic.Bool

	// mu guards table.
	mu    sync.Mutex
	table *quarantine.Table
}

// New returns a service with an empty table.
func New(config Config) *Service {
	return &Service{config: config, lineLimiter: linelimit.New(maxLinesPerSecond), table: quarantine.NewTable()}
}

// Serve forgets expired entries and compares the table with those of other instances, one
// after the other, until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	started := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(s.untilComparison(started)):
		}
		s.mu.Lock()
		s.table.Tick(clock.Now())
		s.anyQuarantined.Store(s.table.AnyQuarantined())
		s.mu.Unlock()
		s.compare()
	}
}

// untilComparison returns the time until the next comparison.
func (s *Service) untilComparison(started time.Time) time.Duration {
	switch {
	case clock.Since(started) < joinDuration:
		return joinCompareInterval
	case s.digest() == 0:
		return idleCompareInterval
	default:
		return compareInterval
	}
}

// MayBeQuarantined reports whether a request may be quarantined as far as its head tells.
func (s *Service) MayBeQuarantined(head quarantine.HeadFingerprint) bool {
	if !s.anyQuarantined.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.HeadQuarantined(head)
}

// AnyQuarantined reports whether any request is quarantined.
func (s *Service) AnyQuarantined() bool { return s.anyQuarantined.Load() }

// Refuses reports whether a request is refused, and if so the time after which it may be sent
// again. It counts the refusals.
func (s *Service) Refuses(fingerprint quarantine.Fingerprint) (retryAfter time.Duration, refused bool) {
	s.mu.Lock()
	decision, retryAfter := s.table.Check(fingerprint, clock.Now())
	s.mu.Unlock()
	if decision == quarantine.Admit {
		return 0, false
	}
	s.refusals.Add(1)
	return retryAfter, true
}

// RefusesOrTries is Refuses, but permits a trial run of the request if one is due and this
// instance is the one that makes them.
func (s *Service) RefusesOrTries(fingerprint quarantine.Fingerprint) (retryAfter time.Duration, refused, trial bool) {
	if s.makesTrialsOf(fingerprint) {
		s.mu.Lock()
		trial = s.table.BeginTrial(fingerprint, clock.Now())
		s.mu.Unlock()
	}
	if trial {
		s.trials.Add(1)
		s.config.Logger.Info("quarantined request gets a trial run", "fingerprint", fingerprint.String())
		return 0, false, true
	}
	retryAfter, refused = s.Refuses(fingerprint)
	return retryAfter, refused, false
}

// MayRetry reports whether a request that was under way in a crash may be sent to another
// backend server at once.
func (s *Service) MayRetry(fingerprint quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.MayRetry(fingerprint)
}

// Complete records that a backend server ran a request to its end.
func (s *Service) Complete(fingerprint quarantine.Fingerprint) {
	s.mu.Lock()
	change, changed := s.table.Complete(fingerprint, clock.Now())
	s.mu.Unlock()
	if changed {
		s.handle([]quarantine.Change{change}, "completed run")
	}
}

// WitnessCrash implements backendproxy.Quarantine.
func (s *Service) WitnessCrash(id quarantine.CrashID, underWay []quarantine.Request, others int) []quarantine.Entry {
	s.crashes.Add(1)
	s.mu.Lock()
	changes := s.table.WitnessCrash(id, underWay, others, time.Now().UnixMilli(), clock.Now())
	s.mu.Unlock()
	s.handle(changes, "crash")
	entries := make([]quarantine.Entry, 0, len(changes))
	for i := range changes {
		entries = append(entries, changes[i].Entry)
	}
	return entries
}

// Observe records what a backend proxy says about a request that this instance sent to it.
func (s *Service) Observe(entry *quarantine.Entry) { s.merge([]quarantine.Entry{*entry}, "response") }

// Release clears a request on behalf of an operator. It returns false if nothing is known
// about it.
func (s *Service) Release(fingerprint quarantine.Fingerprint) bool {
	s.mu.Lock()
	change, changed := s.table.Release(fingerprint, clock.Now())
	s.mu.Unlock()
	if changed {
		s.handle([]quarantine.Change{change}, "operator")
	}
	return changed
}

// Entries describes what is known about requests, those with the most evidence first.
func (s *Service) Entries() []quarantine.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Entries()
}

// Statistics returns the counts of events.
func (s *Service) Statistics() Statistics {
	s.mu.Lock()
	defer s.mu.Unlock()
	suspected, quarantined := s.table.Count()
	return Statistics{
		Crashes:     s.crashes.Load(),
		Refusals:    s.refusals.Load(),
		Trials:      s.trials.Load(),
		Suspected:   suspected,
		Quarantined: quarantined,
	}
}

func (s *Service) merge(entries []quarantine.Entry, source string) {
	now := clock.Now()
	var changes []quarantine.Change
	s.mu.Lock()
	for i := range entries {
		if change, changed := s.table.Merge(&entries[i], now); changed {
			changes = append(changes, change)
		}
	}
	s.mu.Unlock()
	s.handle(changes, source)
}

// handle logs changes and sends them to the instances that need to know.
func (s *Service) handle(changes []quarantine.Change, source string) {
	if len(changes) == 0 {
		return
	}
	s.mu.Lock()
	s.anyQuarantined.Store(s.table.AnyQuarantined())
	s.mu.Unlock()
	for i := range changes {
		s.logChange(&changes[i], source)
		s.reportQuarantine(&changes[i])
	}
	s.spread(changes)
}

// reportQuarantine calls OnQuarantine on the instance that makes the trial runs of the request.
func (s *Service) reportQuarantine(change *quarantine.Change) {
	starts := change.Before != quarantine.StateQuarantined && change.After == quarantine.StateQuarantined
	if starts && s.config.OnQuarantine != nil && s.makesTrialsOf(change.Entry.Fingerprint) {
		s.config.OnQuarantine(quarantine.Request{Fingerprint: change.Entry.Fingerprint, Account: change.Entry.Account, Service: change.Entry.Service})
	}
}

// logChange logs a change. What other instances find is logged only if it decides whether the
// request is refused.
func (s *Service) logChange(change *quarantine.Change, source string) {
	decides := (change.Before == quarantine.StateQuarantined) != (change.After == quarantine.StateQuarantined)
	if !decides && source == sourcePeer {
		return
	}
	permitted, omitted := s.lineLimiter.Allow(clock.Now())
	if omitted > 0 {
		s.config.Logger.Info("quarantine lines omitted", "lines", omitted)
	}
	if !permitted {
		return
	}
	s.config.Logger.Info("request that was under way in crashes is "+change.After.String(),
		"fingerprint", change.Entry.Fingerprint.String(),
		"account", string(change.Entry.Account),
		"service", string(change.Entry.Service),
		"before", change.Before.String(),
		"crashes", change.Crashes,
		"points", change.Points,
		"source", source)
}
