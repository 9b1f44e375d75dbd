package testbed

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// relayBufferBytes holds the largest datagram.
const relayBufferBytes = 64 << 10

// Relay passes the datagrams between the instances of a fleet on and drops those
// of cut directions. Each instance is reached at its fleet address, where the
// relay listens, and listens itself at its listen address.
type Relay struct {
	mu  sync.RWMutex
	cut map[direction]bool
	// disturbed is what happens to datagrams on their way to an instance.
	disturbed map[fleetconfig.InstanceID]Impairment
	names     map[string]fleetconfig.InstanceID
	sockets   []*net.UDPConn
}

// Impairment is what a relay does to what reaches an instance.
type Impairment struct {
	// Delay is how long each datagram is held back.
	Delay time.Duration
	// Loss is the share of datagrams that are dropped, from 0 to 1.
	Loss float64
}

// direction is the way from one instance to another.
type direction struct {
	from, to fleetconfig.InstanceID
}

// StartRelay relays for all instances of a layout made with listen addresses.
func StartRelay(layout *Layout) (*Relay, error) {
	relay := &Relay{
		cut:       make(map[direction]bool),
		disturbed: make(map[fleetconfig.InstanceID]Impairment),
		names:     make(map[string]fleetconfig.InstanceID),
	}
	for _, instance := range layout.Instances {
		relay.names[instance.ListenAddress] = instance.ID
	}
	for _, instance := range layout.Instances {
		if err := relay.serve(instance); err != nil {
			relay.Close()
			return nil, err
		}
	}
	return relay, nil
}

// Block drops what one instance sends to another, in this direction only.
func (r *Relay) Block(from, to fleetconfig.InstanceID) { r.set(from, to, true) }

// Unblock ends a cut.
func (r *Relay) Unblock(from, to fleetconfig.InstanceID) { r.set(from, to, false) }

func (r *Relay) set(from, to fleetconfig.InstanceID, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[direction{from, to}] = cut
}

// Isolate cuts an instance off from all others in both directions, or joins it
// again.
func (r *Relay) Isolate(instance fleetconfig.InstanceID, isolated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.names {
		if other != instance {
			r.cut[direction{instance, other}] = isolated
			r.cut[direction{other, instance}] = isolated
		}
	}
}

// SetImpairment disturbs what reaches an instance, until it is called with the zero value.
func (r *Relay) SetImpairment(instance fleetconfig.InstanceID, disturbance Impairment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[instance] = disturbance
}

// pass hands a datagram to send, unless it is lost, at once or after its delay.
func (r *Relay) pass(from, to fleetconfig.InstanceID, datagram []byte, send func([]byte)) {
	r.mu.RLock()
	cut, disturbance := r.cut[direction{from, to}], r.disturbed[to]
	r.mu.RUnlock()
	switch {
	case cut || (disturbance.Loss > 0 && rand.Float64() < disturbance.Loss):
	case disturbance.Delay > 0:
		held := slices.Clone(datagram)
		time.AfterFunc(disturbance.Delay, func() { send(held) })
	default:
		send(datagram)
	}
}

// Close stops relaying.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, socket := range r.sockets {
		_ = socket.Close()
	}
}

func (r *Relay) keep(socket *net.UDPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sockets = append(r.sockets, socket)
}

// serve relays the datagrams to one instance. Each sender gets a socket of its
// own towards the instance, over which the answers come back.
func (r *Relay) serve(instance Instance) error {
	address, err := net.ResolveUDPAddr("udp", instance.FleetAddress)
	if err != nil {
		return errors.Wrap(err, "resolve the fleet address")
	}
	front, err := net.ListenUDP("udp", address)
	if err != nil {
		return errors.Wrap(err, "listen for the relay")
	}
	r.keep(front)
	go r.forward(front, instance)
	return nil
}

func (r *Relay) forward(front *net.UDPConn, instance Instance) {
	backs := make(map[string]*net.UDPConn)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, sender, err := front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		from := r.names[sender.String()]
		back := backs[sender.String()]
		if back == nil {
			if back = r.openBack(front, instance, from, sender); back == nil {
				return
			}
			backs[sender.String()] = back
		}
		r.pass(from, instance.ID, buffer[:n], func(datagram []byte) { _, _ = back.Write(datagram) })
	}
}

// openBack connects a socket to the instance and passes its answers on to the
// sender.
func (r *Relay) openBack(front *net.UDPConn, instance Instance, from fleetconfig.InstanceID, sender *net.UDPAddr) *net.UDPConn {
	target, err := net.ResolveUDPAddr("udp", instance.ListenAddress)
	if err != nil {
		return nil
	}
	back, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	r.keep(back)
	go func() {
		buffer := make([]byte, relayBufferBytes)
		for {
			n, err := back.Read(buffer)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				r.pass(instance.ID, from, buffer[:n], func(datagram []byte) { _, _ = front.WriteToUDP(datagram, sender) })
			}
		}
	}()
	return back
}
