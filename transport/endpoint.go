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
	// socketBufferBytes is the size asked for each UDP socket buffer.
	socketBufferBytes = 4 << 20
	// maxHeaderBytes bounds the header of a forwarded request.
	maxHeaderBytes = 256 << 10
	// maxStreams is how many requests one peer may have open on a connection.
	maxStreams = 4096
)

// EndpointConfig configures an Endpoint.
type EndpointConfig struct {
	// Address is the IP number and port to listen on: UDP, and TCP too where the
	// network is trusted.
	Address string
	// ID is the instance. Peers in a trusted network believe it.
	ID fleetconfig.InstanceID
	// Identity is the certificate of the instance and the fleet's authority. Nil
	// means that the network is trusted.
	Identity *pki.Identity
	// Handler serves the requests and calls of other instances.
	Handler http.Handler
	// Logger receives the endpoint's messages.
	Logger *slog.Logger
}

// ConnectionClass keeps requests apart whose answers should not wait for each other.
type ConnectionClass uint8

const (
	// ClassSmall is for requests with answers of a few kilobytes, and for calls.
	ClassSmall ConnectionClass = iota
	// ClassLarge is for downloads.
	ClassLarge
	lanes
)

// Endpoint is the fleet port of an instance: it serves requests of other instances,
// opens connections to them and carries datagrams. It is a suture service.
type Endpoint struct {
	config  EndpointConfig
	socket  *countedSocket
	carrier carrier
	calls   callStats
}

// carrier moves requests between instances.
type carrier interface {
	// roundTrip sends the request to the peer, never twice. The error is marked
	// ErrNotSent when no byte of the request left.
	roundTrip(address string, request *http.Request, lane ConnectionClass) (*http.Response, error)
	// serve handles the requests of peers until ctx ends.
	serve(ctx context.Context) error
	// shutdown takes no new requests and waits for those in flight.
	shutdown(ctx context.Context) error
	// close ends every connection.
	close()
	// sendDatagram and receiveDatagram carry packets that are no request.
	sendDatagram(packet []byte, to net.Addr) error
	receiveDatagram(ctx context.Context, buffer []byte) (int, net.Addr, error)
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
	endpoint := &Endpoint{config: config, socket: socket}
	if config.Identity == nil {
		endpoint.carrier, err = newTCPCarrier(config, socket)
	} else {
		endpoint.carrier, err = newQUICCarrier(config, socket)
	}
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	return endpoint, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() net.Addr { return e.socket.LocalAddr() }

// Traffic returns what has passed the fleet port so far.
func (e *Endpoint) Traffic() Traffic { return e.socket.traffic() }

// Serve accepts connections of other instances until ctx ends.
func (e *Endpoint) Serve(ctx context.Context) error { return e.carrier.serve(ctx) }

// Shutdown takes no new requests of other instances and waits until those in
// flight have been answered and the answers have arrived: the other instances
// close their connections then.
func (e *Endpoint) Shutdown(ctx context.Context) error {
	return errors.Wrap(e.carrier.shutdown(ctx), "other instances keep their connections open")
}

// Close ends every connection and frees the port.
func (e *Endpoint) Close() {
	e.carrier.close()
	_ = e.socket.Close()
}
