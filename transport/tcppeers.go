package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// headerFrom carries the id of the calling instance in a trusted network, where no
// certificate does.
const headerFrom = "Hemlock-From"

// pathAlive asks an instance for a sign of life.
const pathAlive = "/fleet/alive"

// maxTCPPeers bounds the peers that are remembered.
const maxTCPPeers = 4096

// answerAlive answers questions for a sign of life before the handler.
func answerAlive(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathAlive {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// tcpPeers holds the connections to other instances, each peer's apart, so that one
// that has fallen silent can be given up alone. It is safe for concurrent use.
type tcpPeers struct {
	id        fleetconfig.InstanceID
	protocols *http.Protocols
	http2     *http.HTTP2Config

	mu    sync.Mutex
	peers map[string]*tcpPeer
}

// tcpPeer is the connection to one peer.
type tcpPeer struct {
	id        fleetconfig.InstanceID
	transport *http.Transport
	// heardAt is when the peer last answered, in Unix nanoseconds.
	heardAt atomic.Int64
}

func newTCPPeers(id fleetconfig.InstanceID, protocols *http.Protocols, http2 *http.HTTP2Config) *tcpPeers {
	return &tcpPeers{id: id, protocols: protocols, http2: http2, peers: make(map[string]*tcpPeer)}
}

// reach returns the connection to a peer that has just shown a sign of life. A
// request that is sent to a machine without power, or into a connection that has
// fallen silent, may or may not run; a question that gets no answer costs nothing.
func (p *tcpPeers) reach(ctx context.Context, address string) (*tcpPeer, error) {
	peer := p.lookup(address)
	if time.Since(time.Unix(0, peer.heardAt.Load())) < freshFor {
		return peer, nil
	}
	isNew := peer.heardAt.Load() == 0
	err := peer.ask(ctx, address)
	if err == nil || isNew || ctx.Err() != nil {
		return peer, err
	}
	// The connection may be dead and the peer alive.
	p.forget(address, peer)
	peer = p.lookup(address)
	return peer, peer.ask(ctx, address)
}

func (p *tcpPeers) lookup(address string) *tcpPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[address]
	if peer != nil {
		return peer
	}
	if len(p.peers) >= maxTCPPeers {
		for other, idle := range p.peers {
			idle.transport.CloseIdleConnections()
			delete(p.peers, other)
		}
	}
	dialer := &net.Dialer{Timeout: tcpDialTimeout, Control: setUserTimeout}
	peer = &tcpPeer{id: p.id, transport: &http.Transport{
		DialContext:            dialer.DialContext,
		Protocols:              p.protocols,
		HTTP2:                  p.http2,
		DisableCompression:     true,
		IdleConnTimeout:        tcpIdleClose,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	p.peers[address] = peer
	return peer
}

// forget gives a peer's connection up. Its running requests go on.
func (p *tcpPeers) forget(address string, peer *tcpPeer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address] == peer {
		delete(p.peers, address)
	}
	peer.transport.CloseIdleConnections()
}

func (p *tcpPeers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		peer.transport.CloseIdleConnections()
		delete(p.peers, address)
	}
}

// ask asks the peer for a sign of life.
func (t *tcpPeer) ask(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: address, Path: pathAlive},
		Header: make(http.Header),
	}
	response, err := t.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return errors.Wrapf(err, "no sign of life from %s", address)
	}
	t.heard()
	return response.Body.Close()
}

func (t *tcpPeer) heard() { t.heardAt.Store(time.Now().UnixNano()) }

// roundTrip sends the request once.
func (t *tcpPeer) roundTrip(address string, request *http.Request) (*http.Response, error) {
	request.URL.Scheme = "http"
	request.URL.Host = address
	request.Header.Set(headerFrom, string(t.id))
	if request.Body == nil {
		request.Body = http.NoBody
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	switch {
	case err == nil:
		t.heard()
		response.Body = &hearingBody{ReadCloser: response.Body, peer: t}
		return response, nil
	case !connected.Load():
		return nil, errors.Mark(err, ErrNotSent)
	default:
		return nil, err
	}
}

// hearingBody takes each piece of an answer for a sign of life.
type hearingBody struct {
	io.ReadCloser
	peer *tcpPeer
}

// Read implements io.Reader.
func (b *hearingBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.peer.heard()
	}
	return n, err
}
