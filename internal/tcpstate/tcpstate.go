// Package tcpstate reads the state of TCP connections from the operating system.
package tcpstate

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection, by the numbers of Linux (TCP_INFO).
type State uint8

// The states after the peer has ended its stream or the connection was reset.
const (
	Closed    State = 7
	CloseWait State = 8
	LastAck   State = 9
	Closing   State = 11
)

// Info is what the operating system knows of a connection.
type Info struct {
	// State is the state of the connection.
	State State
	// Unacknowledged says that the peer has not acknowledged all that was written.
	Unacknowledged bool
}

// Read returns the information on a connection. It returns false if the connection is no TCP
// socket or has been closed by this process.
func Read(conn net.Conn) (Info, bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return Info{}, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Info{}, false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(descriptor uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil {
		return Info{}, false
	}
	return Info{State: State(info.State), Unacknowledged: info.Unacked != 0 || info.Notsent_bytes != 0}, true
}

// EndedByPeer reports whether the peer has ended its stream or reset the connection. Bytes that
// it sent before may still be unread.
func EndedByPeer(conn net.Conn) bool {
	info, known := Read(conn)
	if !known {
		return false
	}
	switch info.State {
	case Closed, CloseWait, LastAck, Closing:
		return true
	default:
		return false
	}
}
