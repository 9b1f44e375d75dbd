package transport

import (
	"net"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"golang.org/x/net/ipv4"
)

// Traffic is what has passed the fleet port since it was opened: the payloads of
// UDP packets, without IP and UDP headers. A batch that the system cuts into
// several packets (generic segmentation offload) counts as one packet sent.
type Traffic struct {
	// SentBytes and SentPackets count what was handed to the system.
	SentBytes, SentPackets uint64
	// ReceivedBytes and ReceivedPackets count what the system handed over.
	ReceivedBytes, ReceivedPackets uint64
}

// countedSocket counts what passes a UDP socket. It offers every method that
// quic-go needs for batched reads, explicit congestion notification and
// segmentation offload, so that counting does not turn these off. Errors pass
// unchanged, because quic-go looks at their type.
type countedSocket struct {
	*net.UDPConn
	batch *ipv4.PacketConn

	sentBytes, sentPackets         atomic.Uint64
	receivedBytes, receivedPackets atomic.Uint64
}

// countedSocket must keep quic-go's fast path.
var _ quic.OOBCapablePacketConn = (*countedSocket)(nil)

func newCountedSocket(socket *net.UDPConn) *countedSocket {
	return &countedSocket{UDPConn: socket, batch: ipv4.NewPacketConn(socket)}
}

// ReadBatch reads several packets in one system call. quic-go looks for this
// method.
func (c *countedSocket) ReadBatch(messages []ipv4.Message, flags int) (int, error) {
	n, err := c.batch.ReadBatch(messages, flags)
	for i := range max(n, 0) {
		c.countReceived(messages[i].N)
	}
	return n, err
}

// ReadFrom implements net.PacketConn.
func (c *countedSocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	n, from, err := c.UDPConn.ReadFrom(buffer)
	if err == nil {
		c.countReceived(n)
	}
	return n, from, err
}

// ReadMsgUDP implements quic.OOBCapablePacketConn.
func (c *countedSocket) ReadMsgUDP(buffer, oob []byte) (n, oobn, flags int, from *net.UDPAddr, err error) {
	n, oobn, flags, from, err = c.UDPConn.ReadMsgUDP(buffer, oob)
	if err == nil {
		c.countReceived(n)
	}
	return n, oobn, flags, from, err
}

// WriteTo implements net.PacketConn.
func (c *countedSocket) WriteTo(packet []byte, to net.Addr) (int, error) {
	n, err := c.UDPConn.WriteTo(packet, to)
	c.countSent(n)
	return n, err
}

// WriteMsgUDP implements quic.OOBCapablePacketConn.
func (c *countedSocket) WriteMsgUDP(packet, oob []byte, to *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = c.UDPConn.WriteMsgUDP(packet, oob, to)
	c.countSent(n)
	return n, oobn, err
}

func (c *countedSocket) countReceived(bytes int) {
	c.receivedBytes.Add(uint64(bytes))
	c.receivedPackets.Add(1)
}

func (c *countedSocket) countSent(bytes int) {
	if bytes <= 0 {
		return
	}
	c.sentBytes.Add(uint64(bytes))
	c.sentPackets.Add(1)
}

func (c *countedSocket) traffic() Traffic {
	return Traffic{
		SentBytes:       c.sentBytes.Load(),
		SentPackets:     c.sentPackets.Load(),
		ReceivedBytes:   c.receivedBytes.Load(),
		ReceivedPackets: c.receivedPackets.Load(),
	}
}
