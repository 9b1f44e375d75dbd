package backendproxy

import (
	"context"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/queue"
)

// Slot is the right to run one request on a backend server. Release it once.
type Slot struct {
	// Address is where the backend server listens.
	Address string

	admission *admission
	item      queue.ItemID
}

// Release gives the slot back.
func (s *Slot) Release() {
	if s.admission == nil {
		return
	}
	s.admission.leave(s.item)
	s.admission = nil
}

// Load is how busy a backend server is.
type Load struct {
	// Running is how many requests it runs.
	Running int
	// Queued is how many requests wait for a slot.
	Queued int
	// Slots is how many requests it runs at once.
	Slots int
	// WeightPercent is the share of its full load that it should get.
	WeightPercent int
	// FailureProbabilityPercent is how likely it is that it fails most requests now.
	FailureProbabilityPercent int
}

// loadOf returns how busy a backend server is, and whether it is known.
func (r *Registry) loadOf(id fleetconfig.BackendServerID) (Load, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[id]
	if server == nil {
		return Load{}, false
	}
	return server.admission.load(), true
}

// loads returns how busy each backend server is.
func (r *Registry) loads() map[fleetconfig.BackendServerID]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := make(map[fleetconfig.BackendServerID]Load, len(r.servers))
	for id, server := range r.servers {
		loads[id] = server.admission.load()
	}
	return loads
}

// find returns the backend server if it serves the service now.
func (r *Registry) find(id fleetconfig.BackendServerID, service fleetconfig.ServiceName, now time.Time) (*admission, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[id]
	if server == nil || server.Announcement.Service != service || now.After(server.expires) {
		return nil, ""
	}
	return server.admission, server.Announcement.Address
}

// acquire waits for a slot of a backend server. It returns nil and no refusal when
// the backend server is not beside this instance.
func (r *Registry) acquire(ctx context.Context, id fleetconfig.BackendServerID, service fleetconfig.ServiceName, item queue.Item) (*Slot, *queue.Refuse) {
	admission, address := r.find(id, service, clock.Now())
	if admission == nil {
		return nil, nil
	}
	item.ID = 0
	entered, refuse := admission.enter(ctx, item)
	if refuse != nil {
		return nil, refuse
	}
	return &Slot{Address: address, admission: admission, item: entered}, nil
}

// Running returns how many requests run on all backend servers, those that have
// left among them only while they are known.
func (r *Registry) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, server := range r.servers {
		total += server.admission.load().Running
	}
	return total
}
