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
	// tcpDialTimeout bounds the setup of a connection. A peer that is up answers
	// within a round trip of a few milliseconds.
	tcpDialTimeout = 150 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 1500 * time.Millisecond
	// pingAfter is how long a connection may be silent until it is asked for a sign
	// of life, and pingTimeout how long that may take.
	pingAfter   = time.Second
	pingTimeout = time.Second
	// tcpIdleClose is how long an unused connection stays open.
	tcpIdleClose = 8 * time.Second
	// freshFor is how long after a sign of life a request is sent without asking for
	// another one.
	freshFor = 250 * time.Millisecond
	// aliveTimeout bounds the question for a sign of life.
	aliveTimeout = 150 * time.Millisecond
	// streamBufferBytes bounds what is kept of an answer, or of a body, until it is
	// read. It covers the bytes under way at 25 MB/s and a round trip of 5 ms.
	streamBufferBytes = 128 << 10
)

// tcpCarrier carries requests by HTTP/2 without TLS, for a trusted network. It
// needs a fraction of the bytes and the processor time of QUIC: no certificates, no
// encryption, no acknowledgements in user space; see docs/decisions/platform.md.
type tcpCarrier struct {
	id fleetconfig.InstanceID
	// peers are the connections of each lane.
	peers    [lanes]*tcpPeers
	server   *http.Server
	listener net.Listener
	socket   *countedSocket
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

		MaxReceiveBufferPerStream: streamBufferBytes,
	}
	carrier := &tcpCarrier{
		id:       config.ID,
		listener: listener,
		socket:   socket,
		server: &http.Server{
			Handler:        answerAlive(config.Handler),
			Protocols:      protocols,
			HTTP2:          http2,
			MaxHeaderBytes: maxHeaderBytes,
			ErrorLog:       slog.NewLogLogger(config.Logger.Handler(), slog.LevelDebug),
		},
	}
	for lane := range carrier.peers {
		carrier.peers[lane] = newTCPPeers(config.ID, protocols, http2)
	}
	return carrier, nil
}

// setUserTimeout lets a connection fail whose peer has gone without a sign.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

func (c *tcpCarrier) roundTrip(address string, request *http.Request, lane ConnectionClass) (*http.Response, error) {
	peer, err := c.peers[lane].reach(request.Context(), address)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return peer.roundTrip(address, request)
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
	for _, peers := range c.peers {
		peers.close()
	}
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
