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
	// idleClose is how long an unused connection stays open.
	idleClose = 20 * time.Second
	// idleCheckInterval is how often unused connections are looked for.
	idleCheckInterval = 5 * time.Second
	// dialTimeout bounds the setup of a connection.
	dialTimeout = 2 * time.Second
)

// ErrNotSent says that no byte of the request left for the other instance.
var ErrNotSent = errors.New("the request was not sent to the other instance; choose another one")

// pool keeps at most one connection to each peer. It is its own pool and not
// http3.Transport, because that one sends a request again by itself after a
// timeout, which could run a non-idempotent request twice.
type pool struct {
	transport *quic.Transport
	identity  *pki.Identity

	mu     sync.Mutex
	peers  map[string]*peerConn
	closed bool
}

// peerConn is a connection to one peer, or the attempt to open it.
type peerConn struct {
	ready    chan struct{}
	client   *http3.ClientConn
	conn     *quic.Conn
	err      error
	lastUsed atomic.Int64
	inUse    atomic.Int64
}

func newPool(transport *quic.Transport, identity *pki.Identity) *pool {
	return &pool{transport: transport, identity: identity, peers: make(map[string]*peerConn)}
}

// roundTrip sends the request on the peer's connection. The error is marked
// ErrNotSent when no byte of the request left.
func (p *pool) roundTrip(address string, request *http.Request) (*http.Response, error) {
	peer, err := p.connection(request.Context(), address)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	var started atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { started.Store(true) }}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := peer.client.RoundTrip(request.WithContext(ctx))
	if err == nil {
		response.Body = &pooledBody{ReadCloser: response.Body, peer: peer}
		return response, nil
	}
	peer.release()
	if request.Context().Err() == nil && (!started.Load() || isRejection(err)) {
		// The connection takes no new requests; the next one opens another.
		p.retire(address, peer)
	}
	if !started.Load() || isRejection(err) {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return nil, err
}

// isRejection reports whether the peer says that it has not processed the
// request (RFC 9114, section 8.1).
func isRejection(err error) bool {
	var h3 *http3.Error
	return errors.As(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected
}

// retire forgets a connection. Its running requests go on.
func (p *pool) retire(address string, peer *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address] == peer {
		delete(p.peers, address)
	}
}

// pooledBody keeps its connection in use until the body is closed.
type pooledBody struct {
	io.ReadCloser
	peer *peerConn
	once sync.Once
}

// Close implements io.Closer.
func (b *pooledBody) Close() error {
	b.once.Do(b.peer.release)
	return b.ReadCloser.Close()
}

func (c *peerConn) release() {
	c.lastUsed.Store(time.Now().UnixNano())
	c.inUse.Add(-1)
}

// connection returns the open connection to the peer or opens one. The connection
// is in use until it is released; an error needs no release.
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

// lookup returns the peer's entry and marks it as in use, under the lock, so that
// it is not closed as idle between the lookup and the request.
func (p *pool) lookup(address string) (peer *peerConn, isNew bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, errors.New("the fleet port is closed")
	}
	if peer = p.peers[address]; peer != nil && !peer.broken() {
		peer.inUse.Add(1)
		return peer, false, nil
	}
	peer = &peerConn{ready: make(chan struct{})}
	peer.inUse.Add(1)
	peer.lastUsed.Store(time.Now().UnixNano())
	p.peers[address] = peer
	return peer, true, nil
}

// broken reports whether the connection was opened and is closed again, or could
// not be opened.
func (c *peerConn) broken() bool {
	select {
	case <-c.ready:
	default:
		return false
	}
	return c.err != nil || c.conn.Context().Err() != nil
}

func (p *pool) dial(peer *peerConn, address string) {
	defer close(peer.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		peer.err = errors.Wrapf(err, "the peer address %q must be an IP number and a port", address)
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

// closeIdle closes connections that nobody uses.
func (p *pool) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.closeUnusedSince(now.Add(-idleClose))
		}
	}
}

func (p *pool) closeUnusedSince(limit time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		if peer.inUse.Load() > 0 || peer.lastUsed.Load() > limit.UnixNano() {
			continue
		}
		delete(p.peers, address)
		go peer.shut()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, peer := range p.peers {
		delete(p.peers, address)
		go peer.shut()
	}
}

func (c *peerConn) shut() {
	<-c.ready
	if c.client != nil {
		_ = c.client.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "idle")
	}
}
