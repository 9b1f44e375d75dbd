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

// relayBufferBytes is the buffer size of a relay. It is larger than any datagram.
const relayBufferBytes = 64 << 10

// Relay forwards the datagrams between the instances of a fleet and can drop or delay them.
// It listens on the fleet address of each instance, which the others send to, and forwards
// to the instance's listen address. It is safe for concurrent use.
type Relay struct {
	mu      sync.RWMutex
	blocked map[link]bool
	// impairments holds the impairment of the datagrams to an instance.
	impairments     map[fleetconfig.InstanceID]Impairment
	byListenAddress map[string]fleetconfig.InstanceID
	sockets         []*net.UDPConn
}

// Impairment is what a Relay does to the datagrams to an instance.
type Impairment struct {
	// Delay is the delay of each datagram.
	Delay time.Duration
	// Loss is the share of datagrams that are dropped, from 0 to 1.
	Loss float64
}

// link is one direction between two instances.
type link struct {
	from, to fleetconfig.InstanceID
}

// StartRelay starts a relay for all instances of a layout made by CreateRelayed.
func StartRelay(layout *Layout) (*Relay, error) {
	relay := &Relay{
		blocked:         make(map[link]bool),
		impairments:     make(map[fleetconfig.InstanceID]Impairment),
		byListenAddress: make(map[string]fleetconfig.InstanceID),
	}
	for _, instance := range layout.Instances {
		relay.byListenAddress[instance.ListenAddress] = instance.ID
	}
	for _, instance := range layout.Instances {
		if err := relay.startRelaying(instance); err != nil {
			relay.Close()
			return nil, err
		}
	}
	return relay, nil
}

// Block drops the datagrams that one instance sends to another, in this direction only.
func (r *Relay) Block(from, to fleetconfig.InstanceID) { r.setBlocked(from, to, true) }

// Unblock reverts Block.
func (r *Relay) Unblock(from, to fleetconfig.InstanceID) { r.setBlocked(from, to, false) }

func (r *Relay) setBlocked(from, to fleetconfig.InstanceID, blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[link{from, to}] = blocked
}

// Isolate blocks all datagrams between an instance and the others if isolated is true, and
// unblocks them otherwise.
func (r *Relay) Isolate(instance fleetconfig.InstanceID, isolated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.byListenAddress {
		if other != instance {
			r.blocked[link{instance, other}] = isolated
			r.blocked[link{other, instance}] = isolated
		}
	}
}

// SetImpairment sets the impairment of the datagrams to an instance. The zero value
// removes it.
func (r *Relay) SetImpairment(instance fleetconfig.InstanceID, impairment Impairment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.impairments[instance] = impairment
}

// deliver calls send with a datagram, immediately or after the delay, unless the datagram
// is dropped.
func (r *Relay) deliver(from, to fleetconfig.InstanceID, datagram []byte, send func([]byte)) {
	r.mu.RLock()
	blocked, impairment := r.blocked[link{from, to}], r.impairments[to]
	r.mu.RUnlock()
	switch {
	case blocked || (impairment.Loss > 0 && rand.Float64() < impairment.Loss):
	case impairment.Delay > 0:
		copied := slices.Clone(datagram)
		time.AfterFunc(impairment.Delay, func() { send(copied) })
	default:
		send(datagram)
	}
}

// Close closes all sockets of the relay.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, socket := range r.sockets {
		_ = socket.Close()
	}
}

func (r *Relay) trackSocket(socket *net.UDPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sockets = append(r.sockets, socket)
}

// startRelaying starts to relay the datagrams to one instance. Each sender gets a separate
// socket to the instance, over which the instance's replies return.
func (r *Relay) startRelaying(instance Instance) error {
	address, err := net.ResolveUDPAddr("udp", instance.FleetAddress)
	if err != nil {
		return errors.Wrap(err, "resolve the fleet address")
	}
	senderSocket, err := net.ListenUDP("udp", address)
	if err != nil {
		return errors.Wrap(err, "listen on the fleet address")
	}
	r.trackSocket(senderSocket)
	go r.forwardToInstance(senderSocket, instance)
	return nil
}

func (r *Relay) forwardToInstance(senderSocket *net.UDPConn, instance Instance) {
	instanceSockets := make(map[string]*net.UDPConn)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, sender, err := senderSocket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		from := r.byListenAddress[sender.String()]
		instanceSocket := instanceSockets[sender.String()]
		if instanceSocket == nil {
			if instanceSocket = r.openInstanceSocket(senderSocket, instance, from, sender); instanceSocket == nil {
				return
			}
			instanceSockets[sender.String()] = instanceSocket
		}
		r.deliver(from, instance.ID, buffer[:n], func(datagram []byte) { _, _ = instanceSocket.Write(datagram) })
	}
}

// openInstanceSocket opens a socket to the instance and forwards the instance's replies to
// the sender. It returns nil if the socket can not be opened.
func (r *Relay) openInstanceSocket(senderSocket *net.UDPConn, instance Instance, from fleetconfig.InstanceID, sender *net.UDPAddr) *net.UDPConn {
	target, err := net.ResolveUDPAddr("udp", instance.ListenAddress)
	if err != nil {
		return nil
	}
	instanceSocket, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	r.trackSocket(instanceSocket)
	go func() {
		buffer := make([]byte, relayBufferBytes)
		for {
			n, err := instanceSocket.Read(buffer)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				r.deliver(instance.ID, from, buffer[:n], func(datagram []byte) { _, _ = senderSocket.WriteToUDP(datagram, sender) })
			}
		}
	}()
	return instanceSocket
}
