package backendproxy

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
)

// errTooLate says that the time to dispatch a request had run out before its
// first byte left.
var errTooLate = errors.New("the time to dispatch the request has run out")

// trackedConn is a connection to a backend server that knows whether a byte of
// the present request has been handed to the operating system. That is the line
// between OutcomeNotRun and OutcomeUnknown.
type trackedConn struct {
	net.Conn

	mu    sync.Mutex
	wrote bool
	// wroteAt is when the first byte of the present request was handed over.
	wroteAt time.Time
	sealed  bool
	limit   time.Time
	late    bool
}

// begin starts a request on the connection. Its first byte may leave until
// limit.
func (c *trackedConn) begin(limit time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
	c.limit = limit
}

// Write implements net.Conn. The mark is set before the bytes are handed over,
// so that it can never say "nothing written" wrongly.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if !c.wrote && clock.Now().After(c.limit) {
		c.late = true
		c.mu.Unlock()
		return 0, errTooLate
	}
	if !c.wrote {
		c.wrote = true
		c.wroteAt = clock.Now()
	}
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// dispatchedAt returns when the first byte of the present request was handed over.
func (c *trackedConn) dispatchedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wroteAt
}

// seal forbids further writes and reports whether a byte of the present request
// may have left.
func (c *trackedConn) seal() (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wrote
}
