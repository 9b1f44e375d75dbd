package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/hemlockring/hemlockring/pki"
)

const (
	// peerSilenceTimeout is how long a peer may be silent before the connection is
	// closed. It also bounds how late data from a paused peer can arrive.
	peerSilenceTimeout = 5 * time.Second
	// keepAlivePeriod is the interval of the packets that keep an otherwise silent
	// connection open.
	keepAlivePeriod = 2 * time.Second
	// handshakeTimeout is how long a peer may be silent during the handshake. quic-go
	// allows twice this time for the whole handshake; for an outgoing connection,
	// dialTimeout bounds the whole handshake too.
	handshakeTimeout = 2 * time.Second
	// Flow control windows in bytes.
	streamWindow        = 512 << 10
	maxStreamWindow     = 6 << 20
	connectionWindow    = 1 << 20
	maxConnectionWindow = 15 << 20
)

// quicTransport carries requests by HTTP/3 with mutual TLS on one UDP socket.
type quicTransport struct {
	transport *quic.Transport
	listener  *quic.Listener
	server    *http3.Server
	pool      *pool
}

func newQUICTransport(config EndpointConfig, socket *countingSocket) (*quicTransport, error) {
	resetKey := quic.StatelessResetKey(config.Identity.StatelessResetKey())
	c := &quicTransport{
		transport: &quic.Transport{Conn: socket, StatelessResetKey: &resetKey},
		server:    &http3.Server{Handler: config.Handler, MaxHeaderBytes: maxHeaderBytes},
	}
	c.pool = newPool(c.transport, config.Identity)
	var err error
	c.listener, err = c.transport.Listen(serverTLS(config.Identity), quicConfig())
	return c, errors.Wrap(err, "listen for QUIC connections")
}

// roundTrip uses one connection for both classes, since QUIC streams do not block
// each other.
func (c *quicTransport) roundTrip(address string, request *http.Request, _ ConnectionClass, _ bool) (*http.Response, error) {
	request.URL.Scheme = "https"
	request.URL.Host = address
	return c.pool.roundTrip(address, request)
}

// serve accepts QUIC connections and starts a goroutine for each, which serves the
// connection until it closes. Another goroutine closes idle connections until ctx
// ends.
func (c *quicTransport) serve(ctx context.Context) error {
	go c.pool.closeIdleLoop(ctx)
	for {
		conn, err := c.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.Wrap(err, "accept QUIC connections")
		}
		go func() { _ = c.server.ServeQUICConn(conn) }()
	}
}

func (c *quicTransport) shutdown(ctx context.Context) error { return c.server.Shutdown(ctx) }

func (c *quicTransport) close() {
	c.pool.close()
	_ = c.server.Close()
	_ = c.listener.Close()
	_ = c.transport.Close()
}

func (c *quicTransport) sendDatagram(packet []byte, to net.Addr) error {
	_, err := c.transport.WriteTo(packet, to)
	return err
}

func (c *quicTransport) receiveDatagram(ctx context.Context, buffer []byte) (int, net.Addr, error) {
	return c.transport.ReadNonQUICPacket(ctx, buffer)
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 peerSilenceTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
	}
}

func serverTLS(identity *pki.Identity) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{identity.Certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    identity.Authority,
		NextProtos:   []string{http3.NextProtoH3},
	}
}

// clientTLS returns the TLS configuration for connections to a peer. The certificate
// of the peer must be valid for host, the IP address that is dialed.
func clientTLS(identity *pki.Identity, host string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{identity.Certificate},
		RootCAs:      identity.Authority,
		ServerName:   host,
		NextProtos:   []string{http3.NextProtoH3},
	}
}
