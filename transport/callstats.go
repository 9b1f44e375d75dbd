package transport

import (
	"maps"
	"sync"
)

// CallTraffic counts the calls that this instance has sent to one path. Sizes
// include bodies only, without headers. Calls without a response are not counted.
type CallTraffic struct {
	// Calls is the number of calls that received a response, even if it was an error.
	Calls uint64
	// SentBytes and ReceivedBytes are the total sizes of the request bodies and
	// reply bodies.
	SentBytes, ReceivedBytes uint64
}

// callStats counts the traffic of calls by path. mu guards byPath.
type callStats struct {
	mu     sync.Mutex
	byPath map[string]CallTraffic
}

func (c *callStats) record(path string, sent, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byPath == nil {
		c.byPath = make(map[string]CallTraffic)
	}
	traffic := c.byPath[path]
	traffic.Calls++
	traffic.SentBytes += uint64(sent)
	traffic.ReceivedBytes += uint64(received)
	c.byPath[path] = traffic
}

// CallTraffic returns the traffic of calls by path since the endpoint was opened.
func (e *Endpoint) CallTraffic() map[string]CallTraffic {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	return maps.Clone(e.calls.byPath)
}
