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
	// maxRestPause is how long the caller may pause while the rest of a body whose dispatch
	// failed is read. The caller waits for its response meanwhile.
	maxRestPause = time.Second
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
	request, body := d.outgoingRequest(ctx, exchange, address)
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused.Store(info.Reused)
			if tracked, ok := info.Conn.(*trackedConn); ok {
				tracked.beginRequest(dispatchBy)
				tracked.setUpload(body)
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
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
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
func (d *dispatcher) outgoingRequest(ctx context.Context, exchange *pipeline.Exchange, address string) (*http.Request, *nonRewindableBody) {
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
		body = newNonRewindableBody(ctx, incoming, outgoing, exchange.Hasher)
	}
	outgoing.Body = body
	if state := stateOf(exchange); state != nil {
		state.body = body
	}
	if len(incoming.Trailer) > 0 {
		outgoing.Trailer = allowedTrailer(incoming.Trailer)
	}
	return outgoing, body
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
// empty body. net/http waits for its reads before it reports a failure or the end of the
// request's context, so they end with the context and with the connection.
type nonRewindableBody struct {
	source *http.Request
	target *http.Request
	// hasher receives the bytes that are read, unless it is nil.
	hasher *quarantine.Hasher
	// reader reads the source. It is nil if there is none.
	reader *uploadReader

	// mu guards the use of reader, except for its interruption.
	mu sync.Mutex
}

// newNonRewindableBody returns a body that is read from source until ctx ends. hasher may be nil.
func newNonRewindableBody(ctx context.Context, source, target *http.Request, hasher *quarantine.Hasher) *nonRewindableBody {
	body := &nonRewindableBody{source: source, target: target, hasher: hasher}
	body.reader = newUploadReader(ctx.Done(), source.Body, source.ContentLength, body.hash)
	return body
}

// hash adds to the fingerprint what was read from the source.
func (b *nonRewindableBody) hash(data []byte, err error) {
	if b.hasher == nil {
		return
	}
	_, _ = b.hasher.Write(data)
	if errors.Is(err, io.EOF) {
		b.hasher.End()
	}
}

// Read implements io.Reader. At the end of the body it copies the values of the trailer
// fields.
func (b *nonRewindableBody) Read(buffer []byte) (int, error) {
	if b.reader == nil {
		return 0, io.EOF
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := b.reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		for name := range b.target.Trailer {
			b.target.Trailer[name] = b.source.Trailer[name]
		}
	}
	return n, err
}

// readRest reads what the fingerprint still needs after the dispatch has failed, until the
// deadline or a pause of maxRestPause.
func (b *nonRewindableBody) readRest(deadline time.Time) error {
	if b.reader == nil || b.hasher == nil {
		return nil
	}
	b.reader.interrupt(http.ErrBodyReadAfterClose)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reader.discard(func() bool {
		_, known := b.hasher.Sum()
		return known || !clock.Now().Before(deadline)
	}, maxRestPause)
}

// interrupt ends all reads with cause.
func (b *nonRewindableBody) interrupt(cause error) {
	if b.reader != nil {
		b.reader.interrupt(cause)
	}
}

// Close implements io.Closer. It leaves the source open while the fingerprint is not known, so
// that readRest can read on.
func (b *nonRewindableBody) Close() error {
	if b.reader == nil {
		return nil
	}
	b.interrupt(http.ErrBodyReadAfterClose)
	if b.hasher != nil {
		if _, known := b.hasher.Sum(); !known {
			return nil
		}
	}
	return b.source.Body.Close()
}
