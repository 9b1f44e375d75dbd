package backendproxy

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/internal/httpheader"
	"github.com/hemlockring/hemlockring/internal/strictresponse"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quarantine"
)

const (
	connectTimeout = time.Second
	// idleConnTimeout is how long an idle connection for idempotent requests stays open.
	idleConnTimeout = 10 * time.Second
	// maxIdleBeforeNonIdempotent is how long a connection may have been idle when a
	// non-idempotent request is sent on it. Operators report backend servers that silently
	// drop connections after 300 ms idle; a request sent on such a connection is lost, and
	// its outcome is unknown.
	maxIdleBeforeNonIdempotent = 200 * time.Millisecond
	// maxIdleConns bounds the idle connections of each pool.
	maxIdleConns = 64
	// restBufferBytes is the size of the buffer for the rest of a body whose dispatch failed.
	restBufferBytes = 4 << 10
	// maxResponseHeaderBytes bounds the header of a backend server's response.
	maxResponseHeaderBytes = 256 << 10
)

// connPoolsPerServer is how many connection pools a dispatcher has for each backend
// server: one for idempotent requests and one for all others.
const connPoolsPerServer = 2

// dispatcher sends requests to backend servers, each at most once.
type dispatcher struct {
	// idempotent carries the idempotent requests, nonIdempotent all others.
	idempotent, nonIdempotent *http.Transport
	dialect                   Dialect
}

func newDispatcher(dialect Dialect) *dispatcher {
	return &dispatcher{
		dialect:       dialect,
		idempotent:    newTransport(idleConnTimeout),
		nonIdempotent: newTransport(maxIdleBeforeNonIdempotent),
	}
}

// newTransport returns a transport that closes connections after they have been idle for
// idleTimeout.
func newTransport(idleTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		TLSNextProto:           make(map[string]func(string, *tls.Conn) http.RoundTripper),
	}
}

// dispatchResult says what became of a dispatched request.
type dispatchResult struct {
	// verdict classifies the response, if there is one. It is VerdictInvalid if the response
	// was given up for its head.
	verdict Verdict
	// outcome says, if there is no response, whether the request may have run.
	outcome pipeline.Outcome
}

// dispatch sends the request to the backend server at address. The first byte is written
// by dispatchBy or not at all.
func (d *dispatcher) dispatch(ctx context.Context, exchange *pipeline.Exchange, address string, dispatchBy time.Time) (*http.Response, dispatchResult, error) {
	var conn atomic.Pointer[trackedConn]
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused.Store(info.Reused)
			if tracked, ok := info.Conn.(*trackedConn); ok {
				tracked.beginRequest(dispatchBy)
				conn.Store(tracked)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if tracked := conn.Load(); tracked != nil && info.Err == nil {
				tracked.endRequest(exchange.Request.ContentLength <= 0)
			}
		},
		PutIdleConn: func(err error) {
			if tracked := conn.Load(); tracked != nil && err == nil {
				tracked.setIdle()
			}
		},
	}
	request := d.outgoingRequest(httptrace.WithClientTrace(ctx, trace), exchange, address)
	transport := d.nonIdempotent
	if exchange.Idempotent {
		transport = d.idempotent
	}
	response, err := transport.RoundTrip(request)
	usedConn := conn.Load()
	if err == nil {
		exchange.DispatchAge = clock.Since(usedConn.dispatchedAt())
		verdict := VerdictNotFinal
		switch {
		case response.StatusCode < http.StatusOK:
		case !usedConn.receivedHead():
			verdict = VerdictMismatched // It had arrived before the request was sent.
		default:
			verdict = d.dialect.Classify(response, exchange, !reused.Load())
		}
		switch verdict {
		case VerdictNotFinal:
			// net/http hands the connection of a 101 response over as its body, whose reads do
			// not end with the context of the request.
			usedConn.retire()
			_ = response.Body.Close() // The connection is not used again, whether or not closing it fails.
		case VerdictMismatched, VerdictMisdirected:
			// After a mismatched response, the answer to this request is still due on the
			// connection. After a misdirected request, the next attempt has the same request ID
			// and may go to the same address, where a duplicate of this response could pass for
			// its answer.
			usedConn.retire()
		default:
			usedConn.setIdleTimeout(statedIdleTimeout(response.Header.Get("Keep-Alive")))
		}
		return response, dispatchResult{verdict: verdict, outcome: pipeline.OutcomeAnswered}, nil
	}
	if usedConn == nil || !usedConn.stopWrites() {
		return nil, dispatchResult{outcome: pipeline.OutcomeNotRun}, err
	}
	result := dispatchResult{outcome: pipeline.OutcomeUnknown}
	if errors.Is(err, strictresponse.ErrInvalid) {
		result.verdict = VerdictInvalid
	}
	return nil, result, err
}

// outgoingRequest builds the request to the backend server. Its body is always one that
// net/http cannot rewind. Otherwise the request could run twice: after a connection error,
// http.Transport resends a request that meets two conditions. Its body is empty or can be
// rewound, and the request has either the method GET, HEAD, OPTIONS or TRACE, or an
// Idempotency-Key header.
func (d *dispatcher) outgoingRequest(ctx context.Context, exchange *pipeline.Exchange, address string) *http.Request {
	incoming := exchange.Request
	header := incoming.Header.Clone()
	httpheader.RemoveHopByHop(header)
	httpheader.RemoveInternal(header)
	d.dialect.SetHeaders(header, exchange, exchange.Remaining(clock.Now()))
	if _, present := header["User-Agent"]; !present {
		// An empty value keeps net/http from adding its own User-Agent.
		header.Set("User-Agent", "")
	}
	target := pipeline.TargetOf(incoming.URL)
	target.Scheme, target.Host = "http", address
	outgoing := &http.Request{
		Method:        incoming.Method,
		URL:           target,
		Host:          incoming.Host,
		Header:        header,
		ContentLength: incoming.ContentLength,
	}
	body := &nonRewindableBody{}
	if incoming.ContentLength != 0 {
		body = &nonRewindableBody{source: incoming, target: outgoing, hasher: exchange.Hasher}
	}
	outgoing.Body = body
	if state := stateOf(exchange); state != nil {
		state.body = body
	}
	if len(incoming.Trailer) > 0 {
		outgoing.Trailer = allowedTrailer(incoming.Trailer)
	}
	return outgoing.WithContext(ctx)
}

// allowedTrailer returns the declared trailer fields without the internal ones.
func allowedTrailer(trailer http.Header) http.Header {
	allowed := make(http.Header, len(trailer))
	for name, values := range trailer {
		if !httpheader.IsInternal(name) {
			allowed[name] = values
		}
	}
	return allowed
}

// nonRewindableBody is a request body that can be read only once. net/http cannot rewind
// it, because it is not http.NoBody and its request has no GetBody. The zero value is an
// empty body.
type nonRewindableBody struct {
	source *http.Request
	target *http.Request
	// hasher receives the bytes that are read, unless it is nil.
	hasher *quarantine.Hasher

	// closed says that net/http reads no more.
	closed atomic.Bool
	// mu guards reads of the source.
	mu sync.Mutex
}

// Read implements io.Reader. At the end of the body it copies the values of the trailer
// fields.
func (b *nonRewindableBody) Read(buffer []byte) (int, error) {
	if b.source == nil {
		return 0, io.EOF
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.readSource(buffer)
	if errors.Is(err, io.EOF) {
		for name := range b.target.Trailer {
			b.target.Trailer[name] = b.source.Trailer[name]
		}
	}
	return n, err
}

// readSource reads from the source. The caller must hold mu.
func (b *nonRewindableBody) readSource(buffer []byte) (int, error) {
	n, err := b.source.Body.Read(buffer)
	if b.hasher != nil {
		_, _ = b.hasher.Write(buffer[:n])
		if errors.Is(err, io.EOF) {
			b.hasher.End()
		}
	}
	return n, err
}

// readRest reads what the fingerprint still needs after the dispatch has failed.
func (b *nonRewindableBody) readRest() {
	if b.source == nil || b.hasher == nil {
		return
	}
	b.closed.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	buffer := make([]byte, restBufferBytes)
	for {
		if _, known := b.hasher.Sum(); known {
			return
		}
		if _, err := b.readSource(buffer); err != nil {
			return
		}
	}
}

// Close implements io.Closer. It leaves the source open while the fingerprint is not known, so
// that readRest can read on.
func (b *nonRewindableBody) Close() error {
	b.closed.Store(true)
	if b.source == nil {
		return nil
	}
	if b.hasher != nil {
		if _, known := b.hasher.Sum(); !known {
			return nil
		}
	}
	return b.source.Body.Close()
}
