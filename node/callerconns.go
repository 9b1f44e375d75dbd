package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// callerConns closes the connections of callers that take too long over a header or
// stay unused, by the times of the configuration in force. A timer for each connection
// does it, since the times of an http.Server can not change while it serves.
type callerConns struct {
	limits func() fleetconfig.CallerLimits

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is one connection. It is nil in the context of other ports.
type callerConn struct {
	conn net.Conn

	mu    sync.Mutex
	timer *time.Timer
	// armed counts the timers, so that one that has fired too late does nothing.
	armed uint64
}

type callerConnKey struct{}

func newCallerConns(limits func() fleetconfig.CallerLimits) *callerConns {
	return &callerConns{limits: limits, conns: make(map[net.Conn]*callerConn)}
}

// watch makes the server of callers keep to the limits.
func (c *callerConns) watch(server *http.Server) {
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	server.ConnState = c.changed
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, c.find(conn))
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
			conn.disarm() // The header is here.
		}
		handler.ServeHTTP(w, r)
	})
}

func (c *callerConns) find(conn net.Conn) *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.conns[conn]
	if found == nil {
		found = &callerConn{conn: conn}
		c.conns[conn] = found
	}
	return found
}

// changed follows the states of a connection: new, active from the first byte of a
// request, idle between requests.
func (c *callerConns) changed(conn net.Conn, state http.ConnState) {
	limits := c.limits()
	switch state {
	case http.StateNew, http.StateActive:
		c.find(conn).arm(positiveOr(limits.HeaderTimeout, headerTimeout))
	case http.StateIdle:
		c.find(conn).arm(positiveOr(limits.IdleTimeout, callerIdleTimeout))
	case http.StateHijacked, http.StateClosed:
		c.find(conn).disarm()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}
}

func positiveOr(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// arm closes the connection after a time, unless it is armed again or disarmed.
func (c *callerConn) arm(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed++
	armed := c.armed
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.armed == armed {
			_ = c.conn.Close()
		}
	})
}

func (c *callerConn) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed++
	if c.timer != nil {
		c.timer.Stop()
	}
}
