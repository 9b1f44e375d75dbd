package backendproxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hemlockring/hemlockring/pipeline"
)

// Verdict says what a response means for the request that it came for.
type Verdict uint8

const (
	// VerdictAnswered is the backend server's answer.
	VerdictAnswered Verdict = iota
	// VerdictNotRun means that the backend server states that it has not run the
	// request.
	VerdictNotRun
	// VerdictMisdirected means that another backend server has the address now, and
	// has not run the request.
	VerdictMisdirected
	// VerdictMismatched means that the response belongs to another request.
	VerdictMismatched
)

// Dialect is how backend servers are spoken to: which headers tell them of a
// request, and what their responses say besides the answer. It is safe for
// concurrent use.
type Dialect interface {
	// SetHeaders sets what a backend server is told. remaining is the time that is left
	// for the request.
	SetHeaders(header http.Header, exchange *pipeline.Exchange, remaining time.Duration)
	// Classify says what the head of a response means.
	Classify(response *http.Response, exchange *pipeline.Exchange) Verdict
}

// DefaultDialect is the dialect of hemlockring itself.
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
