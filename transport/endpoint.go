package transport

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/hemlockring/hemlockring/pki"
)

const (
	// maxIdleTimeout closes a connection whose peer is silent, which also bounds
	// how late the bytes of a frozen peer can arrive.
	maxIdleTimeout = 5 * time.Second
	// keepAlivePeriod keeps a connection in use open.
	keepAlivePeriod = 2 * time.Second
	// handshakeTimeout bounds the setup of a connection.
	handshakeTimeout = 2 * time.Second
	// maxStreams is how many requests one peer may have open on a connection.
	maxStreams = 4096
	// Flow control windows, in bytes.
	streamWindow        = 512 << 10
	maxStreamWindow     = 6 << 20
	connectionWindow    = 1 << 20
	maxConnectionWindow = 15 << 20
	// socketBufferBytes is the size asked for each UDP socket buffer.
	socketBufferBytes = 4 << 20
	// maxHeaderBytes bounds the header of a forwarded request.
	maxHeaderBytes = 256 << 10
)

// EndpointConfig configures an Endpoint.
type EndpointConfig struct {
	// Address is the IP number and UDP port to listen on.
	Address string
	// Identity is the certificate of the instance and the fleet's authority.
	Identity *pki.Identity
	// Handler serves the requests and calls of other instances.
	Handler http.Handler
	// Logger receives the endpoint's messages.
	Logger *slog.Logger
}

// Endpoint is the fleet port of an instance: one UDP socket that serves requests
// of other instances and opens connections to them. It is a suture service.
type Endpoint struct {
	config    EndpointConfig
	socket    *countedSocket
	transport *quic.Transport
	listener  *quic.Listener
	server    *http3.Server
	pool      *pool
}

// Listen opens the fleet port.
func Listen(config EndpointConfig) (*Endpoint, error) {
	address, err := net.ResolveUDPAddr("udp", config.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "the fleet address %q must be an IP number and a port", config.Address)
	}
	bound, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on the fleet address %s; see whether another process has the port", config.Address)
	}
	socket := newCountedSocket(bound)
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)

	resetKey := quic.StatelessResetKey(config.Identity.ResetKey())
	endpoint := &Endpoint{
		config:    config,
		socket:    socket,
		transport: &quic.Transport{Conn: socket, StatelessResetKey: &resetKey},
		server:    &http3.Server{Handler: config.Handler, MaxHeaderBytes: maxHeaderBytes},
	}
	endpoint.pool = newPool(endpoint.transport, config.Identity)
	endpoint.listener, err = endpoint.transport.Listen(serverTLS(config.Identity), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "listen for QUIC connections")
	}
	return endpoint, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() net.Addr { return e.socket.LocalAddr() }

// Traffic returns what has passed the fleet port so far.
func (e *Endpoint) Traffic() Traffic { return e.socket.traffic() }

// Serve accepts connections of other instances until ctx ends.
func (e *Endpoint) Serve(ctx context.Context) error {
	go e.pool.closeIdle(ctx)
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.Wrap(err, "accept QUIC connections")
		}
		go func() { _ = e.server.ServeQUICConn(conn) }()
	}
}

// Shutdown takes no new requests of other instances and waits until those in
// flight have been answered and the answers have arrived: the other instances
// close their connections then.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	return errors.Wrap(e.server.Shutdown(ctx), "other instances keep their connections open")
}

// Close ends every connection and frees the port.
func (e *Endpoint) Close() {
	e.pool.close()
	_ = e.server.Close()
	_ = e.listener.Close()
	_ = e.transport.Close()
	_ = e.socket.Close()
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 maxIdleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
	}
}

func serverTLS(identity *pki.Identity) *tls.Config {
	clientAuth := tls.RequireAndVerifyClientCert
	if identity.TrustsNetwork {
		clientAuth = tls.RequireAnyClientCert
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{identity.Certificate},
		ClientAuth:   clientAuth,
		ClientCAs:    identity.Authority,
		NextProtos:   []string{http3.NextProtoH3},
	}
}

// clientTLS verifies that the peer's certificate names the IP number dialled,
// unless the network is trusted.
func clientTLS(identity *pki.Identity, host string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{identity.Certificate},
		RootCAs:            identity.Authority,
		ServerName:         host,
		NextProtos:         []string{http3.NextProtoH3},
		InsecureSkipVerify: identity.TrustsNetwork,
	}
}
