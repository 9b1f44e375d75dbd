package ejection

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
)

// epochOwner is the permit owner of a service for one epoch of the shard's lease.
type epochOwner struct {
	epoch uint64
	owner *health.PermitOwner
}

// handleBatch handles a batch as the owner of the service's shard.
func (s *Service) handleBatch(_ context.Context, from fleetconfig.InstanceID, batch *Batch) (*BatchReply, error) {
	now := clock.Now()
	service := s.view().Service(batch.Service)
	if service == nil {
		return nil, errors.Newf("service %q is not configured; add it with hemlockctl", batch.Service)
	}
	s.ownersMu.Lock()
	defer s.ownersMu.Unlock()
	owner := s.ownerOf(service, now)
	if owner == nil {
		return s.notOwner(batch.Service), nil
	}
	reply := s.handleMessages(owner, from, batch, now)
	// The lease must still be held after the reply has been computed: if the process was
	// paused in between and lost the lease, it must not grant a permit.
	if _, held := s.shards.HoldsService(batch.Service, clock.Now()); !held {
		return s.notOwner(batch.Service), nil
	}
	return reply, nil
}

// notOwner returns a reply that names the presumed owner of the service, unless that is
// this instance or there is no replica.
func (s *Service) notOwner(service fleetconfig.ServiceName) *BatchReply {
	reply := &BatchReply{NotOwner: true}
	if replicas := s.shards.ServiceReplicas(service); len(replicas) > 0 && replicas[0].ID != s.self {
		reply.Owner = replicas[0].ID
	}
	return reply
}

func (s *Service) handleMessages(owner *health.PermitOwner, from fleetconfig.InstanceID, batch *Batch, now time.Time) *BatchReply {
	reply := &BatchReply{}
	for i := range batch.Reports {
		report := &batch.Reports[i]
		report.Instance = from
		reportReply := owner.HandleReport(*report, now)
		reply.ReportReplies = append(reply.ReportReplies, ServerReportReply{Server: report.Server, Reply: reportReply})
	}
	for _, release := range batch.Releases {
		owner.ReleasePermit(from, release.Server, release.ID)
	}
	for _, request := range batch.PermitRequests {
		request.Instance = from
		reason := owner.RequestPermit(request, now)
		reply.PermitReplies = append(reply.PermitReplies, PermitReply{Server: request.Server, ID: request.ID, Reason: reason})
	}
	return reply
}

// ownerOf returns the permit owner of the service for the current lease epoch, or nil
// while this instance does not hold the lease. A new epoch starts with a new owner
// without records. The caller must hold ownersMu.
func (s *Service) ownerOf(service *fleetconfig.Service, now time.Time) *health.PermitOwner {
	epoch, held := s.shards.HoldsService(service.Name, now)
	if !held {
		delete(s.owners, service.Name)
		return nil
	}
	floor := health.FloorForService(service)
	current := s.owners[service.Name]
	if current == nil || current.epoch != epoch {
		current = &epochOwner{epoch: epoch, owner: health.NewPermitOwner(floor, health.DefaultPermitTTL, epoch, now)}
		s.owners[service.Name] = current
	}
	current.owner.SetFloor(floor)
	current.owner.Tick(now)
	return current.owner
}
