package transport

import (
	"context"
	"crypto/aes"
	"crypto/cipher"
	"net"

	"github.com/cockroachdb/errors"
)

// MaxDatagramBytes is the maximum payload of a datagram in bytes. It keeps the
// packet within the smallest path MTU that QUIC requires.
const MaxDatagramBytes = 1100

const (
	// datagramPrefix is the first byte of an encrypted datagram. Its two highest
	// bits are zero, which distinguishes it from every QUIC packet (RFC 9443).
	datagramPrefix = 0x10
	// datagramBufferBytes is the size of the buffers for sent and received packets.
	datagramBufferBytes = 2048
)

// Datagrams sends and receives small authenticated datagrams on the fleet port. Each
// is encrypted with AES-256-GCM under the gossip key of the fleet.
type Datagrams struct {
	endpoint *Endpoint
	aead     cipher.AEAD
}

// NewDatagrams returns the Datagrams of an endpoint.
func NewDatagrams(endpoint *Endpoint, gossipKey []byte) (*Datagrams, error) {
	block, err := aes.NewCipher(gossipKey)
	if err != nil {
		return nil, errors.Wrap(err, "the gossip key has an invalid length; copy gossip.key again")
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	if err != nil {
		return nil, errors.Wrap(err, "set up the datagram encryption")
	}
	return &Datagrams{endpoint: endpoint, aead: aead}, nil
}

// Send encrypts payload and sends it to address. It does not report whether the
// datagram arrives.
func (d *Datagrams) Send(address string, payload []byte) error {
	if len(payload) > MaxDatagramBytes {
		return errors.Newf("the datagram of %d bytes exceeds the limit of %d; send a call instead", len(payload), MaxDatagramBytes)
	}
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrapf(err, "the peer address %q must be an IP address and a port", address)
	}
	packet := append(make([]byte, 0, datagramBufferBytes), datagramPrefix)
	packet = d.aead.Seal(packet, nil, payload, packet[:1])
	d.endpoint.calls.record(d.endpoint.kindOf(KindDatagram, address), int64(len(packet)), 0)
	return errors.Wrap(d.endpoint.transport.sendDatagram(packet, remote), "send the datagram")
}

// Receive waits for the next datagram that decrypts correctly. It drops all others.
// It returns an error when ctx ends or the socket fails.
func (d *Datagrams) Receive(ctx context.Context) (payload []byte, from net.Addr, err error) {
	buffer := make([]byte, datagramBufferBytes)
	for {
		n, from, err := d.endpoint.transport.receiveDatagram(ctx, buffer)
		if err != nil {
			return nil, nil, errors.Wrap(err, "receive a datagram")
		}
		if n < 1 || buffer[0] != datagramPrefix {
			continue
		}
		payload, err := d.aead.Open(nil, nil, buffer[1:n], buffer[:1])
		if err != nil {
			continue
		}
		return payload, from, nil
	}
}
