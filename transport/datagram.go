package transport

import (
	"context"
	"crypto/aes"
	"crypto/cipher"
	"net"

	"github.com/cockroachdb/errors"
)

// MaxDatagramBytes is the largest payload of a sealed datagram. It keeps the
// packet under the smallest path MTU that QUIC demands.
const MaxDatagramBytes = 1100

const (
	// datagramMark is the first byte of a sealed datagram. Its two highest bits
	// are zero, which no QUIC packet has (RFC 9443).
	datagramMark       = 0x10
	receiveBufferBytes = 2048
)

// Datagrams sends and receives small authenticated datagrams on the fleet port.
// Each is sealed by AES-256-GCM under the fleet's gossip key.
type Datagrams struct {
	endpoint *Endpoint
	seal     cipher.AEAD
}

// NewDatagrams returns the datagram side of the fleet port.
func NewDatagrams(endpoint *Endpoint, gossipKey []byte) (*Datagrams, error) {
	block, err := aes.NewCipher(gossipKey)
	if err != nil {
		return nil, errors.Wrap(err, "the gossip key does not fit; copy gossip.key anew")
	}
	seal, err := cipher.NewGCMWithRandomNonce(block)
	if err != nil {
		return nil, errors.Wrap(err, "set up the datagram seal")
	}
	return &Datagrams{endpoint: endpoint, seal: seal}, nil
}

// Send seals payload and sends it to address. A lost datagram is not reported.
func (d *Datagrams) Send(address string, payload []byte) error {
	if len(payload) > MaxDatagramBytes {
		return errors.Newf("a datagram of %d bytes is larger than %d; send a call instead", len(payload), MaxDatagramBytes)
	}
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrapf(err, "the peer address %q must be an IP number and a port", address)
	}
	packet := append(make([]byte, 0, receiveBufferBytes), datagramMark)
	packet = d.seal.Seal(packet, nil, payload, packet[:1])
	return errors.Wrap(d.endpoint.carrier.sendDatagram(packet, remote), "send the datagram")
}

// Receive waits for the next datagram whose seal is right. Others are dropped.
func (d *Datagrams) Receive(ctx context.Context) (payload []byte, from net.Addr, err error) {
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, from, err := d.endpoint.carrier.receiveDatagram(ctx, buffer)
		if err != nil {
			return nil, nil, errors.Wrap(err, "receive datagrams")
		}
		if n < 1 || buffer[0] != datagramMark {
			continue
		}
		payload, err := d.seal.Open(nil, nil, buffer[1:n], buffer[:1])
		if err != nil {
			continue
		}
		return payload, from, nil
	}
}
