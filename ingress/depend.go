package ingress

import (
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/transport"
)

// Configuration is where the ingress reads the configuration in force.
type Configuration interface {
	// View returns the newest configuration that this instance has.
	View() *fleetconfig.View
	// Current reports whether that configuration may be acted on for requests that
	// carry a key. If not, retryAfter says when to ask again.
	Current(now time.Time) (current bool, retryAfter time.Duration)
	// CurrentUntil returns until when that holds as far as is known, or the zero time.
	CurrentUntil() time.Time
}

// Remote sends requests to the backend proxies of other instances.
type Remote interface {
	// RoundTrip sends the request to the instance at address, never twice. An error
	// that is transport.ErrNotSent proves that no byte left. Downloads go in a lane of
	// their own.
	RoundTrip(address string, request *http.Request, lane transport.ConnectionClass) (*http.Response, error)
}

// Candidate is a backend server chosen for an attempt.
type Candidate struct {
	// Instance is the instance beside it.
	Instance fleetconfig.InstanceID
	// Server is the backend server.
	Server fleetconfig.BackendServerID
	// Address is the fleet address of the instance, empty for this instance.
	Address string
}

// Attempt is the result of one attempt, as evidence for selection and health.
type Attempt struct {
	// Candidate is where the attempt went.
	Candidate Candidate
	// Service is the service of the request.
	Service fleetconfig.ServiceName
	// Outcome is how it ended.
	Outcome pipeline.Outcome
	// Status is the status code of the answer, 0 without one.
	Status int
	// Latency is the time to the head of the answer or to the end of the attempt.
	Latency time.Duration
	// Load is the load that the backend proxy reported, in the form of its header.
	Load string
	// Refusal is the kind of a refusal by the backend proxy, empty without one.
	Refusal pipeline.RefusalKind
	// PathFailed says that the instance beside the backend server could not be
	// reached.
	PathFailed bool
	// ConnectFailed says that no connection to the instance could be set up.
	ConnectFailed bool
	// Canceled says that the caller gave the request up.
	Canceled bool
}

// Selector chooses backend servers. It is safe for concurrent use.
type Selector interface {
	// Pick chooses a backend server for an attempt, none of those in tried. It
	// returns false when there is none to choose.
	Pick(exchange *pipeline.Exchange, tried []Candidate) (Candidate, bool)
	// Repeat records that another attempt goes to a candidate of an earlier Pick.
	Repeat(candidate Candidate, exchange *pipeline.Exchange)
	// Done takes the result of an attempt in. Each Pick and Again is followed by one
	// Done.
	Done(attempt *Attempt)
}

// Recorder takes in each exchange at its end.
type Recorder interface {
	// Record is called once for each exchange that came as far as having a request
	// id.
	Record(exchange *pipeline.Exchange, elapsed time.Duration)
}
