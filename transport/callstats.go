package transport

import (
	"io"
	"maps"
	"sync"
	"sync/atomic"
)

// Kinds of traffic other than calls, whose kind is their path.
const (
	// KindRequest is the requests of callers that RoundTrip sends.
	KindRequest = "request"
	// KindDatagram is the datagrams of Datagrams.
	KindDatagram = "datagram"
)

// CallTraffic counts the traffic of one kind that this instance has begun. Sizes include
// bodies only, without headers. Calls and requests without a response are not counted.
type CallTraffic struct {
	// Calls is the number of calls or requests that received a response, even if it was an
	// error, and of datagrams that were sent.
	Calls uint64
	// SentBytes and ReceivedBytes are the total sizes of the request bodies and
	// reply bodies. Request bodies of unknown length are not counted.
	SentBytes, ReceivedBytes uint64
}

func (c *CallTraffic) add(other CallTraffic) {
	c.Calls += other.Calls
	c.SentBytes += other.SentBytes
	c.ReceivedBytes += other.ReceivedBytes
}

// TrafficKind is traffic that is counted together.
type TrafficKind struct {
	// Name is the path of the calls, or KindRequest or KindDatagram.
	Name string
	// Far reports whether the other instance is in another failure domain.
	Far bool
}

// callStats counts traffic by kind. mu guards byKind.
type callStats struct {
	mu     sync.Mutex
	byKind map[TrafficKind]CallTraffic
}

func (c *callStats) record(kind TrafficKind, sent, received int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKind == nil {
		c.byKind = make(map[TrafficKind]CallTraffic)
	}
	traffic := c.byKind[kind]
	traffic.add(CallTraffic{Calls: 1, SentBytes: uint64(sent), ReceivedBytes: uint64(received)})
	c.byKind[kind] = traffic
}

// kindOf returns the kind of traffic with the instance at an address.
func (e *Endpoint) kindOf(name, address string) TrafficKind {
	return TrafficKind{Name: name, Far: e.config.IsFar != nil && e.config.IsFar(address)}
}

// TrafficByKind returns the traffic by kind since the endpoint was opened.
func (e *Endpoint) TrafficByKind() map[TrafficKind]CallTraffic {
	e.calls.mu.Lock()
	defer e.calls.mu.Unlock()
	return maps.Clone(e.calls.byKind)
}

// CallTraffic returns the traffic by name of the kind since the endpoint was opened.
func (e *Endpoint) CallTraffic() map[string]CallTraffic {
	byName := make(map[string]CallTraffic)
	for kind, traffic := range e.TrafficByKind() {
		sum := byName[kind.Name]
		sum.add(traffic)
		byName[kind.Name] = sum
	}
	return byName
}

// countedBody is the body of a response to a request, which is counted when it is closed.
type countedBody struct {
	io.ReadCloser
	stats    *callStats
	kind     TrafficKind
	sent     int64
	received atomic.Int64
	once     sync.Once
}

// Read implements io.Reader.
func (b *countedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.received.Add(int64(n))
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.once.Do(func() { b.stats.record(b.kind, b.sent, b.received.Load()) })
	return b.ReadCloser.Close()
}
