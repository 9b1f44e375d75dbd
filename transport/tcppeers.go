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

// headerSenderID carries the id of the sending instance in a trusted network, where
// there is no certificate to identify it.
const headerSenderID = "Hemlock-From"

// pathLiveness is the path of liveness probes. Requests of callers may have the same path;
// headerLiveness, which no caller can set, tells them apart.
const (
	pathLiveness   = "/fleet/alive"
	headerLiveness = "Hemlock-Liveness"
)

// maxTCPPeers bounds how many peers have an entry in tcpPeers.
const maxTCPPeers = 4096

// handleLivenessProbes answers liveness probes and passes all other requests to the
// handler.
func handleLivenessProbes(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathLiveness && r.Header.Get(headerLiveness) != "" {
			omitDate(w)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// tcpPeers holds the outgoing connections of one class. Each peer has an
// http.Transport of its own, so that the connection to an unresponsive peer can be
// dropped without an effect on others. It is safe for concurrent use.
type tcpPeers struct {
	id        fleetconfig.InstanceID
	protocols *http.Protocols
	http2     *http.HTTP2Config

	// mu guards peers.
	mu    sync.Mutex
	peers map[string]*tcpPeer
}

// tcpPeer is the connection to one peer.
type tcpPeer struct {
	id        fleetconfig.InstanceID
	transport *http.Transport
	// lastResponse is when data from the peer last arrived, in Unix nanoseconds. It
	// is 0 before the first response.
	lastResponse atomic.Int64
}

func newTCPPeers(id fleetconfig.InstanceID, protocols *http.Protocols, http2 *http.HTTP2Config) *tcpPeers {
	return &tcpPeers{id: id, protocols: protocols, http2: http2, peers: make(map[string]*tcpPeer)}
}

// livePeer returns the connection to the peer. If no data from the peer has arrived
// within validity, it probes the peer first. A request that is sent
// to a machine without power or on a dead connection has an unknown outcome, whereas
// a failed probe proves that the request was not sent.
func (p *tcpPeers) livePeer(ctx context.Context, address string, validity time.Duration) (*tcpPeer, error) {
	peer := p.lookup(address)
	if time.Since(time.Unix(0, peer.lastResponse.Load())) < validity {
		return peer, nil
	}
	isNew := peer.lastResponse.Load() == 0
	err := peer.probe(ctx, address)
	if err == nil || isNew || ctx.Err() != nil {
		return peer, err
	}
	// The connection may be dead although the peer is alive, so probe on a new one.
	p.remove(address, peer)
	peer = p.lookup(address)
	return peer, peer.probe(ctx, address)
}

// lookup returns the entry of a peer and creates it if needed. If there are
// maxTCPPeers entries, it removes all of them first.
func (p *tcpPeers) lookup(address string) *tcpPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[address]
	if peer != nil {
		return peer
	}
	if len(p.peers) >= maxTCPPeers {
		for otherAddress, other := range p.peers {
			other.transport.CloseIdleConnections()
			delete(p.peers, otherAddress)
		}
	}
	dialer := &net.Dialer{Timeout: tcpDialTimeout, Control: setUserTimeout}
	peer = &tcpPeer{id: p.id, transport: &http.Transport{
		DialContext:            dialer.DialContext,
		Protocols:              p.protocols,
		HTTP2:                  p.http2,
		DisableCompression:     true,
		IdleConnTimeout:        tcpIdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	p.peers[address] = peer
	return peer
}

// remove drops the connection to a peer. Requests in progress on it continue.
func (p *tcpPeers) remove(address string, peer *tcpPeer) {
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

// probe sends a liveness probe to the peer.
func (t *tcpPeer) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, livenessProbeTimeout)
	defer cancel()
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: address, Path: pathLiveness},
		Header: http.Header{headerLiveness: {"1"}},
	}
	response, err := t.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return errors.Wrapf(err, "liveness probe of %s failed", address)
	}
	t.recordResponse()
	return response.Body.Close()
}

func (t *tcpPeer) recordResponse() { t.lastResponse.Store(time.Now().UnixNano()) }

// roundTrip sends the request at most once.
func (t *tcpPeer) roundTrip(address string, request *http.Request) (*http.Response, error) {
	request.URL.Scheme = "http"
	request.URL.Host = address
	request.Header.Set(headerSenderID, string(t.id))
	if request.Body == nil {
		request.Body = http.NoBody
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	switch {
	case err == nil:
		t.recordResponse()
		response.Body = &livenessBody{ReadCloser: response.Body, peer: t}
		return response, nil
	case !connected.Load():
		return nil, errors.Mark(err, ErrNotSent)
	default:
		return nil, err
	}
}

// livenessBody is a response body that records, whenever a part of it arrives, that
// the peer is alive.
type livenessBody struct {
	io.ReadCloser
	peer *tcpPeer
}

// Read implements io.Reader.
func (b *livenessBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.peer.recordResponse()
	}
	return n, err
}
