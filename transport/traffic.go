package transport

import (
	"net"
	"sync/atomic"

	"github.com/quic-go/quic-go"
	"golang.org/x/net/ipv4"
)

// Traffic counts the UDP payloads that passed the fleet port since it was opened,
// without IP and UDP headers. A batch that the operating system splits into several
// packets (generic segmentation offload) counts as one sent packet.
type Traffic struct {
	// SentBytes and SentPackets count what was passed to the operating system.
	SentBytes, SentPackets uint64
	// ReceivedBytes and ReceivedPackets count what was received from the operating
	// system.
	ReceivedBytes, ReceivedPackets uint64
}

// countingSocket counts the packets that pass a UDP socket. It has every method that
// quic-go needs for batched reads, explicit congestion notification and segmentation
// offload, so that counting does not disable these. It returns errors unchanged,
// since quic-go checks their type.
type countingSocket struct {
	*net.UDPConn
	batch *ipv4.PacketConn

	sentBytes, sentPackets         atomic.Uint64
	receivedBytes, receivedPackets atomic.Uint64
}

// quic-go uses batched reads, explicit congestion notification and segmentation offload
// only for sockets that implement this interface.
var _ quic.OOBCapablePacketConn = (*countingSocket)(nil)

func newCountingSocket(socket *net.UDPConn) *countingSocket {
	return &countingSocket{UDPConn: socket, batch: ipv4.NewPacketConn(socket)}
}

// ReadBatch reads several packets with one system call. quic-go detects this method
// and uses it.
func (c *countingSocket) ReadBatch(messages []ipv4.Message, flags int) (int, error) {
	n, err := c.batch.ReadBatch(messages, flags)
	for i := range max(n, 0) {
		c.countReceived(messages[i].N)
	}
	return n, err
}

// ReadFrom implements net.PacketConn.
func (c *countingSocket) ReadFrom(buffer []byte) (int, net.Addr, error) {
	n, from, err := c.UDPConn.ReadFrom(buffer)
	if err == nil {
		c.countReceived(n)
	}
	return n, from, err
}

// ReadMsgUDP implements quic.OOBCapablePacketConn.
func (c *countingSocket) ReadMsgUDP(buffer, oob []byte) (n, oobn, flags int, from *net.UDPAddr, err error) {
	n, oobn, flags, from, err = c.UDPConn.ReadMsgUDP(buffer, oob)
	if err == nil {
		c.countReceived(n)
	}
	return n, oobn, flags, from, err
}

// WriteTo implements net.PacketConn.
func (c *countingSocket) WriteTo(packet []byte, to net.Addr) (int, error) {
	n, err := c.UDPConn.WriteTo(packet, to)
	c.countSent(n)
	return n, err
}

// WriteMsgUDP implements quic.OOBCapablePacketConn.
func (c *countingSocket) WriteMsgUDP(packet, oob []byte, to *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = c.UDPConn.WriteMsgUDP(packet, oob, to)
	c.countSent(n)
	return n, oobn, err
}

func (c *countingSocket) countReceived(bytes int) {
	c.receivedBytes.Add(uint64(bytes))
	c.receivedPackets.Add(1)
}

func (c *countingSocket) countSent(bytes int) {
	if bytes <= 0 {
		return
	}
	c.sentBytes.Add(uint64(bytes))
	c.sentPackets.Add(1)
}

func (c *countingSocket) traffic() Traffic {
	return Traffic{
		SentBytes:       c.sentBytes.Load(),
		SentPackets:     c.sentPackets.Load(),
		ReceivedBytes:   c.receivedBytes.Load(),
		ReceivedPackets: c.receivedPackets.Load(),
	}
}
