package ingress

import (
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/transport"
)

// Configuration provides the active configuration.
type Configuration interface {
	// View returns the newest configuration that this instance has received.
	View() *fleetconfig.View
	// Current reports whether the configuration is confirmed as current. Unless it
	// is, no request to a route that requires a key is admitted, and no request is
	// refused because no route matches it; retryAfter is then the wait before the
	// next try.
	Current(now time.Time) (current bool, retryAfter time.Duration)
	// CurrentUntil returns the time until which the configuration counts as current,
	// as far as is known now. It is the zero time if it was never confirmed as
	// current.
	CurrentUntil() time.Time
}

// Remote sends requests to the backend proxies of other instances.
type Remote interface {
	// RoundTrip sends the request to the instance at address at most once. An error
	// that matches transport.ErrNotSent guarantees that the other instance has not
	// processed the request. Large responses use a connection class of their own.
	RoundTrip(address string, request *http.Request, class transport.ConnectionClass) (*http.Response, error)
}

// Candidate is a backend server selected for an attempt.
type Candidate struct {
	// Instance is the instance whose backend proxy sends requests to the backend
	// server.
	Instance fleetconfig.InstanceID
	Server   fleetconfig.BackendServerID
	// Address is the fleet address of the instance. It is empty for this instance.
	Address string
	// KnownRate is the rate that the backend server last advertised to this ingress, or
	// nil if there is none.
	KnownRate *backendproxy.KnownRate
	// MaxRateWait is how long the request may wait until the rate of the backend server
	// admits it. It is zero unless no backend server admits the request at once.
	MaxRateWait time.Duration
	// LastResort says that the backend server is suspected of failure and that no other one
	// has room for the request.
	LastResort bool
}

// Attempt is the result of one attempt. Server selection and failure detection use
// it as evidence.
type Attempt struct {
	// Candidate is the backend server that the attempt was sent to.
	Candidate Candidate
	// Service is the service of the request.
	Service fleetconfig.ServiceName
	// Outcome says whether a backend server ran the request.
	Outcome pipeline.Outcome
	// Status is the status code of the response, or 0 if there was none.
	Status int
	// Latency is the time until the response header arrived, or until the attempt
	// ended without one.
	Latency time.Duration
	// Route is the ID of the request's route.
	Route string
	// ServiceTime is the time from the dispatch of the request to the response of the backend
	// server, zero if it has not responded.
	ServiceTime time.Duration
	// Load is the value of the load header that the backend proxy sent.
	Load string
	// ServerStatus is the value of the header with what the backend server has stated
	// about itself.
	ServerStatus string
	// Refusal is the kind of the refusal that the attempt ended with, from the
	// backend proxy or from this instance. It is empty if there was none.
	Refusal pipeline.RefusalKind
	// PathFailed says that the network path to the instance of the backend server
	// failed.
	PathFailed bool
	// ConnectFailed says that the instance has not processed the request
	// (transport.ErrNotSent), usually because no connection could be established.
	ConnectFailed bool
	// Unanswered says that the deadline of the request passed before the instance had
	// responded, which is no evidence about the path.
	Unanswered bool
	// Canceled says that the attempt ended early because of the caller or a guard of
	// this instance, so it is no evidence against the backend server.
	Canceled bool
}

// Selector selects backend servers for attempts. It is safe for concurrent use.
type Selector interface {
	// Pick selects a backend server that is not in tried. It returns false if none
	// is available.
	Pick(exchange *pipeline.Exchange, tried []Candidate) (Candidate, bool)
	// Repeat records that another attempt is sent to a candidate that Pick returned
	// earlier.
	Repeat(candidate Candidate, exchange *pipeline.Exchange)
	// Done records the result of an attempt. It is called once for each call of Pick
	// that returned a candidate and for each call of Repeat.
	Done(attempt *Attempt)
	// RateWait returns the time until the advertised rate of a backend server of the
	// service admits a request. It returns false if there is no server that is available
	// but for its rate.
	RateWait(service fleetconfig.ServiceName) (time.Duration, bool)
	// Room reports whether a backend server that is not in tried may have room for the
	// request, after busyRefusals of those in tried had none. Otherwise it returns the time
	// after which the caller should come back. It sets exchange.ExpectedWait.
	Room(exchange *pipeline.Exchange, tried []Candidate, busyRefusals int) (retryAfter time.Duration, room bool)
}

// Recorder records exchanges when they end.
type Recorder interface {
	// Record is called once for each exchange.
	Record(exchange *pipeline.Exchange, elapsed time.Duration)
}
