package backendproxy

import (
	"context"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/queue"
	"github.com/hemlockring/hemlockring/throttle"
)

// Slot is permission to run one request on a backend server. It must be released.
type Slot struct {
	// Address is where the backend server listens.
	Address string

	admission *admissionQueue
	itemID    queue.ItemID
}

// Release frees the slot. Calls after the first have no effect. It is not safe for
// concurrent use.
func (s *Slot) Release() {
	if s.admission == nil {
		return
	}
	s.admission.release(s.itemID)
	s.admission = nil
}

// recordResponse records that the backend server has responded to the request of the slot
// after the given time. expected is the usual time of such a request, or zero.
func (s *Slot) recordResponse(took, expected time.Duration) {
	if s.admission != nil {
		s.admission.recordResponse(took, expected)
	}
}

// Load is the load and health of a backend server.
type Load struct {
	// Running is the number of requests that are running.
	Running int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// Slots is the number of requests that may run concurrently.
	Slots int
	// WeightPercent is the share of its full load that the server should get.
	WeightPercent int
	// FailureProbabilityPercent is the probability that the server fails most requests
	// now.
	FailureProbabilityPercent int
	// SheddingPercent is the share of its recent requests that the server has refused to run.
	SheddingPercent int
	// NoRepeats says that the server may receive no repeats now.
	NoRepeats bool
	// Rate is the state of the limit on the rate of requests.
	Rate throttle.State
	// Leaving says that the backend server has stated its exit. LeavingProcess is then the
	// announced start of its process in Unix milliseconds, zero if it announces none.
	Leaving        bool
	LeavingProcess int64
	// Outlook says how long requests would wait for a slot.
	Outlook queue.Outlook
	// Slowness is the server's service times relative to the usual ones of the same requests,
	// or 0 if it is not known.
	Slowness float64
}

// loadOf returns the load of a backend server, without its health, and whether the server
// is registered.
func (r *Registry) loadOf(id fleetconfig.BackendServerID) (Load, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[id]
	if server == nil {
		return Load{}, false
	}
	return r.load(server), true
}

// load returns the load of a server, without its health. The caller must hold mu.
func (r *Registry) load(server *Server) Load {
	load := server.load()
	if limits, limited := r.limits.RepeatLimits(server.Announcement.Service); limited {
		load.NoRepeats = !server.repeats.HasCredit(limits, clock.Now())
	}
	return load
}

// load returns the load of the server, without its health.
func (s *Server) load() Load {
	load := s.admission.load()
	if s.leaving {
		load.Leaving, load.LeavingProcess = true, s.Announcement.ProcessStartUnixMilli
	}
	return load
}

// appointNext returns the time after which the ingress of the last request to a backend
// server should send its next one, because of the rate that the server advertises.
func (r *Registry) appointNext(id fleetconfig.BackendServerID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.servers[id]; server != nil {
		return server.admission.appointNext()
	}
	return 0
}

// loads returns the load of each backend server, without its health.
func (r *Registry) loads() map[fleetconfig.BackendServerID]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := make(map[fleetconfig.BackendServerID]Load, len(r.servers))
	for id, server := range r.servers {
		loads[id] = r.load(server)
	}
	return loads
}

// AdvertisedRate returns the sum of the rates that the backend servers advertise, in
// requests per second, and how many of them advertise one. Cold servers are left out.
func (r *Registry) AdvertisedRate() (perSecond float64, limited int) {
	for _, load := range r.loads() {
		if load.Rate.Limited && !load.Rate.Cold {
			perSecond += load.Rate.PerSecond
			limited++
		}
	}
	return perSecond, limited
}

// lookup returns the admission queue and address of a backend server. It returns nil when
// the server is not registered for the service or its announcement has expired.
func (r *Registry) lookup(id fleetconfig.BackendServerID, service fleetconfig.ServiceName, now time.Time) (*admissionQueue, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[id]
	if server == nil || server.Announcement.Service != service || now.After(server.expiresAt) {
		return nil, ""
	}
	return server.admission, server.Announcement.Address
}

// acquire waits for a slot of a backend server. It returns neither a slot nor a refusal
// when the server is not registered at this instance for the service.
func (r *Registry) acquire(ctx context.Context, id fleetconfig.BackendServerID, service fleetconfig.ServiceName, item queue.Item) (*Slot, *queue.Refuse) {
	admission, address := r.lookup(id, service, clock.Now())
	if admission == nil {
		return nil, nil
	}
	item.ID = 0
	itemID, refuse := admission.acquire(ctx, item)
	if refuse != nil {
		return nil, refuse
	}
	r.recordSent(id)
	return &Slot{Address: address, admission: admission, itemID: itemID}, nil
}

// recordSent counts a request for which a slot of the backend server was assigned.
func (r *Registry) recordSent(id fleetconfig.BackendServerID) {
	r.sent.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.servers[id]; server != nil {
		server.sent++
	}
}

// Running returns how many requests run on the registered backend servers. Requests that
// still run on a removed backend server are not counted.
func (r *Registry) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, server := range r.servers {
		total += server.admission.load().Running
	}
	return total
}
