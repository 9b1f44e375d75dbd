package balance

import (
	"math/rand/v2"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Limits of a pool and of one pick.
const (
	// MaxTried is how many backend servers a Tried remembers.
	MaxTried = 8
	// maxSamples bounds the random draws for one choice before a scan.
	maxSamples = 8
	// noBackend is the index of no backend server.
	noBackend = -1
	// doubtCost is the load that a certain failure weighs as much as. A backend server
	// that fails at once looks idle, so its doubt must outweigh a full queue elsewhere.
	doubtCost = 4.0
)

// Tier says how far away a backend server is.
type Tier uint8

const (
	// TierDomain is the failure domain of the ingress.
	TierDomain Tier = iota
	// TierRegion is another failure domain of the same region.
	TierRegion
	// TierRemote is another region.
	TierRemote
	tiers
)

// Exclusion is a set of reasons for which a backend server is not selected.
type Exclusion uint8

const (
	// ExcludedDraining means that the backend server is leaving.
	ExcludedDraining Exclusion = 1 << iota
	// ExcludedEjected means that the backend server is ejected.
	ExcludedEjected
	// ExcludedPath means that this ingress avoids the path to the instance.
	ExcludedPath
)

// BackendID names a backend server over the whole fleet.
type BackendID struct {
	// Instance is where the backend server runs.
	Instance fleetconfig.InstanceID
	// Server is its name there.
	Server fleetconfig.BackendServerID
}

// Backend is what an ingress knows of one backend server. It takes about 80
// bytes.
type Backend struct {
	// ID names the backend server.
	ID BackendID
	// Tier says how far away it is.
	Tier Tier
	// Slots is how many requests it runs at once.
	Slots uint32
	// ReportedInFlight is the number of its running and waiting requests, of all
	// ingresses, by its last report.
	ReportedInFlight uint32
	// Weight is the share of its full load that it should get, from 0 to 1.
	Weight float64
	// Excluded holds the reasons for which it is not selected; zero selects it.
	Excluded Exclusion
	// FailureProbability is how likely it is by evidence that it fails most requests now, from 0 to
	// 1.
	FailureProbability float64

	inFlight         uint32
	inFlightAtReport uint32
}

// load estimates the requests for each slot if one more were sent: this ingress's
// own, which it knows, and those of the others at the last report.
func (b *Backend) load() float64 {
	requests := b.inFlight + 1
	if b.ReportedInFlight > b.inFlightAtReport {
		requests += b.ReportedInFlight - b.inFlightAtReport
	}
	return float64(requests) / float64(max(1, b.Slots))
}

// cost compares backend servers: the load, and what a failed request costs in terms
// of load.
func (b *Backend) cost() float64 { return b.load() + doubtCost*b.FailureProbability }

// share is the probability with which a draw takes the backend server.
func (b *Backend) share() float64 { return b.Weight * (1 - b.FailureProbability) }

// TriedBackends lists the backend servers that a request has already been sent to.
type TriedBackends struct {
	ids   [MaxTried]BackendID
	count int
}

// Add records a backend server. Past MaxTried, nothing is recorded.
func (t *TriedBackends) Add(id BackendID) {
	if t.count < MaxTried {
		t.ids[t.count] = id
		t.count++
	}
}

func (t *TriedBackends) contains(id BackendID) bool {
	if t == nil {
		return false
	}
	for i := range t.count {
		if t.ids[i] == id {
			return true
		}
	}
	return false
}

// Policy holds the parameters of selection.
type Policy struct {
	// SpilloverLoad is the load for each slot from which a farther tier is looked at
	// too.
	SpilloverLoad float64
	// Choices is how many random backend servers are compared. Two suffice where their
	// loads are all that differs; a third one is for doubtful ones among them.
	Choices int
}

// DefaultPolicy returns the usual parameters.
func DefaultPolicy() Policy {
	return Policy{SpilloverLoad: 0.8, Choices: 3}
}

// Pool is the backend servers of one service as one ingress sees them. Its state
// grows with the number of backend servers given to Set. It is not safe for
// concurrent use.
type Pool struct {
	policy   Policy
	backends []Backend
	usable   [tiers][]int32
}

// NewPool returns an empty pool.
func NewPool(policy Policy) *Pool {
	return &Pool{policy: policy}
}

// SetPolicy changes the parameters.
func (p *Pool) SetPolicy(policy Policy) { p.policy = policy }

// Set replaces the backend servers. Requests in flight on those that stay are
// kept. Indexes from earlier picks are void; use Find.
func (p *Pool) Set(backends []Backend) {
	former := make(map[BackendID]Backend, len(p.backends))
	for _, backend := range p.backends {
		former[backend.ID] = backend
	}
	p.backends = make([]Backend, len(backends))
	for i, backend := range backends {
		backend.inFlight = former[backend.ID].inFlight
		backend.inFlightAtReport = backend.inFlight
		backend.FailureProbability = former[backend.ID].FailureProbability
		p.backends[i] = backend
	}
	p.rebuild()
}

// Find returns the index of a backend server, and whether it is in the pool.
func (p *Pool) Find(id BackendID) (int, bool) {
	for i := range p.backends {
		if p.backends[i].ID == id {
			return i, true
		}
	}
	return noBackend, false
}

// Backend returns a backend server by its index.
func (p *Pool) Backend(index int) Backend { return p.backends[index] }

// Len returns the number of backend servers, excluded ones included.
func (p *Pool) Len() int { return len(p.backends) }

// UpdateLoad records what a backend server reports of itself.
func (p *Pool) UpdateLoad(index int, inFlight uint32, weight float64) {
	backend := &p.backends[index]
	backend.ReportedInFlight = inFlight
	backend.inFlightAtReport = backend.inFlight
	backend.Weight = weight
}

// SetFailureProbability sets how likely it is that a backend server fails most requests now.
func (p *Pool) SetFailureProbability(index int, doubt float64) {
	p.backends[index].FailureProbability = doubt
}

// Exclude sets the reasons for which a backend server is not selected.
func (p *Pool) Exclude(index int, reasons Exclusion) {
	if p.backends[index].Excluded == reasons {
		return
	}
	p.backends[index].Excluded = reasons
	p.rebuild()
}

// RequestStarted records that a request was sent to a backend server.
func (p *Pool) RequestStarted(index int) { p.backends[index].inFlight++ }

// RequestEnded records that a request at a backend server has ended.
func (p *Pool) RequestEnded(index int) {
	backend := &p.backends[index]
	if backend.inFlight > 0 {
		backend.inFlight--
	}
}

// rebuild lists the usable backend servers of each tier.
func (p *Pool) rebuild() {
	for tier := range p.usable {
		p.usable[tier] = p.usable[tier][:0]
	}
	for i := range p.backends {
		if p.backends[i].Excluded == 0 {
			tier := min(p.backends[i].Tier, TierRemote)
			p.usable[tier] = append(p.usable[tier], int32(i))
		}
	}
}

// Pick selects a backend server that is neither excluded nor tried. It returns
// its index, and false when there is none.
func (p *Pool) Pick(rng *rand.Rand, tried *TriedBackends) (int, bool) {
	best := noBackend
	for tier := range p.usable {
		choice := p.pickTier(p.usable[tier], rng, tried)
		if choice == noBackend {
			continue
		}
		if best == noBackend || p.backends[choice].cost() < p.backends[best].cost() {
			best = choice
		}
		if p.backends[best].cost() < p.policy.SpilloverLoad {
			break
		}
	}
	return best, best != noBackend
}

// PickBest selects the backend server of the least cost, of those that are neither
// excluded nor tried, a nearer one when it is not loaded. It is for requests that
// have failed once already: they have no further attempt to lose.
func (p *Pool) PickBest(rng *rand.Rand, tried *TriedBackends) (int, bool) {
	best := noBackend
	for tier := range p.usable {
		usable := p.usable[tier]
		if len(usable) == 0 {
			continue
		}
		start := rng.IntN(len(usable))
		for i := range usable {
			index := int(usable[(start+i)%len(usable)])
			if tried.contains(p.backends[index].ID) {
				continue
			}
			if best == noBackend || p.backends[index].cost() < p.backends[best].cost() {
				best = index
			}
		}
		if best != noBackend && p.backends[best].cost() < p.policy.SpilloverLoad {
			break
		}
	}
	return best, best != noBackend
}

// pickTier compares random candidates of one tier.
func (p *Pool) pickTier(usable []int32, rng *rand.Rand, tried *TriedBackends) int {
	best := p.sample(usable, rng, tried, noBackend)
	if best == noBackend {
		return noBackend
	}
	for range p.policy.Choices - 1 {
		other := p.sample(usable, rng, tried, best)
		if other != noBackend && p.backends[other].cost() < p.backends[best].cost() {
			best = other
		}
	}
	return best
}

// sample draws one candidate. A backend server of weight w is taken with
// probability w. When the draws fail, a scan from a random place takes the first
// candidate whatever its weight, so that a pick fails only when there is none.
func (p *Pool) sample(usable []int32, rng *rand.Rand, tried *TriedBackends, except int) int {
	if len(usable) == 0 {
		return noBackend
	}
	for range maxSamples {
		index := int(usable[rng.IntN(len(usable))])
		backend := &p.backends[index]
		if index == except || tried.contains(backend.ID) {
			continue
		}
		if share := backend.share(); share >= 1 || rng.Float64() < share {
			return index
		}
	}
	if except != noBackend {
		return noBackend
	}
	start := rng.IntN(len(usable))
	for i := range usable {
		index := int(usable[(start+i)%len(usable)])
		if !tried.contains(p.backends[index].ID) {
			return index
		}
	}
	return noBackend
}
