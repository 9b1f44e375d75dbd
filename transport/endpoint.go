package transport

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pki"
)

const (
	// socketBufferBytes is the requested size of each UDP socket buffer.
	socketBufferBytes = 4 << 20
	// maxHeaderBytes is the maximum header size of a request or response between
	// instances.
	maxHeaderBytes = 256 << 10
	// maxStreams is how many concurrent requests a peer may have on a connection.
	maxStreams = 4096
)

// EndpointConfig configures an Endpoint.
type EndpointConfig struct {
	// Address is the IP address and port to listen on: UDP, and in a trusted network
	// TCP too.
	Address string
	// ID is the id of this instance. In a trusted network, peers accept it without
	// proof.
	ID fleetconfig.InstanceID
	// Identity is the certificate of the instance and the certificate authority of
	// the fleet. Nil means that the network is trusted and TLS is not used.
	Identity *pki.Identity
	// IsFar reports whether the instance at an address is in another failure domain. It is
	// used for the statistics only, and may be nil. It must not block.
	IsFar func(address string) bool
	// Handler serves the requests and calls of other instances.
	Handler http.Handler
	// Logger receives the log messages of the endpoint.
	Logger *slog.Logger
}

// ConnectionClass separates requests whose responses should not delay each other. In
// a trusted network, each class has connections of its own.
type ConnectionClass uint8

const (
	// ClassSmall is for calls and for requests with responses of a few kilobytes.
	ClassSmall ConnectionClass = iota
	// ClassLarge is for downloads.
	ClassLarge
	connectionClasses
)

// Endpoint is the fleet port of an instance. It serves the requests of other
// instances, opens connections to them and carries datagrams. It is a suture service
// and safe for concurrent use.
type Endpoint struct {
	config    EndpointConfig
	socket    *countingSocket
	transport requestTransport
	calls     callStats
}

// requestTransport sends and serves requests between instances over one protocol.
type requestTransport interface {
	// roundTrip sends the request to the peer at most once. The error is marked
	// ErrNotSent if the peer has not processed the request. isCall tells a call from a
	// request of a caller.
	roundTrip(address string, request *http.Request, class ConnectionClass, isCall bool) (*http.Response, error)
	// serve handles the requests of peers until ctx ends.
	serve(ctx context.Context) error
	// shutdown stops accepting requests and waits for those in progress.
	shutdown(ctx context.Context) error
	// close closes all connections.
	close()
	// sendDatagram and receiveDatagram carry UDP packets that are not part of a
	// request.
	sendDatagram(packet []byte, to net.Addr) error
	receiveDatagram(ctx context.Context, buffer []byte) (int, net.Addr, error)
}

// Listen opens the fleet port.
func Listen(config EndpointConfig) (*Endpoint, error) {
	address, err := net.ResolveUDPAddr("udp", config.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "the fleet address %q must be an IP address and a port", config.Address)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on the fleet address %s; check whether another process uses the port", config.Address)
	}
	socket := newCountingSocket(conn)
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	endpoint := &Endpoint{config: config, socket: socket}
	if config.Identity == nil {
		endpoint.transport, err = newTCPTransport(config, socket)
	} else {
		endpoint.transport, err = newQUICTransport(config, socket)
	}
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	return endpoint, nil
}

// Address returns the address on which the endpoint listens.
func (e *Endpoint) Address() net.Addr { return e.socket.LocalAddr() }

// Traffic returns the traffic of the UDP socket since the endpoint was opened.
func (e *Endpoint) Traffic() Traffic { return e.socket.traffic() }

// Serve accepts connections of other instances until ctx ends.
func (e *Endpoint) Serve(ctx context.Context) error { return e.transport.serve(ctx) }

// Shutdown stops accepting requests of other instances. It waits, at most until ctx
// ends, until the responses to the requests in progress have been sent and the
// connections of the other instances are closed. With QUIC, the other instances close
// them after they have received the responses.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	return errors.Wrap(e.transport.shutdown(ctx), "other instances still have open connections")
}

// Close closes all connections and releases the port.
func (e *Endpoint) Close() {
	e.transport.close()
	_ = e.socket.Close()
}
