package transport

import (
	"maps"
	"sync"
)

// CallTraffic is what the calls to one path have cost this instance as their
// sender: bodies only.
type CallTraffic struct {
	// Calls is how many calls were made.
	Calls uint64
	// SentBytes and ReceivedBytes are the sizes of requests and replies.
	SentBytes, ReceivedBytes uint64
}

// callStats counts the traffic of calls by path.
type callStats struct {
	mu     sync.Mutex
	byPath map[string]CallTraffic
}

func (c *callStats) add(path string, sent, received int) {
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

// CallTraffic returns what the calls to each path have cost so far.
func (e *Endpoint) CallTraffic() map[string]CallTraffic {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	return maps.Clone(e.calls.byPath)
}
