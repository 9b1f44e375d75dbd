package tcpstate

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// Guards against an end that is not noticed while bytes before it are unread, and against a connection in use that counts as ended.
func TestEndIsSeenBehindUnreadBytes(t *testing.T) {
	t.Parallel()
	for _, reset := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		peer, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		conn, err := listener.Accept()
		must.NoError(t, err)
		must.NoError(t, listener.Close())
		_, err = peer.Write([]byte("unread"))
		must.NoError(t, err)
		must.False(t, EndedByPeer(conn))
		if reset {
			must.NoError(t, peer.(*net.TCPConn).SetLinger(0))
		}
		must.NoError(t, peer.Close())
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return EndedByPeer(conn) }), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
		must.NoError(t, conn.Close())
		must.False(t, EndedByPeer(conn))
	}
	pipe, _ := net.Pipe()
	must.False(t, EndedByPeer(pipe))
}
