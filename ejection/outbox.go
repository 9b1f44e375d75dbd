package ejection

import (
	"context"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
)

// outbox holds the messages to be sent to the permit owner of a service: the latest
// report and permit request of each backend server, and all releases.
type outbox struct {
	service        fleetconfig.ServiceName
	reports        map[fleetconfig.BackendServerID]health.Report
	permitRequests map[fleetconfig.BackendServerID]health.PermitRequest
	releases       []Release
	inFlight       bool

	// owner is the instance that last replied as owner or was last named as owner.
	owner fleetconfig.InstanceID
	// nextReplica selects the replica to call while the owner is unknown.
	nextReplica int
}

func newOutbox(service fleetconfig.ServiceName) *outbox {
	box := &outbox{service: service}
	box.clear()
	return box
}

func (o *outbox) clear() {
	o.reports = make(map[fleetconfig.BackendServerID]health.Report)
	o.permitRequests = make(map[fleetconfig.BackendServerID]health.PermitRequest)
	o.releases = nil
}

func (o *outbox) add(server fleetconfig.BackendServerID, action health.Action) {
	switch action := action.(type) {
	case health.SendReport:
		o.reports[server] = action.Report
	case health.RequestPermit:
		o.permitRequests[server] = action.Request
	case health.ReleasePermit:
		o.releases = append(o.releases, Release{Server: server, ID: action.ID})
	}
}

func (o *outbox) empty() bool {
	return len(o.reports) == 0 && len(o.permitRequests) == 0 && len(o.releases) == 0
}

// take moves the content of the outbox into a batch.
func (o *outbox) take() *Batch {
	batch := &Batch{Service: o.service, Releases: o.releases}
	for _, report := range o.reports {
		batch.Reports = append(batch.Reports, report)
	}
	for _, request := range o.permitRequests {
		batch.PermitRequests = append(batch.PermitRequests, request)
	}
	o.clear()
	return batch
}

// flushOutboxes starts a call for each service that has messages to send and no call in
// flight.
func (s *Service) flushOutboxes(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, box := range s.outboxes {
		if box.inFlight || box.empty() {
			continue
		}
		box.inFlight = true
		go s.send(ctx, box, box.take())
	}
}

func (s *Service) send(ctx context.Context, box *outbox, batch *Batch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, from, err := s.callOwner(ctx, box, batch)
	if err != nil {
		s.logger.Debug("call to permit owner failed", "service", batch.Service, "error", err)
	} else {
		s.handleReply(reply, clock.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	box.inFlight = false
	switch {
	case err != nil:
		box.owner = ""
		box.nextReplica++
	case reply.NotOwner:
		box.owner = reply.Owner
		box.nextReplica++
	default:
		box.owner = from
	}
}

// callOwner sends the batch to the owner. If this instance is the owner, it handles the
// batch locally. If target returns this instance or none, callOwner makes no call and
// returns a reply with NotOwner.
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

// target returns the instance to call: the owner if it is known, otherwise one of the
// replicas, which take turns.
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
	return replicas[box.nextReplica%len(replicas)], true
}

// handleReply passes the owner's replies to the monitors.
func (s *Service) handleReply(reply *BatchReply, now time.Time) {
	for _, reportReply := range reply.ReportReplies {
		s.updateMonitor(reportReply.Server, func(monitor *health.Monitor) []health.Action {
			monitor.HandleReportReply(reportReply.Reply)
			return nil
		})
	}
	for _, permitReply := range reply.PermitReplies {
		s.updateMonitor(permitReply.Server, func(monitor *health.Monitor) []health.Action {
			if permitReply.Reason == health.ReasonNone {
				return monitor.HandleGrant(permitReply.ID, now)
			}
			return monitor.HandleDenial(permitReply.ID, permitReply.Reason, now)
		})
	}
}

// updateMonitor calls change with the monitor of a backend server and handles the
// returned actions.
func (s *Service) updateMonitor(server fleetconfig.BackendServerID, change func(*health.Monitor) []health.Action) {
	s.mu.Lock()
	monitored := s.servers[server]
	s.mu.Unlock()
	if monitored == nil {
		return
	}
	monitored.mu.Lock()
	actions := change(monitored.monitor)
	monitored.mu.Unlock()
	from := &serverActions{server: server, service: monitored.service}
	for _, action := range actions {
		s.handleAction(from, action)
	}
}
