package pipeline

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// ErrAnswered is returned by a filter that has sent the whole response itself.
var ErrAnswered = errors.New("the exchange is already answered; stop walking the chain")

// Exchange is one request of a caller and its response on their way through a
// chain. A chain and its filters use it from one goroutine.
type Exchange struct {
	// Request is the caller's request. Filters clean its header in place.
	Request *http.Request
	// Writer receives the response. A filter may wrap it.
	Writer http.ResponseWriter
	// RequestID identifies the exchange in logs and headers.
	RequestID string
	// Received is when the request arrived, with a monotonic reading.
	Received time.Time
	// CallerTimeout is how long the caller waits from Received, zero when it has not said.
	CallerTimeout time.Duration
	// Deadline is when the request is given up.
	Deadline time.Time
	// View is the configuration that the whole exchange is judged by.
	View *fleetconfig.View
	// Route is the matched route.
	Route *fleetconfig.Route
	// Service is the service that runs the request: the route's, or the part of its
	// split that the request was given to.
	Service fleetconfig.ServiceName
	// CallerService is the service on the machine where the request began, empty
	// when the settings name none.
	CallerService fleetconfig.ServiceName
	// Account is the client account of the key, empty on a route open to all.
	Account fleetconfig.AccountID
	// KeyID identifies the key that came with the request.
	KeyID fleetconfig.KeyID
	// ConfigurationVersion is the version of the configuration by which the ingress let the request
	// in.
	ConfigurationVersion uint64
	// Key is the presented key. It is cleared once authenticated and never leaves
	// the ingress.
	Key string
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	// Urgency orders the request against others of its service.
	Urgency fleetconfig.Urgency
	// LastResort says that every other backend server has refused the request.
	LastResort bool
	// ReachedAttempts counts the attempts that may have reached a backend server.
	ReachedAttempts int
	// TokenExpires is when the quota token of the request runs out; zero when the
	// request needs no token.
	TokenExpires time.Time
	// CurrentUntil is when the key of the request is no longer vouched for; zero when
	// the request needs no key.
	CurrentUntil time.Time
	// DispatchBy is when a backend proxy must have dispatched the request, by its own
	// clock.
	DispatchBy time.Time
	// DispatchAge is how long before the head of the answer the request was
	// dispatched, at least.
	DispatchAge time.Duration
	// Outcome says what is known about whether a backend server ran the request.
	Outcome Outcome
	// Status is the status code sent to the caller, 0 while none was sent.
	Status int
	// ResponseHeader is the header of the response while the response halves run.
	ResponseHeader http.Header
	// Attempts counts the attempts that were sent to a backend proxy.
	Attempts int
	// BackendServer is the backend server of the last attempt.
	BackendServer fleetconfig.BackendServerID
	// Instance is the instance of the last attempt.
	Instance fleetconfig.InstanceID
	// AttemptHistory is where the attempts went and how each ended, oldest first.
	AttemptHistory []AttemptRecord
	// Truncated says that the answer broke off after its head was sent. The server
	// must end the connection or stream, so that the caller sees the break.
	Truncated bool
	// State is for the chain that made the exchange.
	State any
	// Refusal is the refusal sent to the caller, nil when there was none.
	Refusal *Refusal

	respond func()
}

// AttemptRecord is one attempt of an exchange.
type AttemptRecord struct {
	// Instance and BackendServer are where the attempt went.
	Instance      fleetconfig.InstanceID
	BackendServer fleetconfig.BackendServerID
	// Outcome is how it ended.
	Outcome Outcome
	// Status is the status of the answer, 0 without one.
	Status int
	// Refusal is the kind of refusal, empty without one.
	Refusal RefusalKind
	// Duration is how long it took.
	Duration time.Duration
}

// RunResponseFilters runs the response halves of the filters entered so far. The forwarding
// filter calls it once, with ResponseHeader set, before it sends the head.
func (e *Exchange) RunResponseFilters() {
	if e.respond != nil {
		e.respond()
	}
}

// ServiceName returns the service that runs the request: the chosen one, or the
// route's while none is chosen.
func (e *Exchange) ServiceName() fleetconfig.ServiceName {
	if e.Service == "" && e.Route != nil {
		return e.Route.Service
	}
	return e.Service
}

// Remaining returns the time left until the deadline.
func (e *Exchange) Remaining(now time.Time) time.Duration {
	return e.Deadline.Sub(now)
}
