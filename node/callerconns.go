package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// callerListener accepts connections of callers that close when a header takes too
// long or when they stay unused, by the times of the configuration in force. A timer
// for each connection does it, since the times of an http.Server can not change while
// it serves.
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

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	limits func() fleetconfig.CallerLimits

	mu    sync.Mutex
	timer *time.Timer
	// timerGeneration counts the timers, so that one that has fired too late does nothing.
	timerGeneration uint64
	// idle says that the next byte begins a request.
	idle bool
	// multiplexed says that the connection speaks HTTP/2, where bytes come between
	// requests too.
	multiplexed bool
}

// Read implements net.Conn. The first byte after a pause begins a header; net/http
// itself tells of it only when the header has ended.
func (c *callerConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.mu.Lock()
		if c.idle && !c.multiplexed {
			c.idle = false
			c.startTimer(positiveOr(c.limits().HeaderTimeout, headerTimeout))
		}
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	c.stopTimer()
	c.mu.Unlock()
	return c.Conn.Close()
}

// startIdleTimer starts the time that the connection may stay unused.
func (c *callerConn) startIdleTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	c.startTimer(positiveOr(c.limits().IdleTimeout, callerIdleTimeout))
}

// headerReceived ends the time of a header, which is here.
func (c *callerConn) headerReceived(request *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.multiplexed = request.ProtoMajor > 1
	c.stopTimer()
}

// startTimer closes the connection after a time, unless it is armed again or disarmed. The
// caller holds mu.
func (c *callerConn) startTimer(after time.Duration) {
	c.stopTimer()
	generation := c.timerGeneration
	c.timer = time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.timerGeneration == generation {
			_ = c.Conn.Close() // Nobody is left to tell.
		}
	})
}

// stopTimer stops the timer. The caller holds mu.
func (c *callerConn) stopTimer() {
	c.timerGeneration++
	if c.timer != nil {
		c.timer.Stop()
	}
}

type callerConnKey struct{}

// applyCallerTimeouts makes a port keep to the limits.
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
		if tracked, _ := r.Context().Value(callerConnKey{}).(*callerConn); tracked != nil {
			tracked.headerReceived(r)
		}
		handler.ServeHTTP(w, r)
	})
}

// callerConnOf returns the connection under TLS, or nil.
func callerConnOf(conn net.Conn) *callerConn {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	tracked, _ := conn.(*callerConn)
	return tracked
}

func positiveOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
