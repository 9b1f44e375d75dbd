package pipeline

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/quarantine"
)

// ErrAnswered is returned by a filter that has sent the whole response itself.
var ErrAnswered = errors.New("the exchange is already answered; run no further filters")

// Exchange is one request of a caller and its response while a chain handles them.
// All filters of a chain run in one goroutine, so an Exchange needs no lock.
type Exchange struct {
	// Request is the caller's request. Filters modify its header in place.
	Request *http.Request
	// Writer receives the response. A filter may wrap it.
	Writer http.ResponseWriter
	// RequestID identifies the exchange in logs and headers.
	RequestID string
	// Received is when the request arrived, with a monotonic clock reading.
	Received time.Time
	// CallerTimeout is how long the caller waits from Received on. It is zero if the
	// caller has not said so.
	CallerTimeout time.Duration
	// Deadline is the time after which the request is abandoned.
	Deadline time.Time
	// View is the configuration that applies to the whole exchange.
	View *fleetconfig.View
	// Route is the matched route.
	Route *fleetconfig.Route
	// Service is the service that runs the request: the service of the route, or, if
	// the route has a traffic split, the service that was chosen from the split.
	Service fleetconfig.ServiceName
	// CallerService is the service that runs on the machine that the request comes
	// from. It is empty if the settings name none.
	CallerService fleetconfig.ServiceName
	// Account is the client account that the key belongs to. It is empty on a route
	// that requires no key.
	Account fleetconfig.AccountID
	// KeyID identifies the key of the request.
	KeyID fleetconfig.KeyID
	// ConfigurationVersion is the version of the configuration with which the
	// ingress authenticated the request. Only the backend proxy sets it.
	ConfigurationVersion uint64
	// Key is the key that the caller sent. The authenticate filter clears it, so
	// that it never leaves the ingress.
	Key string
	// HasKey says that the caller sent a key, valid or not. Only the ingress sets it.
	HasKey bool
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Urgency orders the request relative to others of its service. Only the backend
	// proxy sets it.
	Urgency fleetconfig.Urgency
	// CallUrgency is the urgency of a request that a run of a backend server sends, or zero.
	// Only the ingress sets it.
	CallUrgency fleetconfig.Urgency
	// RouteID is the ID of the route by which the ingress has matched the request. Only the
	// backend proxy sets it.
	RouteID string
	// LastResort says that earlier attempts were refused because their backend
	// servers are suspected of failure. A backend server should therefore run the
	// request even if it is suspected of failure.
	LastResort bool
	// Implicated is the fingerprint of the request if it was under way in a crash and may have
	// caused it, or nil. Only the ingress sets it.
	Implicated *quarantine.Fingerprint
	// CallerRequest is the ID of the request that the caller, a backend server, runs
	// meanwhile. It is empty if the caller names none. Only the ingress sets it.
	CallerRequest string
	// RepeatedCall says that a repeated run of a backend server sends the request. Only the
	// ingress sets it.
	RepeatedCall bool
	// Repeat says whether the attempt repeats work. Only the backend proxy sets it.
	Repeat Repeat
	// Trial says that the request is quarantined and that this is its trial run, which shows
	// whether it still crashes backend servers.
	Trial bool
	// MaxRateWait is how long the request may wait until the rate that the backend server
	// advertises admits it. Without such a wait, a backend proxy refuses a request that the
	// rate does not admit at once.
	MaxRateWait time.Duration
	// TargetTime is when the response misses the latency target of the route. It is zero if
	// the route has none. Only the backend proxy sets it, by its own clock.
	TargetTime time.Time
	// ServiceTime is the usual time from the dispatch of a request of the route to its
	// response, over the servers of the service that the ingress uses. It is zero if it is not
	// known.
	ServiceTime time.Duration
	// ExpectedWait is the shortest wait for a slot that was known when room for the request was
	// last looked for. Only the ingress sets it.
	ExpectedWait time.Duration
	// ReachedAttempts counts the attempts that may have reached a backend server.
	ReachedAttempts int
	// TokenExpires is when the quota token of the request expires. It is zero if the
	// request needs no token.
	TokenExpires time.Time
	// CurrentUntil is the time until which the ingress has confirmed that the key of
	// the request is current. It is zero if the request needs no key.
	CurrentUntil time.Time
	// DispatchBy is the dispatch deadline of the request: the time by which the
	// backend proxy must begin to write the request to the backend server, if it
	// writes it at all. Only the backend proxy sets it, by its own clock.
	DispatchBy time.Time
	// DispatchAge is the time between the dispatch of the request and the arrival of
	// the response header at the backend proxy. The dispatch is therefore at least
	// that long ago.
	DispatchAge time.Duration
	// Outcome says whether a backend server ran the request, as far as is known.
	Outcome Outcome
	// Status is the status code sent to the caller, or 0 before one is sent.
	Status int
	// ResponseHeader is the header of the response while the response filters run.
	ResponseHeader http.Header
	// Attempts counts the attempts to send the request to a backend proxy. If a
	// backend proxy refuses the request with KindClockUnknown and the request is
	// then sent to it a second time, the two count as one attempt.
	Attempts int
	// BackendServer is the backend server of the last attempt.
	BackendServer fleetconfig.BackendServerID
	// Instance is the instance of the last attempt.
	Instance fleetconfig.InstanceID
	// AttemptHistory records where the attempts were sent and how each ended, oldest
	// first.
	AttemptHistory []AttemptRecord
	// Truncated says that the response ended prematurely after its header was sent.
	// The HTTP server must then abort the connection or stream, so that the caller
	// detects the truncation.
	Truncated bool
	// Hasher computes the fingerprint of the request as the body is read. It is nil if
	// none is needed.
	Hasher *quarantine.Hasher
	// State holds the private data of the chain that created the exchange.
	State any
	// Refusal is the refusal sent to the caller, or nil if there was none.
	Refusal *Refusal

	runResponseFilters func()
}

// AttemptRecord records one attempt of an exchange.
type AttemptRecord struct {
	// Instance and BackendServer are where the attempt was sent.
	Instance      fleetconfig.InstanceID
	BackendServer fleetconfig.BackendServerID
	// Outcome is the outcome of the attempt.
	Outcome Outcome
	// Status is the status code of the response, or 0 if there was none.
	Status int
	// Refusal is the kind of the refusal that the attempt ended with. It is empty if
	// there was none.
	Refusal RefusalKind
	// Duration is how long the attempt took.
	Duration time.Duration
}

// RunResponseFilters calls the response filters among the filters that have run so
// far. The forward filter calls it once, with ResponseHeader set, before it sends
// the response header.
func (e *Exchange) RunResponseFilters() {
	if e.runResponseFilters != nil {
		e.runResponseFilters()
	}
}

// IngressUrgency returns the urgency of the request, as the ingress knows it.
func (e *Exchange) IngressUrgency() fleetconfig.Urgency {
	switch {
	case e.CallUrgency != 0:
		return e.CallUrgency
	case e.View == nil:
		return fleetconfig.UrgencyOf(nil, e.Route)
	}
	return fleetconfig.UrgencyOf(e.View.Account(e.Account), e.Route)
}

// NextRepeat returns the Repeat of the next attempt.
func (e *Exchange) NextRepeat() Repeat {
	switch {
	case e.RepeatedCall:
		return RepeatCall
	case e.ReachedAttempts > 0:
		return RepeatRetry
	}
	return RepeatNone
}

// ServiceName returns the chosen service, or the service of the route if none has
// been chosen yet.
func (e *Exchange) ServiceName() fleetconfig.ServiceName {
	if e.Service == "" && e.Route != nil {
		return e.Route.Service
	}
	return e.Service
}

// Fingerprint returns the fingerprint of the request. It returns false if none is computed or
// too little of the body has been read.
func (e *Exchange) Fingerprint() (quarantine.Fingerprint, bool) {
	if e.Hasher == nil {
		return quarantine.Fingerprint{}, false
	}
	return e.Hasher.Sum()
}

// Remaining returns the time left until the deadline.
func (e *Exchange) Remaining(now time.Time) time.Duration {
	return e.Deadline.Sub(now)
}
