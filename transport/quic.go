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
	// maxIdleTimeout closes a connection whose peer is silent, which also bounds
	// how late the bytes of a frozen peer can arrive.
	maxIdleTimeout = 5 * time.Second
	// keepAlivePeriod keeps a connection in use open.
	keepAlivePeriod = 2 * time.Second
	// handshakeTimeout bounds the setup of a connection.
	handshakeTimeout = 2 * time.Second
	// Flow control windows, in bytes.
	streamWindow        = 512 << 10
	maxStreamWindow     = 6 << 20
	connectionWindow    = 1 << 20
	maxConnectionWindow = 15 << 20
)

// quicCarrier carries requests by HTTP/3 with mutual TLS, on one UDP socket.
type quicCarrier struct {
	transport *quic.Transport
	listener  *quic.Listener
	server    *http3.Server
	pool      *pool
}

func newQUICCarrier(config EndpointConfig, socket *countedSocket) (*quicCarrier, error) {
	resetKey := quic.StatelessResetKey(config.Identity.StatelessResetKey())
	c := &quicCarrier{
		transport: &quic.Transport{Conn: socket, StatelessResetKey: &resetKey},
		server:    &http3.Server{Handler: config.Handler, MaxHeaderBytes: maxHeaderBytes},
	}
	c.pool = newPool(c.transport, config.Identity)
	var err error
	c.listener, err = c.transport.Listen(serverTLS(config.Identity), quicConfig())
	return c, errors.Wrap(err, "listen for QUIC connections")
}

// roundTrip sends both lanes over one connection: QUIC delivers each stream by itself.
func (c *quicCarrier) roundTrip(address string, request *http.Request, _ ConnectionClass) (*http.Response, error) {
	request.URL.Scheme = "https"
	request.URL.Host = address
	return c.pool.roundTrip(address, request)
}

func (c *quicCarrier) serve(ctx context.Context) error {
	go c.pool.closeIdle(ctx)
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

func (c *quicCarrier) shutdown(ctx context.Context) error { return c.server.Shutdown(ctx) }

func (c *quicCarrier) close() {
	c.pool.close()
	_ = c.server.Close()
	_ = c.listener.Close()
	_ = c.transport.Close()
}

func (c *quicCarrier) sendDatagram(packet []byte, to net.Addr) error {
	_, err := c.transport.WriteTo(packet, to)
	return err
}

func (c *quicCarrier) receiveDatagram(ctx context.Context, buffer []byte) (int, net.Addr, error) {
	return c.transport.ReadNonQUICPacket(ctx, buffer)
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
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{identity.Certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    identity.Authority,
		NextProtos:   []string{http3.NextProtoH3},
	}
}

// clientTLS verifies that the peer's certificate names the IP number dialled.
func clientTLS(identity *pki.Identity, host string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{identity.Certificate},
		RootCAs:      identity.Authority,
		ServerName:   host,
		NextProtos:   []string{http3.NextProtoH3},
	}
}
