package backendproxy

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/internal/tcpstate"
)

// errConnectionLost is returned by a read that met the end of the stream, if the connection
// was reset or the backend server ended it before it had received the whole request.
var errConnectionLost = errors.New("the connection was reset, or ended before the backend server had received the whole request")

// requestEndWait is how long a read that met the end of the stream waits until the
// request is written. A server that received all of it may end the stream before the
// writing goroutine has run on; 200 ms is far above the time that one waits for a
// processor. An upload whose caller is slower than that has not been received.
const requestEndWait = 200 * time.Millisecond

// requestEnd records whether the current request of a connection has been written to its end.
// The mutex of the connection guards it.
type requestEnd struct {
	// wrote says that a write of this request has ended without an error, writing that one is
	// under way, and failed that one has failed.
	wrote, writing, failed bool
	// formatted says that net/http has formatted the whole request. If flushDue is set too, it
	// has yet to write the last bytes.
	formatted, flushDue bool
	// settled is closed once the request is written or a write has failed.
	settled chan struct{}
}

// beginWrite records that a write begins. It reports whether net/http has formatted the whole
// request before.
func (e *requestEnd) beginWrite() (isFlush bool) {
	e.writing = true
	return e.formatted
}

// endWrite records the end of a write.
func (e *requestEnd) endWrite(isFlush bool, err error) {
	e.writing = false
	e.wrote = e.wrote || err == nil
	e.failed = e.failed || err != nil
	e.flushDue = e.flushDue && !isFlush
	e.settle()
}

// written reports whether the request has been passed to the operating system to its end.
func (e *requestEnd) written() bool {
	return e.formatted && e.wrote && !e.flushDue && !e.writing && !e.failed
}

func (e *requestEnd) settle() {
	if e.settled != nil && (e.written() || e.failed) {
		close(e.settled)
		e.settled = nil
	}
}

// endRequest records that net/http has formatted the whole request. It writes a body with a
// stated length before that, but the end of a chunked one and a request without a body after
// it.
func (c *trackedConn) endRequest(flushDue bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end.formatted, c.end.flushDue = true, flushDue
	c.end.settle()
}

// Read implements net.Conn. It returns io.EOF only if the backend server has ended the stream
// after it received the whole request. A body without a length ends with the stream, and a
// part of it must not pass for the whole. It returns no bytes with the end of a head that is
// not valid, so that net/http can't parse it.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if invalid := c.checkHead(buffer[:n]); invalid != nil {
		n, err = 0, invalid
	}
	if err == io.EOF && !c.endedInOrder() { //nolint:errorlint // The end of the stream itself, and no error that wraps it.
		err = errConnectionLost
	}
	if err != nil {
		c.mu.Lock()
		c.readErr = err
		c.mu.Unlock()
	}
	return n, err
}

// checkHead passes received bytes to the check of heads.
func (c *trackedConn) checkHead(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil || len(data) == 0 {
		return nil
	}
	_, err := c.head.Write(data)
	return err
}

// receivedHead reports whether the head of the final response has arrived since the current
// request began.
func (c *trackedConn) receivedHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head != nil && c.head.Complete()
}

// endedInOrder reports whether the end of the stream, which a read has met, follows the whole
// request and is no reset.
func (c *trackedConn) endedInOrder() bool {
	c.mu.Lock()
	unused := c.dispatchBy.IsZero()
	c.mu.Unlock()
	return unused || receivedByPeer(c.Conn) && c.awaitRequestEnd() && receivedByPeer(c.Conn)
}

// awaitRequestEnd waits up to requestEndWait until the request is written, and reports whether
// it is.
func (c *trackedConn) awaitRequestEnd() bool {
	c.mu.Lock()
	settled := c.end.settled
	c.mu.Unlock()
	if settled != nil {
		timer := time.NewTimer(requestEndWait)
		defer timer.Stop()
		select {
		case <-settled:
		case <-timer.C:
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end.written()
}

// receivedByPeer reports whether the peer, which has ended the stream, has acknowledged all
// that was written. After a reset it returns false: the socket reports a reset only once, and
// a failed write takes that report from the reads.
func receivedByPeer(conn net.Conn) bool {
	if _, isSocket := conn.(syscall.Conn); !isSocket {
		return true
	}
	info, known := tcpstate.Read(conn)
	return known && info.State == tcpstate.CloseWait && !info.Unacknowledged
}
