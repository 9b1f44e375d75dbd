package backendproxy

import (
	"strconv"
	"strings"
	"time"
)

const (
	// idleTimeoutMargin is how long before the idle timeout that a backend server states a
	// connection is closed, so that no request is sent while the server closes it. At most
	// half of the timeout is left out.
	idleTimeoutMargin = time.Second
	// maxStatedIdleTimeout is the longest stated idle timeout that is heeded, in seconds.
	// Connections are closed sooner anyway.
	maxStatedIdleTimeout = 3600
)

// statedIdleTimeout returns the idle timeout in the value of a Keep-Alive header, or 0 if it
// states none that can be used.
func statedIdleTimeout(text string) time.Duration {
	for parameter := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(parameter, "=")
		if !found || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, maxStatedIdleTimeout)) * time.Second
	}
	return 0
}

// setIdleTimeout sets the idle timeout that the backend server has stated for the connection.
// Zero means that it has stated none.
func (c *trackedConn) setIdleTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleTimeout = timeout
	if c.idle {
		c.startIdleTimer()
	}
}

// setIdle records that the connection has no request.
func (c *trackedConn) setIdle() {
	c.mu.Lock()
	c.idle = true
	c.upload = nil
	retired := c.retired
	if !retired {
		c.startIdleTimer()
	}
	c.mu.Unlock()
	if retired {
		c.closeIfIdle()
	}
}

// retire closes the connection as soon as it has no request. Another request may have taken it
// already, since net/http makes a connection available once it has read a response.
func (c *trackedConn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
	c.closeIfIdle()
}

// startIdleTimer closes the connection shortly before its idle timeout, unless a request
// begins before. The caller must hold mu.
func (c *trackedConn) startIdleTimer() {
	c.stopIdleTimer()
	if c.idleTimeout <= 0 {
		return
	}
	c.idleTimer = time.AfterFunc(c.idleTimeout-min(idleTimeoutMargin, c.idleTimeout/2), c.closeIfIdle)
}

// stopIdleTimer stops the timer of startIdleTimer. The caller must hold mu.
func (c *trackedConn) stopIdleTimer() {
	if c.idleTimer != nil {
		c.idleTimer.Stop()
		c.idleTimer = nil
	}
}

// closeIfIdle closes the connection unless a request has begun. If a request takes the
// connection at the same moment, its first write fails and it has not been sent.
func (c *trackedConn) closeIfIdle() {
	c.mu.Lock()
	idle := c.idle
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close() // The connection is not used again, whether or not closing it fails.
	}
}
