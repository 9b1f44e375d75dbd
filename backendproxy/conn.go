package backendproxy

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/internal/strictresponse"
)

// errDispatchDeadline is returned when the dispatch deadline of a request passed before
// its first byte was written.
var errDispatchDeadline = errors.New("the dispatch deadline passed before the request was written")

// trackedConn is a connection to a backend server that records whether any byte of the
// current request has been passed to the operating system. If a dispatch fails before
// that, its outcome is OutcomeNotRun, otherwise OutcomeUnknown. It also tells the end of a
// response from the loss of the connection, and ends with an error at a head that is not valid.
type trackedConn struct {
	net.Conn

	// mu guards all fields below.
	mu sync.Mutex
	// wrote says that a byte of the current request may have been written.
	wrote bool
	// wroteAt is the time right before the first byte of the current request was written.
	wroteAt    time.Time
	closed     bool
	dispatchBy time.Time
	end        requestEnd
	// head checks the heads of the responses to the current request. It is nil before the
	// first one.
	head *strictresponse.Reader
	// upload is the body of the current request, or nil. readErr is the error that ended the
	// reads of the connection.
	upload  *nonRewindableBody
	readErr error
	// idle says that the connection has no request. idleTimer closes it shortly before
	// idleTimeout, the time after which the backend server drops it.
	idle        bool
	idleTimeout time.Duration
	idleTimer   *time.Timer
	// retired says that the connection is closed as soon as it is idle.
	retired bool
}

// beginRequest starts a new request on the connection. Its first byte must be written
// by dispatchBy.
func (c *trackedConn) beginRequest(dispatchBy time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
	c.end = requestEnd{settled: make(chan struct{})}
	c.head = &strictresponse.Reader{MaxBytes: maxResponseHeaderBytes}
	c.idle = false
	c.stopIdleTimer()
	c.dispatchBy = dispatchBy
}

// setUpload sets the body of the current request, whose reads end with the connection.
func (c *trackedConn) setUpload(body *nonRewindableBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload = body
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	upload, cause := c.upload, c.readErr
	c.mu.Unlock()
	if upload != nil {
		if cause == nil {
			cause = net.ErrClosed
		}
		upload.interrupt(errors.Wrap(cause, "the connection ended during the upload"))
	}
	return c.Conn.Close()
}

// Write implements net.Conn. It sets wrote before it passes the bytes on, so that wrote
// is never false once a byte may have been sent. It returns errDispatchDeadline when the
// first byte of a request comes too late.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if !c.wrote && clock.Now().After(c.dispatchBy) {
		c.mu.Unlock()
		return 0, errDispatchDeadline
	}
	if !c.wrote {
		c.wrote = true
		c.wroteAt = clock.Now()
	}
	isFlush := c.end.beginWrite()
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end.endWrite(isFlush, err)
	return n, err
}

// dispatchedAt returns the time right before the first byte of the current request was
// written.
func (c *trackedConn) dispatchedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wroteAt
}

// stopWrites makes further writes fail with net.ErrClosed and reports whether a byte of
// the current request may have been written.
func (c *trackedConn) stopWrites() (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.wrote
}
