package ejection

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
)

// owned is the permit owner of a service under one tenure of the shard's lease.
type owned struct {
	tenure uint64
	owner  *health.PermitOwner
}

// handleBatch serves a batch as the owner of the service's shard.
func (s *Service) handleBatch(_ context.Context, from fleetconfig.InstanceID, batch *Batch) (*BatchReply, error) {
	now := clock.Now()
	service := s.view().Service(batch.Service)
	if service == nil {
		return nil, errors.Newf("the service %q is not configured; add it with hemlockctl", batch.Service)
	}
	s.ownersMu.Lock()
	defer s.ownersMu.Unlock()
	owner := s.ownerOf(service, now)
	if owner == nil {
		return s.notOwner(batch.Service), nil
	}
	reply := s.answer(owner, from, batch, now)
	// The lease must still hold after the answer was worked out: a process that
	// was frozen in between grants nothing.
	if _, held := s.shards.HoldsService(batch.Service, clock.Now()); !held {
		return s.notOwner(batch.Service), nil
	}
	return reply, nil
}

// notOwner names the instance to ask instead, as far as it is known here.
func (s *Service) notOwner(service fleetconfig.ServiceName) *BatchReply {
	reply := &BatchReply{NotOwner: true}
	if replicas := s.shards.ServiceReplicas(service); len(replicas) > 0 && replicas[0].ID != s.self {
		reply.Owner = replicas[0].ID
	}
	return reply
}

func (s *Service) answer(owner *health.PermitOwner, from fleetconfig.InstanceID, batch *Batch, now time.Time) *BatchReply {
	reply := &BatchReply{}
	for i := range batch.Reports {
		report := &batch.Reports[i]
		report.Instance = from
		answer := owner.HandleReport(*report, now)
		reply.ReportReplies = append(reply.ReportReplies, ServerReportReply{Server: report.Server, Reply: answer})
	}
	for _, release := range batch.Releases {
		owner.ReleasePermit(from, release.Server, release.ID)
	}
	for _, ask := range batch.PermitRequests {
		ask.Instance = from
		reason := owner.RequestPermit(ask, now)
		reply.PermitReplies = append(reply.PermitReplies, PermitReply{Server: ask.Server, ID: ask.ID, Reason: reason})
	}
	return reply
}

// ownerOf returns the permit owner of the service under the present tenure, or
// nil while this instance does not hold the lease. A new tenure starts with an
// owner that knows nothing. The caller holds ownersMu.
func (s *Service) ownerOf(service *fleetconfig.Service, now time.Time) *health.PermitOwner {
	tenure, held := s.shards.HoldsService(service.Name, now)
	if !held {
		delete(s.owners, service.Name)
		return nil
	}
	floor := health.FloorForService(service)
	current := s.owners[service.Name]
	if current == nil || current.tenure != tenure {
		current = &owned{tenure: tenure, owner: health.NewPermitOwner(floor, health.DefaultPermitTTL, tenure, now)}
		s.owners[service.Name] = current
	}
	current.owner.SetFloor(floor)
	current.owner.Tick(now)
	return current.owner
}
