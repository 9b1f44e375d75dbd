package balance

import (
	"math/rand/v2"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Limits of a pool and of one pick.
const (
	// MaxTried is the maximum number of backend servers in a TriedBackends. It is more than
	// the attempts of a request that reaches no server.
	MaxTried = 16
	// maxSamples limits the random draws for one choice before a linear scan.
	maxSamples = 8
	// noBackend is the index that stands for no backend server.
	noBackend = -1
	// failureCost is the load that is equivalent to a failure probability of one. A
	// backend server that fails requests immediately appears idle, so the penalty must
	// outweigh a full queue on another server.
	failureCost = 4.0
	// sheddingCost is the load that is equivalent to a server that sheds all requests. Such a
	// request takes another hop and a repeat, but is not lost.
	sheddingCost = 2.0
	// slownessCost is the load that is equivalent to a server that takes one service time
	// longer than usual. It is less than one, because requests stay longer on a slow server,
	// so that the load by itself gives it fewer.
	slownessCost = 0.3
	// minCostWeight bounds the effect of a low weight on the cost.
	minCostWeight = 0.05
)

// Tier is the distance of a backend server from the ingress.
type Tier uint8

const (
	// TierDomain is the failure domain of the ingress.
	TierDomain Tier = iota
	// TierRegion is another failure domain of the same region.
	TierRegion
	// TierRemote is another region.
	TierRemote
	tierCount
)

// Exclusion is a set of reasons for which a backend server is not selected.
type Exclusion uint8

const (
	// ExcludedDraining means that the backend server is draining.
	ExcludedDraining Exclusion = 1 << iota
	// ExcludedEjected means that the backend server is ejected.
	ExcludedEjected
	// ExcludedPath means that this ingress avoids the path to the instance.
	ExcludedPath
	// ExcludedRate means that the rate that the backend server advertises admits no request
	// now.
	ExcludedRate
	// ExcludedRefused means that the proxy of the backend server has just refused a request
	// without regard to its load.
	ExcludedRefused
)

// BackendID identifies a backend server in the whole fleet.
type BackendID struct {
	// Instance is the instance on which the backend server runs.
	Instance fleetconfig.InstanceID
	// Server is the ID of the backend server on that instance.
	Server fleetconfig.BackendServerID
}

// Backend is the state of one backend server as seen by an ingress. It takes about 130
// bytes.
type Backend struct {
	// ID identifies the backend server.
	ID BackendID
	// Tier is the distance of the backend server.
	Tier Tier
	// Started tells the processes of the backend server and of its proxy apart.
	Started int64
	// Slots is the number of requests that it runs concurrently.
	Slots uint32
	// ReportedInFlight is the number of its running and waiting requests from all
	// ingresses, according to its last report.
	ReportedInFlight uint32
	// Weight is the load that the backend server should receive, as a share of its full load,
	// from 0 to 1.
	Weight float64
	// Excluded holds the reasons for which it is not selected. Zero means that it can be
	// selected.
	Excluded Exclusion
	// FailureProbability is derived from the probability that the backend server currently
	// fails most requests. The part of this probability that exceeds the probability of a
	// server without evidence is scaled to 0 to 1 (health.ExcessFailureProbability).
	FailureProbability float64
	// Shedding is the share of its recent requests that the backend server has refused to run.
	Shedding float64
	// Slowness is its service times relative to the usual ones of the same requests. Zero
	// means that they are not known, and counts as one.
	Slowness float64

	// inFlight is the number of requests from this ingress in flight, inFlightAtReport that
	// number at the time of the last report or of Pool.Set.
	inFlight         uint32
	inFlightAtReport uint32
}

// load estimates the requests per slot if one more request were sent. It adds this
// ingress's own current requests to those of the other ingresses at the time of the last
// report.
func (b *Backend) load() float64 {
	requests := b.inFlight + 1
	if b.ReportedInFlight > b.inFlightAtReport {
		requests += b.ReportedInFlight - b.inFlightAtReport
	}
	return float64(requests) / float64(max(1, b.Slots))
}

// SentSinceReport returns how many more requests of this ingress are in flight than at the
// time of the last report.
func (b *Backend) SentSinceReport() uint32 {
	return b.inFlight - min(b.inFlight, b.inFlightAtReport)
}

// cost returns the value by which backend servers are compared: the load plus the penalties
// for probable failure and for slowness.
func (b *Backend) cost() float64 { return b.load() + b.penalty() }

// penalty returns the part of the cost that does not depend on the load.
func (b *Backend) penalty() float64 {
	penalty := failureCost*b.FailureProbability + sheddingCost*b.Shedding
	if b.Slowness > 0 {
		penalty += slownessCost * (b.Slowness - 1)
	}
	return penalty
}

// weightedCost is the cost if the backend server had only the slots that its weight permits.
// It is used where all servers are compared, without random draws by weight.
func (b *Backend) weightedCost() float64 {
	return b.load()/max(b.Weight, minCostWeight) + b.penalty()
}

// drawProbability returns the probability that a random draw accepts the backend server.
func (b *Backend) drawProbability() float64 { return b.Weight * (1 - b.FailureProbability) }

// TriedBackends is the set of backend servers to which a request has already been sent.
type TriedBackends struct {
	ids   [MaxTried]BackendID
	count int
}

// Add adds a backend server. Once the set holds MaxTried servers, further ones are
// ignored.
func (t *TriedBackends) Add(id BackendID) {
	if t.count < MaxTried {
		t.ids[t.count] = id
		t.count++
	}
}

// Contains reports whether a backend server is in the set. The set may be nil.
func (t *TriedBackends) Contains(id BackendID) bool {
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

// Policy holds the parameters of the selection.
type Policy struct {
	// SpilloverLoad limits the cost, in requests per slot. If the best backend server found
	// so far costs at least this much, the next farther tier is considered too.
	SpilloverLoad float64
	// KeepReports keeps the reports of backend servers that remain when the pool is replaced.
	KeepReports bool
	// HopCost is by how much the cost of a backend server of a farther tier must be lower, in
	// requests per slot.
	HopCost float64
	// Choices is the number of random backend servers that are compared. Two suffice if
	// servers differ only in load; the third allows for failing servers among them.
	Choices int
}

// DefaultPolicy returns the default parameters.
func DefaultPolicy() Policy {
	return Policy{SpilloverLoad: 0.8, Choices: 3}
}

// Pool holds the backend servers of one service as seen by one ingress. Its size grows
// with the number of backend servers passed to Set. It is not safe for concurrent use.
type Pool struct {
	policy   Policy
	backends []Backend
	usable   [tierCount][]int32
}

// NewPool returns an empty pool.
func NewPool(policy Policy) *Pool {
	return &Pool{policy: policy}
}

// SetPolicy changes the parameters.
func (p *Pool) SetPolicy(policy Policy) { p.policy = policy }

// Set replaces the backend servers. Servers that remain keep their in-flight requests, weight
// and failure probability, and with Policy.KeepReports what was reported of them. Indexes from
// earlier picks become invalid; use Find.
func (p *Pool) Set(backends []Backend) {
	previous := make(map[BackendID]Backend, len(p.backends))
	for _, backend := range p.backends {
		previous[backend.ID] = backend
	}
	p.backends = make([]Backend, len(backends))
	for i, backend := range backends {
		last, known := previous[backend.ID]
		if known {
			backend.inFlight = last.inFlight
			backend.Weight = last.Weight
			backend.FailureProbability = last.FailureProbability
		}
		backend.inFlightAtReport = backend.inFlight
		if known && p.policy.KeepReports && last.Started == backend.Started {
			backend.keepReport(&last)
		}
		p.backends[i] = backend
	}
	p.rebuildTiers()
}

// keepReport takes over what was last reported of the backend server.
func (b *Backend) keepReport(last *Backend) {
	b.ReportedInFlight, b.inFlightAtReport = last.ReportedInFlight, last.inFlightAtReport
	b.Slowness, b.Shedding = last.Slowness, last.Shedding
}

// ForgetLoad removes the load and weight that a backend server reported, which then counts as
// idle but for the requests of this ingress.
func (p *Pool) ForgetLoad(index int) {
	backend := &p.backends[index]
	backend.ReportedInFlight = 0
	backend.Weight = 1
	backend.inFlightAtReport = backend.inFlight
}

// Policy returns the parameters.
func (p *Pool) Policy() Policy { return p.policy }

// KeepsReports returns Policy.KeepReports.
func (p *Pool) KeepsReports() bool { return p.policy.KeepReports }

// Find returns the index of a backend server and whether it is in the pool.
func (p *Pool) Find(id BackendID) (int, bool) {
	for i := range p.backends {
		if p.backends[i].ID == id {
			return i, true
		}
	}
	return noBackend, false
}

// Backend returns the backend server at an index.
func (p *Pool) Backend(index int) Backend { return p.backends[index] }

// Len returns the number of backend servers, including excluded ones.
func (p *Pool) Len() int { return len(p.backends) }

// UpdateLoad records the load and weight that a backend server reported.
func (p *Pool) UpdateLoad(index int, inFlight uint32, weight float64) {
	backend := &p.backends[index]
	backend.ReportedInFlight = inFlight
	backend.inFlightAtReport = backend.inFlight
	backend.Weight = weight
}

// SetWeight sets the Weight of a backend server.
func (p *Pool) SetWeight(index int, weight float64) { p.backends[index].Weight = weight }

// SetFailureProbability sets the FailureProbability of a backend server.
func (p *Pool) SetFailureProbability(index int, probability float64) {
	p.backends[index].FailureProbability = probability
}

// Exclude sets the reasons for which a backend server is not selected.
func (p *Pool) Exclude(index int, reasons Exclusion) {
	if p.backends[index].Excluded == reasons {
		return
	}
	p.backends[index].Excluded = reasons
	p.rebuildTiers()
}

// SetShedding sets the Shedding of a backend server.
func (p *Pool) SetShedding(index int, share float64) { p.backends[index].Shedding = share }

// SetSlowness sets the Slowness of a backend server.
func (p *Pool) SetSlowness(index int, slowness float64) { p.backends[index].Slowness = slowness }

// Saturated reports whether the load of a backend server and the penalty for its probable
// failure are those of one whose slots are all in use.
func (p *Pool) Saturated(index int) bool {
	backend := &p.backends[index]
	return backend.load()+failureCost*backend.FailureProbability > 1
}

// RequestStarted records that a request was sent to a backend server.
func (p *Pool) RequestStarted(index int) { p.backends[index].inFlight++ }

// RequestEnded records that a request to a backend server has ended.
func (p *Pool) RequestEnded(index int) {
	backend := &p.backends[index]
	if backend.inFlight > 0 {
		backend.inFlight--
	}
}

// rebuildTiers rebuilds the lists of usable backend servers by tier.
func (p *Pool) rebuildTiers() {
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

// Pick selects a backend server that is neither excluded nor tried. It returns its index,
// or false if there is none.
func (p *Pool) Pick(rng *rand.Rand, tried *TriedBackends) (int, bool) {
	best := noBackend
	for tier := range p.usable {
		choice := p.pickTier(p.usable[tier], rng, tried)
		if choice == noBackend {
			continue
		}
		if best == noBackend || p.backends[choice].cost()+p.policy.HopCost < p.backends[best].cost() {
			best = choice
		}
		if p.backends[best].cost() < p.policy.SpilloverLoad {
			break
		}
	}
	return best, best != noBackend
}

// PickBest selects a backend server that is neither excluded nor tried. Unlike Pick it
// compares all such servers of a tier instead of a random few. It considers a farther
// tier only if the cost of the best server of the nearer tiers is at least SpilloverLoad.
// PickBest is meant for requests that have already failed once and cannot afford another
// failed attempt.
func (p *Pool) PickBest(rng *rand.Rand, tried *TriedBackends) (int, bool) {
	return p.pickBest(rng, func(backend *Backend) bool { return !tried.Contains(backend.ID) })
}

// PickSound is like PickBest, but selects only backend servers whose failure probability is
// below the given one and whose load is less than what certain failure costs.
func (p *Pool) PickSound(rng *rand.Rand, tried *TriedBackends, maxFailureProbability float64) (int, bool) {
	return p.pickBest(rng, func(backend *Backend) bool {
		return backend.FailureProbability < maxFailureProbability && backend.load() < failureCost && !tried.Contains(backend.ID)
	})
}

// PickBestOf is like PickBest, but selects only backend servers that accept permits. accept
// must not call the pool.
func (p *Pool) PickBestOf(rng *rand.Rand, tried *TriedBackends, accept func(*Backend) bool) (int, bool) {
	return p.pickBest(rng, func(backend *Backend) bool { return !tried.Contains(backend.ID) && accept(backend) })
}

// pickBest selects the backend server of the lowest cost among those that accept permits.
func (p *Pool) pickBest(rng *rand.Rand, accept func(*Backend) bool) (int, bool) {
	best := noBackend
	for tier := range p.usable {
		usable := p.usable[tier]
		if len(usable) == 0 {
			continue
		}
		start := rng.IntN(len(usable))
		for i := range usable {
			index := int(usable[(start+i)%len(usable)])
			if !accept(&p.backends[index]) {
				continue
			}
			if best == noBackend || p.backends[index].weightedCost() < p.backends[best].weightedCost() {
				best = index
			}
		}
		if best != noBackend && p.backends[best].weightedCost() < p.policy.SpilloverLoad {
			break
		}
	}
	return best, best != noBackend
}

// pickTier compares random candidates of one tier and returns the one of the lowest cost.
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

// sample draws one candidate other than the index except, or returns noBackend. A draw
// accepts a backend server with the server's drawProbability. If all draws fail and
// except is noBackend, a scan from a random position returns the first untried server
// regardless of its drawProbability, so that a pick fails only if no server is untried.
func (p *Pool) sample(usable []int32, rng *rand.Rand, tried *TriedBackends, except int) int {
	if len(usable) == 0 {
		return noBackend
	}
	for range maxSamples {
		index := int(usable[rng.IntN(len(usable))])
		backend := &p.backends[index]
		if index == except || tried.Contains(backend.ID) {
			continue
		}
		if probability := backend.drawProbability(); probability >= 1 || rng.Float64() < probability {
			return index
		}
	}
	if except != noBackend {
		return noBackend
	}
	start := rng.IntN(len(usable))
	for i := range usable {
		index := int(usable[(start+i)%len(usable)])
		if !tried.Contains(p.backends[index].ID) {
			return index
		}
	}
	return noBackend
}
