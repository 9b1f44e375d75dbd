package backendproxy

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/internal/httpheader"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// connectTimeout bounds the setup of a connection to a backend server.
	connectTimeout = time.Second
	// idleConnTimeout is how long an unused connection to a backend server stays
	// open.
	idleConnTimeout = 10 * time.Second
	// maxRest is how long a connection may have been unused when it takes a request
	// that can not be repeated. Operators tell of backend servers that forget a
	// connection without a word after 300 ms of rest; what is then sent is lost, with its
	// outcome unknown.
	maxRest = 200 * time.Millisecond
	// maxIdleConns bounds the unused connections for each backend server.
	maxIdleConns = 64
	// maxResponseHeaderBytes bounds the header of a backend server's response.
	maxResponseHeaderBytes = 256 << 10
)

// connPools is how many pools of connections a dispatcher has to each backend server.
const connPools = 2

// dispatcher hands requests to backend servers, each at most once.
type dispatcher struct {
	// repeatable takes the requests that can be repeated, unrepeatable the others.
	repeatable, unrepeatable *http.Transport
	dialect                  Dialect
}

func newDispatcher(dialect Dialect) *dispatcher {
	return &dispatcher{
		dialect:      dialect,
		repeatable:   newTransport(idleConnTimeout),
		unrepeatable: newTransport(maxRest),
	}
}

// newTransport returns a transport whose connections are closed when they have been
// unused for the given time.
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

// dispatch sends the request to the backend server at address. The first byte
// leaves before limit or not at all. The outcome says what is known when it
// returns an error.
func (d *dispatcher) dispatch(ctx context.Context, exchange *pipeline.Exchange, address string, limit time.Time) (*http.Response, pipeline.Outcome, error) {
	var conn atomic.Pointer[trackedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if tracked, ok := info.Conn.(*trackedConn); ok {
			tracked.begin(limit)
			conn.Store(tracked)
		}
	}}
	request := d.outgoingRequest(httptrace.WithClientTrace(ctx, trace), exchange, address)
	transport := d.unrepeatable
	if exchange.Idempotent {
		transport = d.repeatable
	}
	response, err := transport.RoundTrip(request)
	used := conn.Load()
	if err == nil {
		exchange.DispatchedAgo = clock.Since(used.dispatchedAt())
		return response, pipeline.OutcomeAnswered, nil
	}
	if used == nil || !used.seal() {
		return nil, pipeline.OutcomeNotRun, err
	}
	return nil, pipeline.OutcomeUnknown, err
}

// outgoingRequest builds the request to the backend server. It never carries a
// body that net/http can rewind, because its Transport sends a request that has
// an Idempotency-Key and an empty or rewindable body again by itself after a
// connection error.
func (d *dispatcher) outgoingRequest(ctx context.Context, exchange *pipeline.Exchange, address string) *http.Request {
	incoming := exchange.Request
	header := incoming.Header.Clone()
	httpheader.RemoveHopByHop(header)
	httpheader.RemoveInternal(header)
	d.dialect.SetHeaders(header, exchange, exchange.Remaining(clock.Now()))
	if _, present := header["User-Agent"]; !present {
		// An empty value keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	outgoing := &http.Request{
		Method: incoming.Method,
		URL: &url.URL{
			Scheme:     "http",
			Host:       address,
			Path:       incoming.URL.Path,
			RawPath:    incoming.URL.RawPath,
			RawQuery:   incoming.URL.RawQuery,
			ForceQuery: incoming.URL.ForceQuery,
		},
		Host:          incoming.Host,
		Header:        header,
		ContentLength: incoming.ContentLength,
	}
	outgoing.Body = &onceBody{source: incoming, target: outgoing}
	if incoming.ContentLength == 0 {
		outgoing.Body = &onceBody{}
	}
	if len(incoming.Trailer) > 0 {
		outgoing.Trailer = cleanTrailer(incoming.Trailer)
	}
	return outgoing.WithContext(ctx)
}

// cleanTrailer returns the announced trailer fields that may pass.
func cleanTrailer(trailer http.Header) http.Header {
	clean := make(http.Header, len(trailer))
	for name, values := range trailer {
		if !httpheader.IsInternal(name) {
			clean[name] = values
		}
	}
	return clean
}

// onceBody is a request body that can be read once. Its type is unknown to
// net/http, which therefore can not rewind it.
type onceBody struct {
	source *http.Request
	target *http.Request
}

// Read implements io.Reader. At the end it passes the trailer on.
func (b *onceBody) Read(buffer []byte) (int, error) {
	if b.source == nil {
		return 0, io.EOF
	}
	n, err := b.source.Body.Read(buffer)
	if err == io.EOF {
		for name := range b.target.Trailer {
			b.target.Trailer[name] = b.source.Trailer[name]
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *onceBody) Close() error {
	if b.source == nil {
		return nil
	}
	return b.source.Body.Close()
}
