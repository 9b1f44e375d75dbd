package transport

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// tcpDialTimeout bounds the time to open a connection. A reachable peer responds
	// within a round trip of a few milliseconds.
	tcpDialTimeout = 150 * time.Millisecond
	// tcpUserTimeout is how long sent data may remain unacknowledged before the
	// connection is closed.
	tcpUserTimeout = 1500 * time.Millisecond
	// pingIdleTime is how long a connection may be silent before an HTTP/2 ping is
	// sent, and pingTimeout is how long the reply may take.
	pingIdleTime = time.Second
	pingTimeout  = time.Second
	// tcpIdleTimeout is how long an unused connection stays open.
	tcpIdleTimeout = 8 * time.Second
	// livenessValidity is how long a peer counts as alive after data from it has
	// arrived. During this time, requests are sent to it without a liveness probe.
	livenessValidity = 250 * time.Millisecond
	// callValidity is the same for calls. Their senders repeat them, so that an unknown outcome
	// of one only delays them. It covers calls to the same peer every 250 ms, as of ingresses to
	// the owner of their quotas.
	callValidity = 400 * time.Millisecond
	// livenessProbeTimeout bounds a liveness probe.
	livenessProbeTimeout = 150 * time.Millisecond
	// streamBufferBytes limits how much of a response or request body is buffered
	// until it is read. It covers the bandwidth-delay product of a path with 25 MB/s
	// and a round trip of 5 ms.
	streamBufferBytes = 128 << 10
)

// tcpTransport carries requests by HTTP/2 without TLS in a trusted network. It needs
// a fraction of the bytes and the CPU time of QUIC, since there are no certificates,
// no encryption and no acknowledgements in user space; see
// docs/decisions/platform.md.
type tcpTransport struct {
	id fleetconfig.InstanceID
	// peers holds the outgoing connections of each class.
	peers    [connectionClasses]*tcpPeers
	server   *http.Server
	listener net.Listener
	socket   *countingSocket
}

func newTCPTransport(config EndpointConfig, socket *countingSocket) (*tcpTransport, error) {
	listener, err := net.Listen("tcp", socket.LocalAddr().String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on the fleet address %s; check whether another process uses the port", config.Address)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	http2 := &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      pingIdleTime,
		PingTimeout:          pingTimeout,

		MaxReceiveBufferPerStream: streamBufferBytes,
	}
	transport := &tcpTransport{
		id:       config.ID,
		listener: listener,
		socket:   socket,
		server: &http.Server{
			Handler:        handleLivenessProbes(config.Handler),
			Protocols:      protocols,
			HTTP2:          http2,
			MaxHeaderBytes: maxHeaderBytes,
			ErrorLog:       slog.NewLogLogger(config.Logger.Handler(), slog.LevelDebug),
		},
	}
	for class := range transport.peers {
		transport.peers[class] = newTCPPeers(config.ID, protocols, http2)
	}
	return transport, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a connection, so that the connection fails
// if its peer disappears without closing it.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}

func (c *tcpTransport) roundTrip(address string, request *http.Request, class ConnectionClass, isCall bool) (*http.Response, error) {
	validity := livenessValidity
	if isCall {
		validity = callValidity
	}
	peer, err := c.peers[class].livePeer(request.Context(), address, validity)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return peer.roundTrip(address, request)
}

// serve runs the HTTP server and closes it when ctx ends. If shutdown is called
// before, serve does not return until ctx ends.
func (c *tcpTransport) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.server.Close() })
	defer stop()
	err := c.server.Serve(c.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrap(err, "accept connections of other instances")
}

func (c *tcpTransport) shutdown(ctx context.Context) error { return c.server.Shutdown(ctx) }

func (c *tcpTransport) close() {
	for _, peers := range c.peers {
		peers.close()
	}
	_ = c.server.Close()
	_ = c.listener.Close()
}

func (c *tcpTransport) sendDatagram(packet []byte, to net.Addr) error {
	_, err := c.socket.WriteTo(packet, to)
	return err
}

// receiveDatagram reads one packet. The end of ctx unblocks the read by setting a
// deadline in the past.
func (c *tcpTransport) receiveDatagram(ctx context.Context, buffer []byte) (int, net.Addr, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	return c.socket.ReadFrom(buffer)
}
