package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/hemlockring/hemlockring/pki"
)

const (
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 20 * time.Second
	// idleCheckInterval is the time between two checks for unused connections.
	idleCheckInterval = 5 * time.Second
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 2 * time.Second
)

// ErrNotSent says that the other instance has not processed the request: either no
// byte of it was sent, or the other instance rejected it and declared so (isRejection).
var ErrNotSent = errors.New("the request was not sent to the other instance; choose another instance")

// pool keeps at most one connection to each peer. It replaces http3.Transport, which
// resends some requests by itself. Earlier versions of quic-go did so after a timeout
// too, which could run a non-idempotent request twice.
type pool struct {
	transport *quic.Transport
	identity  *pki.Identity

	// mu guards peers and closed.
	mu     sync.Mutex
	peers  map[string]*peerConn
	closed bool
}

// peerConn is a connection to one peer that is open or being opened. client, conn
// and err are set before ready is closed and do not change afterwards.
type peerConn struct {
	ready  chan struct{}
	client *http3.ClientConn
	conn   *quic.Conn
	err    error
	// lastUsed is when the connection was created or last released, in Unix
	// nanoseconds.
	lastUsed atomic.Int64
	// activeRequests counts the requests that use the connection. While it is not 0,
	// the connection is not closed as idle.
	activeRequests atomic.Int64
}

func newPool(transport *quic.Transport, identity *pki.Identity) *pool {
	return &pool{transport: transport, identity: identity, peers: make(map[string]*peerConn)}
}

// roundTrip sends the request on the connection to the peer. The error is marked
// ErrNotSent if no byte of the request was sent or the peer rejected it.
func (p *pool) roundTrip(address string, request *http.Request) (*http.Response, error) {
	peer, err := p.connection(request.Context(), address)
	if err != nil {
		return nil, errors.Mark(formattable(err), ErrNotSent)
	}
	var headerSent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { headerSent.Store(true) }}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := peer.client.RoundTrip(request.WithContext(ctx))
	if err == nil {
		response.Body = &pooledBody{ReadCloser: response.Body, peer: peer}
		return response, nil
	}
	peer.release()
	if request.Context().Err() == nil && (!headerSent.Load() || isRejection(err)) {
		// The connection accepts no more requests, so the next request opens a new
		// one.
		p.remove(address, peer)
	}
	if !headerSent.Load() || isRejection(err) {
		return nil, errors.Mark(formattable(err), ErrNotSent)
	}
	return nil, formattable(err)
}

// isRejection reports whether the peer declared that it has not processed the
// request (RFC 9114, section 8.1).
func isRejection(err error) bool {
	var h3 *http3.Error
	return errors.As(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected
}

// remove deletes a connection from the pool. Requests in progress on it continue.
func (p *pool) remove(address string, peer *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address] == peer {
		delete(p.peers, address)
	}
}

// pooledBody is a response body that marks its connection as in use until the body
// is closed.
type pooledBody struct {
	io.ReadCloser
	peer *peerConn
	once sync.Once
}

// Read implements io.Reader.
func (b *pooledBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	return n, formattable(err)
}

// Close implements io.Closer.
func (b *pooledBody) Close() error {
	b.once.Do(b.peer.release)
	return b.ReadCloser.Close()
}

func (c *peerConn) release() {
	c.lastUsed.Store(time.Now().UnixNano())
	c.activeRequests.Add(-1)
}

// connection returns the connection to the peer and opens one if needed. If it
// returns no error, the connection must be released after use.
func (p *pool) connection(ctx context.Context, address string) (*peerConn, error) {
	peer, isNew, err := p.lookup(address)
	if err != nil {
		return nil, err
	}
	if isNew {
		go p.dial(peer, address)
	}
	select {
	case <-peer.ready:
	case <-ctx.Done():
		peer.release()
		return nil, ctx.Err()
	}
	if peer.err != nil {
		peer.release()
		return nil, peer.err
	}
	return peer, nil
}

// lookup returns the pool entry of the peer and marks it as in use. Both happen
// under the lock, so that the connection is not closed as idle before the request
// starts.
func (p *pool) lookup(address string) (peer *peerConn, isNew bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, errors.New("the fleet port is closed")
	}
	if peer = p.peers[address]; peer != nil && !peer.broken() {
		peer.activeRequests.Add(1)
		return peer, false, nil
	}
	peer = &peerConn{ready: make(chan struct{})}
	peer.activeRequests.Add(1)
	peer.lastUsed.Store(time.Now().UnixNano())
	p.peers[address] = peer
	return peer, true, nil
}

// broken reports whether the connection failed to open or has been closed.
func (c *peerConn) broken() bool {
	select {
	case <-c.ready:
	default:
		return false
	}
	return c.err != nil || c.conn.Context().Err() != nil
}

// dial opens the connection and closes peer.ready when it ends. It runs in its own
// goroutine and not in that of the first request, so that later requests can use the
// connection even if that request is canceled.
func (p *pool) dial(peer *peerConn, address string) {
	defer close(peer.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		peer.err = errors.Wrapf(err, "the peer address %q must be an IP address and a port", address)
		return
	}
	conn, err := p.transport.Dial(ctx, remote, clientTLS(p.identity, remote.IP.String()), quicConfig())
	if err != nil {
		peer.err = errors.Wrapf(err, "connect to %s", address)
		return
	}
	peer.conn = conn
	peer.client = (&http3.Transport{MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true}).NewClientConn(conn)
}

// closeIdleLoop closes unused connections at regular intervals until ctx ends.
func (p *pool) closeIdleLoop(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.closeUnusedSince(now.Add(-idleTimeout))
		}
	}
}

func (p *pool) closeUnusedSince(limit time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		if peer.activeRequests.Load() > 0 || peer.lastUsed.Load() > limit.UnixNano() {
			continue
		}
		delete(p.peers, address)
		go peer.close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, peer := range p.peers {
		delete(p.peers, address)
		go peer.close()
	}
}

// close waits until the connection is open or has failed to open. If it is open, close
// closes it.
func (c *peerConn) close() {
	<-c.ready
	if c.client != nil {
		_ = c.client.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "idle")
	}
}
