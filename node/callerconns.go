package node

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/internal/tcpstate"
)

// closeDelay is how long a connection whose caller is still sending stays open after the
// response, as in net/http.
const closeDelay = 500 * time.Millisecond

// callerListener accepts connections from callers and enforces the header timeout and
// the idle timeout of the configuration in force. It uses a timer for each connection,
// because the timeouts of an http.Server cannot change while it is serving.
type callerListener struct {
	net.Listener
	limits func() fleetconfig.CallerLimits
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &callerConn{Conn: conn, limits: l.limits}
	tracked.startIdleTimer()
	return tracked, nil
}

// callerConn is a connection from a caller. Its timer closes it when the idle timeout
// or the header timeout expires.
type callerConn struct {
	net.Conn
	limits func() fleetconfig.CallerLimits

	// mu guards the fields below, which the server's goroutines and the timer use.
	mu    sync.Mutex
	timer *time.Timer
	// timerGeneration changes whenever the timer is stopped. If the timer has already
	// expired by then, its function finds that the generation has changed and does
	// nothing.
	timerGeneration uint64
	// idle reports whether the connection waits for the first byte of a request.
	idle bool
	// multiplexed reports whether the connection uses HTTP/2, where bytes also arrive
	// between requests.
	multiplexed bool
	// readsEnded says that the connection serves no further request.
	readsEnded bool
}

// EndReads implements ingress.CallerConnection.
func (c *callerConn) EndReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsEnded = true
}

// Abort implements ingress.CallerConnection. With TLS it sends no notice of the end either.
func (c *callerConn) Abort() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0)
	}
	_ = c.Conn.Close() // Nothing can be done about an error.
}

// EndedByCaller implements ingress.CallerConnection.
func (c *callerConn) EndedByCaller() bool { return tcpstate.EndedByPeer(c.Conn) }

// serves reports whether the connection may serve a further request.
func (c *callerConn) serves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readsEnded
}

// Read implements net.Conn. The first byte on an idle HTTP/1.1 connection starts the
// header timeout. net/http reports a request only after its header is complete, so the
// start of the header must be detected here.
func (c *callerConn) Read(buffer []byte) (int, error) {
	if !c.serves() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.mu.Lock()
		if c.idle && !c.multiplexed {
			c.idle = false
			c.startTimer(positiveOr(c.limits().HeaderTimeout, defaultHeaderTimeout))
		}
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn. After EndReads the caller may still be sending. A close would
// reset the connection then, and the caller might lose the response, so it takes place only
// after the caller's end of the stream or closeDelay.
func (c *callerConn) Close() error {
	c.mu.Lock()
	c.stopTimer()
	c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if c.serves() || !ok || half.CloseWrite() != nil {
		return c.Conn.Close()
	}
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(closeDelay))
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close() // Nothing can be done about an error.
	}()
	return nil
}

// startIdleTimer marks the connection as idle and starts the idle timeout.
func (c *callerConn) startIdleTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	c.startTimer(positiveOr(c.limits().IdleTimeout, defaultIdleTimeout))
}

// headerReceived stops the timer when the header of a request is complete.
func (c *callerConn) headerReceived(request *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.multiplexed = request.ProtoMajor > 1
	c.stopTimer()
}

// startTimer closes the connection after the given time, unless the timer is restarted
// or stopped before. The caller holds mu.
func (c *callerConn) startTimer(after time.Duration) {
	c.stopTimer()
	generation := c.timerGeneration
	c.timer = time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.timerGeneration == generation {
			_ = c.Conn.Close() // Nothing can be done about an error.
		}
	})
}

// stopTimer stops the timer and invalidates it if it has already expired. The caller
// holds mu.
func (c *callerConn) stopTimer() {
	c.timerGeneration++
	if c.timer != nil {
		c.timer.Stop()
	}
}

type callerConnKey struct{}

// applyCallerTimeouts replaces the fixed timeouts of a port's server by the timeouts
// that limits returns.
func applyCallerTimeouts(port *httpPort, limits func() fleetconfig.CallerLimits) {
	port.listener = &callerListener{Listener: port.listener, limits: limits}
	server := port.server
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, callerConnOf(conn))
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if tracked := callerConnOf(conn); tracked != nil && state == http.StateIdle {
			tracked.startIdleTimer()
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tracked := callerConnFrom(r); tracked != nil {
			if !tracked.serves() {
				panic(http.ErrAbortHandler) // The head arrived with the end of the unread body.
			}
			tracked.headerReceived(r)
		}
		handler.ServeHTTP(w, r)
	})
}

// callerConnOf returns conn as a callerConn. If conn is a TLS connection, it returns the
// callerConn below it. It returns nil if there is no callerConn.
func callerConnOf(conn net.Conn) *callerConn {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	tracked, _ := conn.(*callerConn)
	return tracked
}

// callerConnFrom returns the connection of a request, or nil if its port does not track
// connections.
func callerConnFrom(request *http.Request) *callerConn {
	tracked, _ := request.Context().Value(callerConnKey{}).(*callerConn)
	return tracked
}

// callerConnection returns the connection of a request to the ingress.
func callerConnection(request *http.Request) ingress.CallerConnection {
	if tracked := callerConnFrom(request); tracked != nil {
		return tracked
	}
	return untrackedConn{}
}

// untrackedConn is a connection that its HTTP server alone manages.
type untrackedConn struct{}

// EndReads implements ingress.CallerConnection.
func (untrackedConn) EndReads() {}

// Abort implements ingress.CallerConnection.
func (untrackedConn) Abort() {}

// EndedByCaller implements ingress.CallerConnection.
func (untrackedConn) EndedByCaller() bool { return false }

func positiveOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
