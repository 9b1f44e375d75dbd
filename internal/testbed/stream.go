package testbed

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// StreamRelay passes the connections of callers on to a port, and disturbs them.
type StreamRelay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
	// open is closed while bytes pass, and replaced while they do not.
	open chan struct{}
}

// StartStreamRelay listens on the address and passes connections on to target.
func StartStreamRelay(address, target string) (*StreamRelay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the relay of callers")
	}
	open := make(chan struct{})
	close(open)
	relay := &StreamRelay{listener: listener, target: target, conns: make(map[*net.TCPConn]struct{}), open: open}
	go relay.accept()
	return relay, nil
}

// Address returns where callers connect.
func (r *StreamRelay) Address() string { return r.listener.Addr().String() }

// Reset resets all connections, towards both ends.
func (r *StreamRelay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// SetPaused holds back all bytes in both directions, until it is called with false.
func (r *StreamRelay) SetPaused(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.open:
		if silent {
			r.open = make(chan struct{})
		}
	default:
		if !silent {
			close(r.open)
		}
	}
}

// Close ends the relay and its connections.
func (r *StreamRelay) Close() {
	_ = r.listener.Close()
	r.SetPaused(false)
	r.Reset()
}

func (r *StreamRelay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn.(*net.TCPConn))
	}
}

// serve connects a caller. A port that takes no connection is shown to the caller by a
// reset.
func (r *StreamRelay) serve(caller *net.TCPConn) {
	conn, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	server := conn.(*net.TCPConn)
	r.keep(caller, server)
	var both sync.WaitGroup
	both.Go(func() { r.copy(server, caller) })
	both.Go(func() { r.copy(caller, server) })
	both.Wait()
	r.drop(caller, server)
}

func (r *StreamRelay) keep(conns ...*net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
	}
}

func (r *StreamRelay) drop(conns ...*net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
		_ = conn.Close()
	}
}

// copy passes bytes on until one end closes, and shows the other end how: the end of a
// stream as such, a reset as a reset.
func (r *StreamRelay) copy(to, from *net.TCPConn) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		open := r.open
		r.mu.Unlock()
		<-open
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
