package transport

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// tcpDialTimeout bounds the setup of a connection. A peer that is up answers
	// within a round trip, so that one that does not is taken for gone.
	tcpDialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 1500 * time.Millisecond
	// pingAfter is how long a connection may be silent until it is asked for a sign
	// of life, and pingTimeout how long that may take.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// tcpIdleClose is how long an unused connection stays open.
	tcpIdleClose = 8 * time.Second
)

// headerFrom carries the id of the calling instance in a trusted network, where no
// certificate does.
const headerFrom = "Hemlock-From"

// tcpCarrier carries requests by HTTP/2 without TLS, for a trusted network. It
// needs a fraction of the bytes and the processor time of QUIC: no certificates, no
// encryption, no acknowledgements in user space; see docs/decisions/platform.md.
type tcpCarrier struct {
	id        fleetconfig.InstanceID
	transport *http.Transport
	server    *http.Server
	listener  net.Listener
	socket    *countedSocket
}

func newTCPCarrier(config EndpointConfig, socket *countedSocket) (*tcpCarrier, error) {
	listener, err := net.Listen("tcp", socket.LocalAddr().String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on the fleet address %s; see whether another process has the port", config.Address)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	http2 := &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      pingAfter,
		PingTimeout:          pingTimeout,
	}
	dialer := &net.Dialer{Timeout: tcpDialTimeout, Control: setUserTimeout}
	return &tcpCarrier{
		id:       config.ID,
		listener: listener,
		socket:   socket,
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			Protocols:              protocols,
			HTTP2:                  http2,
			DisableCompression:     true,
			IdleConnTimeout:        tcpIdleClose,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		server: &http.Server{
			Handler:        config.Handler,
			Protocols:      protocols,
			HTTP2:          http2,
			MaxHeaderBytes: maxHeaderBytes,
			ErrorLog:       slog.NewLogLogger(config.Logger.Handler(), slog.LevelDebug),
		},
	}, nil
}

// setUserTimeout lets a connection fail whose peer has gone without a sign.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

func (c *tcpCarrier) roundTrip(address string, request *http.Request) (*http.Response, error) {
	request.URL.Scheme = "http"
	request.URL.Host = address
	request.Header.Set(headerFrom, string(c.id))
	if request.Body == nil {
		// A body that can not be rewound keeps the transport from sending twice.
		request.Body = http.NoBody
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := c.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil && !connected.Load() {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return response, err
}

func (c *tcpCarrier) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.server.Close() })
	defer stop()
	err := c.server.Serve(c.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrap(err, "accept connections of other instances")
}

func (c *tcpCarrier) shutdown(ctx context.Context) error { return c.server.Shutdown(ctx) }

func (c *tcpCarrier) close() {
	c.transport.CloseIdleConnections()
	_ = c.server.Close()
	_ = c.listener.Close()
}

func (c *tcpCarrier) sendDatagram(packet []byte, to net.Addr) error {
	_, err := c.socket.WriteTo(packet, to)
	return err
}

func (c *tcpCarrier) receiveDatagram(ctx context.Context, buffer []byte) (int, net.Addr, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	return c.socket.ReadFrom(buffer)
}
