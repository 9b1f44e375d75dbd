package transport

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/net/ipv4"
)

// The test sends three packets by the two sending methods that quic-go uses, and
// receives each packet by a different one of the three receiving methods. The sender
// and the receiver must count the same packets and bytes.
func TestCountingSocketCountsAllMethods(t *testing.T) {
	sender, receiver := listenCounting(t), listenCounting(t)
	to := receiver.LocalAddr().(*net.UDPAddr)
	_, err := sender.WriteTo(make([]byte, 10), to)
	must.NoError(t, err)
	_, _, err = sender.WriteMsgUDP(make([]byte, 200), nil, to)
	must.NoError(t, err)
	_, err = sender.WriteTo(make([]byte, 3000), to)
	must.NoError(t, err)
	must.Eq(t, Traffic{SentBytes: 3210, SentPackets: 3}, sender.traffic())

	buffer := make([]byte, 4096)
	_, _, err = receiver.ReadFrom(buffer)
	must.NoError(t, err)
	must.Eq(t, Traffic{ReceivedBytes: 10, ReceivedPackets: 1}, receiver.traffic())
	_, _, _, _, err = receiver.ReadMsgUDP(buffer, nil)
	must.NoError(t, err)
	must.Eq(t, Traffic{ReceivedBytes: 210, ReceivedPackets: 2}, receiver.traffic())
	messages := []ipv4.Message{{Buffers: [][]byte{buffer}}, {Buffers: [][]byte{make([]byte, 4096)}}}
	n, err := receiver.ReadBatch(messages, 0)
	must.NoError(t, err)
	must.Eq(t, 1, n)
	must.Eq(t, Traffic{ReceivedBytes: 3210, ReceivedPackets: 3}, receiver.traffic())
}

func listenCounting(t *testing.T) *countingSocket {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return newCountingSocket(socket)
}
