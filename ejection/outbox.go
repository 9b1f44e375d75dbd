package ejection

import (
	"context"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
)

// outbox holds what waits to be sent to the permit owner of a service: the newest
// report and ask of each backend server.
type outbox struct {
	service  fleetconfig.ServiceName
	reports  map[fleetconfig.BackendServerID]health.Report
	asks     map[fleetconfig.BackendServerID]health.PermitRequest
	releases []Release
	underWay bool

	// owner is the instance that answered as owner last, or was named as such.
	owner fleetconfig.InstanceID
	// turn chooses the replica to ask while no owner is known.
	turn int
}

func newOutbox(service fleetconfig.ServiceName) *outbox {
	box := &outbox{service: service}
	box.clear()
	return box
}

func (o *outbox) clear() {
	o.reports = make(map[fleetconfig.BackendServerID]health.Report)
	o.asks = make(map[fleetconfig.BackendServerID]health.PermitRequest)
	o.releases = nil
}

func (o *outbox) add(server fleetconfig.BackendServerID, action health.Action) {
	switch action := action.(type) {
	case health.SendReport:
		o.reports[server] = action.Report
	case health.RequestPermit:
		o.asks[server] = action.Request
	case health.ReleasePermit:
		o.releases = append(o.releases, Release{Server: server, ID: action.ID})
	}
}

func (o *outbox) empty() bool {
	return len(o.reports) == 0 && len(o.asks) == 0 && len(o.releases) == 0
}

// take empties the outbox into a batch.
func (o *outbox) take() *Batch {
	batch := &Batch{Service: o.service, Releases: o.releases}
	for _, report := range o.reports {
		batch.Reports = append(batch.Reports, report)
	}
	for _, ask := range o.asks {
		batch.PermitRequests = append(batch.PermitRequests, ask)
	}
	o.clear()
	return batch
}

// sendOutboxes starts a call for each service that has something to say and no
// call under way.
func (s *Service) sendOutboxes(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, box := range s.outbox {
		if box.underWay || box.empty() {
			continue
		}
		box.underWay = true
		go s.send(ctx, box, box.take())
	}
}

func (s *Service) send(ctx context.Context, box *outbox, batch *Batch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, from, err := s.callOwner(ctx, box, batch)
	if err != nil {
		s.logger.Debug("permit owner not reached", "service", batch.Service, "error", err)
	} else {
		s.deliver(reply, clock.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	box.underWay = false
	switch {
	case err != nil:
		box.owner = ""
		box.turn++
	case reply.NotOwner:
		box.owner = reply.Owner
		box.turn++
	default:
		box.owner = from
	}
}

// callOwner sends the batch to the owner, by a function call when that is this
// instance.
func (s *Service) callOwner(ctx context.Context, box *outbox, batch *Batch) (reply *BatchReply, from fleetconfig.InstanceID, err error) {
	if _, held := s.shards.HoldsService(batch.Service, clock.Now()); held {
		reply, err = s.handleBatch(ctx, s.self, batch)
		return reply, s.self, err
	}
	target, ok := s.target(box)
	if !ok || target.ID == s.self {
		return &BatchReply{NotOwner: true}, s.self, nil
	}
	reply = &BatchReply{}
	err = s.caller.Call(ctx, target.Address, batchPath, batch, reply)
	return reply, target.ID, err
}

// target returns the instance to ask: the owner if it is known, else one replica
// after the other.
func (s *Service) target(box *outbox) (fleetconfig.InstanceAddress, bool) {
	replicas := s.shards.ServiceReplicas(box.service)
	if len(replicas) == 0 {
		return fleetconfig.InstanceAddress{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, replica := range replicas {
		if replica.ID == box.owner {
			return replica, true
		}
	}
	return replicas[box.turn%len(replicas)], true
}

// deliver passes the owner's answers to the monitors.
func (s *Service) deliver(reply *BatchReply, now time.Time) {
	for _, answer := range reply.ReportReplies {
		s.withMonitor(answer.Server, func(monitor *health.Monitor) []health.Action {
			monitor.HandleReportReply(answer.Reply)
			return nil
		})
	}
	for _, answer := range reply.PermitReplies {
		s.withMonitor(answer.Server, func(monitor *health.Monitor) []health.Action {
			if answer.Reason == health.ReasonNone {
				return monitor.HandleGrant(answer.ID, now)
			}
			return monitor.HandleDenial(answer.ID, answer.Reason, now)
		})
	}
}

// withMonitor lets a function change the monitor of a backend server and carries
// out what it returns.
func (s *Service) withMonitor(server fleetconfig.BackendServerID, change func(*health.Monitor) []health.Action) {
	s.mu.Lock()
	found := s.servers[server]
	s.mu.Unlock()
	if found == nil {
		return
	}
	found.mu.Lock()
	actions := change(found.monitor)
	found.mu.Unlock()
	from := &serverActions{server: server, service: found.service}
	for _, action := range actions {
		s.carryOut(from, action)
	}
}
