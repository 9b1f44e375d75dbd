package backendproxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/throttle"
)

// Verdict classifies the response to a dispatched request.
type Verdict uint8

const (
	// VerdictAnswered means that the response is the backend server's answer to the request.
	VerdictAnswered Verdict = iota
	// VerdictNotRun means that the backend server reports that it has not run the request.
	VerdictNotRun
	// VerdictMisdirected means that a different backend server uses the address now and has
	// not run the request.
	VerdictMisdirected
	// VerdictMismatched means that the response belongs to another request.
	VerdictMismatched
	// VerdictNotFinal means that the response has a status that can not answer the request:
	// one below 200.
	VerdictNotFinal
	// VerdictInvalid means that the head of the response is not valid HTTP.
	VerdictInvalid
)

// Dialect defines the HTTP conventions between the proxy and backend servers: the
// request headers, and how a response is classified. Implementations must be safe for
// concurrent use.
type Dialect interface {
	// SetHeaders sets the request headers for the backend server. remaining is the time
	// until the deadline of the request.
	SetHeaders(header http.Header, exchange *pipeline.Exchange, remaining time.Duration)
	// Classify returns what the status and header of a response mean for the request.
	// firstOnConn tells whether the request is the first on its connection. On a later one,
	// a response that does not name its request may be a duplicate of an earlier response.
	Classify(response *http.Response, exchange *pipeline.Exchange, firstOnConn bool) Verdict
	// ReadStatus returns what the backend server states about itself in the header of a
	// response.
	ReadStatus(header http.Header) ServerStatus
}

// ServerStatus is what a backend server states about itself in a response.
type ServerStatus struct {
	// Rate is the rate of requests that it accepts from all ingresses together.
	Rate throttle.Advertised
	// Leaving says that it is about to exit and wants no new requests.
	Leaving bool
}

// Headers of DefaultDialect in which a backend server states its status. They are not
// passed on to callers.
const (
	// HeaderRateLimit carries the rate of requests that the backend server accepts from
	// all ingresses together, in requests per second.
	HeaderRateLimit = "Hemlock-Rate-Limit"
	// HeaderLeaving is "1" while the backend server is about to exit.
	HeaderLeaving = "Hemlock-Leaving"
)

// DefaultDialect uses hemlockring's own headers and accepts every response as the answer.
type DefaultDialect struct{}

var _ Dialect = DefaultDialect{}

// SetHeaders implements Dialect.
func (DefaultDialect) SetHeaders(header http.Header, exchange *pipeline.Exchange, remaining time.Duration) {
	header.Set(pipeline.HeaderRequestID, exchange.RequestID)
	if exchange.Account != "" {
		header.Set(pipeline.HeaderAccount, string(exchange.Account))
	}
	header.Set(pipeline.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
}

// Classify implements Dialect.
func (DefaultDialect) Classify(*http.Response, *pipeline.Exchange, bool) Verdict {
	return VerdictAnswered
}

// ReadStatus implements Dialect.
func (DefaultDialect) ReadStatus(header http.Header) ServerStatus {
	return ServerStatus{
		Rate:    throttle.ParseAdvertised(header.Get(HeaderRateLimit)),
		Leaving: header.Get(HeaderLeaving) == "1",
	}
}
