package testbed

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// StreamRelay forwards TCP connections to a target address. It can hold back the bytes and
// reset the connections. It is safe for concurrent use.
type StreamRelay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
	// forwarding is a closed channel while bytes are forwarded, and an open one while
	// forwarding is paused.
	forwarding chan struct{}
}

// StartStreamRelay listens on the address and forwards connections to the target.
func StartStreamRelay(address, target string) (*StreamRelay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for caller connections")
	}
	forwarding := make(chan struct{})
	close(forwarding)
	relay := &StreamRelay{listener: listener, target: target, conns: make(map[*net.TCPConn]struct{}), forwarding: forwarding}
	go relay.accept()
	return relay, nil
}

// Address returns the address that callers connect to.
func (r *StreamRelay) Address() string { return r.listener.Addr().String() }

// Reset resets all connections, to callers and to the target.
func (r *StreamRelay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// SetPaused pauses or resumes the forwarding of bytes in both directions. Bytes are held
// back, not lost, while it is paused.
func (r *StreamRelay) SetPaused(paused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.forwarding:
		if paused {
			r.forwarding = make(chan struct{})
		}
	default:
		if !paused {
			close(r.forwarding)
		}
	}
}

// Close stops the relay and resets its connections.
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

// serve forwards one caller connection. If the target refuses the connection, the caller's
// connection is reset.
func (r *StreamRelay) serve(caller *net.TCPConn) {
	conn, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	server := conn.(*net.TCPConn)
	r.track(caller, server)
	var both sync.WaitGroup
	both.Go(func() { r.forward(server, caller) })
	both.Go(func() { r.forward(caller, server) })
	both.Wait()
	r.closeConns(caller, server)
}

func (r *StreamRelay) track(conns ...*net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
	}
}

func (r *StreamRelay) closeConns(conns ...*net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
		_ = conn.Close()
	}
}

// forward copies bytes until one end closes or fails. The end of the stream is forwarded as
// the end of the stream, and a failure as a reset.
func (r *StreamRelay) forward(to, from *net.TCPConn) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		forwarding := r.forwarding
		r.mu.Unlock()
		<-forwarding
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
