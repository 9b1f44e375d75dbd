package selection

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
)

// Selector chooses by two random choices: of two random backend servers it takes
// the one with fewer requests in flight from here for its slots. It is safe for
// concurrent use.
type Selector struct {
	members func() *gossip.Snapshot

	mu       sync.Mutex
	inFlight map[serverKey]int
}

// serverKey identifies a backend server in the fleet.
type serverKey struct {
	instance fleetconfig.InstanceID
	server   fleetconfig.BackendServerID
}

// New returns a selector over the members that the function returns.
func New(members func() *gossip.Snapshot) *Selector {
	return &Selector{members: members, inFlight: make(map[serverKey]int)}
}

// Pick implements ingress.Selector.
func (s *Selector) Pick(exchange *pipeline.Exchange, tried []ingress.Candidate) (ingress.Candidate, bool) {
	snapshot := s.members()
	var usable []gossip.Placed
	for _, placed := range snapshot.Servers(exchange.Route.Service) {
		if s.usable(placed, tried) {
			usable = append(usable, placed)
		}
	}
	if len(usable) == 0 {
		return ingress.Candidate{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first := usable[rand.IntN(len(usable))]
	second := usable[rand.IntN(len(usable))]
	if s.share(second) < s.share(first) {
		first = second
	}
	s.inFlight[keyOf(first)]++
	candidate := ingress.Candidate{Instance: first.Member.Record.ID, Server: first.Server.ID, Address: first.Member.Record.Address}
	if candidate.Instance == snapshot.Self {
		candidate.Address = ""
	}
	return candidate, true
}

// Done implements ingress.Selector.
func (s *Selector) Done(attempt *ingress.Attempt) {
	key := serverKey{instance: attempt.Candidate.Instance, server: attempt.Candidate.Server}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[key]--
	if s.inFlight[key] <= 0 {
		delete(s.inFlight, key)
	}
}

func (s *Selector) usable(placed gossip.Placed, tried []ingress.Candidate) bool {
	if placed.Server.State != membership.ServerReady || placed.Server.Ejected || !placed.Member.Usable() {
		return false
	}
	return !slices.ContainsFunc(tried, func(c ingress.Candidate) bool {
		return c.Instance == placed.Member.Record.ID && c.Server == placed.Server.ID
	})
}

// share returns the requests in flight for each slot. The caller holds the lock.
func (s *Selector) share(placed gossip.Placed) float64 {
	return float64(s.inFlight[keyOf(placed)]) / float64(max(placed.Server.Slots, 1))
}

func keyOf(placed gossip.Placed) serverKey {
	return serverKey{instance: placed.Member.Record.ID, server: placed.Server.ID}
}
