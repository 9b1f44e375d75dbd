package backendproxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockring/hemlockring/pipeline"
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
)

// Dialect defines the HTTP conventions between the proxy and backend servers: the
// request headers, and how a response is classified. Implementations must be safe for
// concurrent use.
type Dialect interface {
	// SetHeaders sets the request headers for the backend server. remaining is the time
	// until the deadline of the request.
	SetHeaders(header http.Header, exchange *pipeline.Exchange, remaining time.Duration)
	// Classify returns what the status and header of a response mean for the request.
	Classify(response *http.Response, exchange *pipeline.Exchange) Verdict
}

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
func (DefaultDialect) Classify(*http.Response, *pipeline.Exchange) Verdict { return VerdictAnswered }
