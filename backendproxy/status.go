package backendproxy

import (
	"log/slog"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/linelimit"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/throttle"
)

// maxStatusLinesPerSecond bounds the log messages about what backend servers state about
// themselves.
const maxStatusLinesPerSecond = 10

// Statistics counts events at the backend servers beside this instance since its start.
type Statistics struct {
	// Sent counts the requests for which a slot was assigned.
	Sent uint64
	// RateRefusals counts the requests that were refused because of an advertised rate.
	RateRefusals uint64
	// InvalidRates counts the responses with a rate that could not be read.
	InvalidRates uint64
	// LeavingServers counts the servers that stated that they are leaving.
	LeavingServers uint64
	// Retries counts the further attempts of requests that were sent to backend servers, and
	// RepeatedCalls the requests that were sent to them on behalf of repeated runs.
	Retries, RepeatedCalls uint64
	// RepeatRefusals counts those that were refused because the server may receive no more
	// repeats now.
	RepeatRefusals uint64
	// EvacuationRefusals counts the requests that were refused because the failure domain of
	// this instance is evacuated.
	EvacuationRefusals uint64
	// CallRefusals counts the requests that were refused because a call that their run needs
	// would have found no room.
	CallRefusals uint64
}

// statusObserver records what backend servers state about themselves in their responses.
type statusObserver struct {
	registry    *Registry
	dialect     Dialect
	log         *slog.Logger
	lineLimiter *linelimit.Limiter

	invalidRates atomic.Uint64
}

// observe records the status in a response that the backend server of the exchange has
// sent for it.
func (o *statusObserver) observe(exchange *pipeline.Exchange, header http.Header) {
	status := o.dialect.ReadStatus(header)
	if status.Rate.Kind == throttle.KindInvalid {
		o.invalidRates.Add(1)
		o.logLine("backend server advertises an invalid rate", exchange.BackendServer, "request", exchange.RequestID)
	}
	dispatchedAt := clock.Now().Add(-exchange.DispatchAge)
	changed := o.registry.observeStatus(exchange.BackendServer, stateOf(exchange).slot, status, dispatchedAt)
	if changed.rate {
		load, _ := o.registry.loadOf(exchange.BackendServer)
		o.logLine("backend server changed its advertised rate", exchange.BackendServer, "request", exchange.RequestID,
			"limited", load.Rate.Limited, "per_second", load.Rate.PerSecond, "sent", changed.sent, "running", load.Running, "queued", load.Queued)
	}
	if changed.leaving {
		o.logLine("backend server is leaving", exchange.BackendServer, "request", exchange.RequestID)
	}
}

func (o *statusObserver) logLine(message string, server fleetconfig.BackendServerID, attributes ...any) {
	if o.log == nil {
		return
	}
	permitted, omitted := o.lineLimiter.Allow(clock.Now())
	if omitted > 0 {
		o.log.Info("status lines omitted", "lines", omitted)
	}
	if permitted {
		o.log.Info(message, append([]any{"backend_server", string(server)}, attributes...)...)
	}
}

// statusChange says which parts of a server's status a response has changed.
type statusChange struct {
	rate, leaving bool
	// sent is how many requests the server has been sent so far.
	sent uint64
}

// observeStatus records what a response of the backend server states about it. slot is that
// of the request, and dispatchedAt is when the request was sent to the server. The response
// of a process that has restarted since says nothing about its successor.
func (r *Registry) observeStatus(id fleetconfig.BackendServerID, slot *Slot, status ServerStatus, dispatchedAt time.Time) statusChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[id]
	if server == nil || server.admission != slot.admission {
		return statusChange{}
	}
	change := statusChange{leaving: status.Leaving && !server.leaving, sent: server.sent}
	if change.leaving {
		server.leaving = true
		r.leavingServers.Add(1)
	}
	change.rate = server.admission.observeRate(status.Rate, dispatchedAt)
	if status.Leaving {
		server.leavingStatedAt = clock.Now()
	}
	if change.leaving && !server.draining {
		server.draining = true
		server.admission.leave()
	}
	if change.leaving || (change.rate && server.rateChangedSincePublished()) {
		r.publish()
	}
	return change
}

// rateChangedSincePublished reports whether the rate limit differs from the published one
// so much that the fleet is told about it.
func (s *Server) rateChangedSincePublished() bool {
	rate := s.admission.statedRate()
	if rate.Limited != s.publishedRate.Limited || rate.Cold != s.publishedRate.Cold {
		return true
	}
	return math.Abs(rate.PerSecond-s.publishedRate.PerSecond) >= minPublishedRateChange*s.publishedRate.PerSecond
}

// adoptRate sets the rate that an ingress has learned from the backend server before this
// instance was started. It reports whether the rate limit has changed.
func (r *Registry) adoptRate(id fleetconfig.BackendServerID, known KnownRate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[id]
	if server == nil || !server.admission.adoptRate(known) {
		return false
	}
	r.publish()
	return true
}
