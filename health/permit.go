package health

import (
	"math"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Limits of a permit owner.
const (
	// maxServersPerService limits the backend servers of one service, at about 600 bytes
	// each.
	maxServersPerService = 4096
	// ReportTTL is how long a report is valid, from the owner timestamp that it echoes.
	ReportTTL = 5 * time.Second
	// silentServerRetention is the time after which a server without reports no longer
	// counts as announced.
	silentServerRetention = 30 * time.Second
	// commonCauseWindow is how long after a server's first permit request a minority of
	// suspect servers is treated as the start of a slowdown of the whole service.
	commonCauseWindow = 5 * time.Second
	// baselineInterval is the minimum time between two updates of the baseline.
	baselineInterval = time.Second
	// baselineSettleTime is how long the baseline may lag after a rise, since summaries
	// cover up to 20 s. No new permit is granted during this time.
	baselineSettleTime = 15 * time.Second
	// lowestBaselineTTL is how long the lowest baseline is kept as the reference for
	// detecting a rise.
	lowestBaselineTTL = time.Minute
)

// serverKey identifies a backend server across all instances.
type serverKey struct {
	instance fleetconfig.InstanceID
	server   fleetconfig.BackendServerID
}

// serverRecord is the owner's record of one backend server.
type serverRecord struct {
	key    serverKey
	report Report
	// confirmedAt is the time of the owner timestamp that the report echoes. The report was
	// created at or after this time. confirmedAt is zero if the report echoes no timestamp of
	// this owner.
	confirmedAt    time.Time
	lastReportAt   time.Time
	lastRequestID  PermitRequestID
	permitID       PermitRequestID
	permitExpires  time.Time
	severity       float64
	firstRequestAt time.Time
	revoked        bool
}

// PermitOwner grants the ejection permits of one service. It runs on the instance that
// holds the owner lease of the service's shard, and only while that instance holds the
// lease. It persists nothing.
//
// Invariant: every permit that may still be valid is either in the owner's table or was
// granted by an earlier owner, and the owner grants no permit until the permits of
// earlier owners have expired. Therefore the floor check accounts for every ejection.
type PermitOwner struct {
	incarnation       uint64
	startedAt         time.Time
	floor             Floor
	permitTTL         time.Duration
	servers           []*serverRecord
	baseline          Baseline
	baselineUpdatedAt time.Time
	// lowest holds the lowest slow threshold and error share since lowestSince.
	lowest      Baseline
	lowestSince time.Time
	lastRiseAt  time.Time
}

// NewPermitOwner returns an owner that starts now without any records. The incarnation
// must differ from that of every other owner of the service.
func NewPermitOwner(floor Floor, permitTTL time.Duration, incarnation uint64, now time.Time) *PermitOwner {
	return &PermitOwner{
		incarnation: incarnation,
		startedAt:   now,
		floor:       floor,
		permitTTL:   permitTTL,
		baseline:    DefaultBaseline(),
		lowest:      DefaultBaseline(),
	}
}

// SetFloor changes the floor.
func (o *PermitOwner) SetFloor(floor Floor) { o.floor = floor }

// Baseline returns the current baseline.
func (o *PermitOwner) Baseline() Baseline { return o.baseline }

// HandleReport records a report. Reports older than the last one are ignored. The age of
// a report counts from the owner timestamp that it echoes.
func (o *PermitOwner) HandleReport(report Report, now time.Time) ReportReply {
	if server := o.find(serverKey{report.Instance, report.Server}, true); server != nil {
		o.recordReport(server, report, now)
	}
	o.refreshBaseline(now)
	return ReportReply{
		Timestamp: OwnerTimestamp{OwnerIncarnation: o.incarnation, SinceStart: now.Sub(o.startedAt)},
		Baseline:  o.baseline,
	}
}

func (o *PermitOwner) recordReport(server *serverRecord, report Report, now time.Time) {
	last := &server.report
	if report.Incarnation < last.Incarnation {
		return
	}
	if report.Incarnation == last.Incarnation && report.Sequence <= last.Sequence {
		return
	}
	server.report = report
	server.lastReportAt = now
	if report.Status == StatusHealthy {
		server.revoked = false
	}
	if report.Echo.OwnerIncarnation == o.incarnation {
		server.confirmedAt = o.startedAt.Add(report.Echo.SinceStart)
	} else {
		server.confirmedAt = time.Time{}
	}
}

// HandleLeave records that a server has left the service. The record stays until Tick
// removes it, so that a late report of the same incarnation does not bring the server
// back and a valid permit stays in the table.
func (o *PermitOwner) HandleLeave(instance fleetconfig.InstanceID, server fleetconfig.BackendServerID, incarnation uint64) {
	record := o.find(serverKey{instance, server}, false)
	if record == nil || record.report.Incarnation > incarnation {
		return
	}
	record.report.Incarnation = incarnation
	record.report.Sequence = math.MaxUint64
	record.report.Status = StatusDraining
}

// ReleasePermit releases a permit. A release of a permit older than the current one is
// ignored.
func (o *PermitOwner) ReleasePermit(instance fleetconfig.InstanceID, server fleetconfig.BackendServerID, id PermitRequestID) {
	record := o.find(serverKey{instance, server}, false)
	if record == nil || !record.permitID.releasedBy(id) {
		return
	}
	record.permitExpires = time.Time{}
	record.firstRequestAt = time.Time{}
}

// releasedBy reports whether a release of id ends the permit p: p must be from the same
// incarnation and not newer.
func (p PermitRequestID) releasedBy(id PermitRequestID) bool {
	return p.Incarnation == id.Incarnation && p.Sequence <= id.Sequence
}

// RequestPermit grants or denies a permit request. It returns ReasonNone for a grant,
// which is valid for one permit TTL from now.
func (o *PermitOwner) RequestPermit(request PermitRequest, now time.Time) DenialReason {
	if now.Sub(o.startedAt) < o.permitTTL {
		return ReasonStarting
	}
	server := o.find(serverKey{request.Instance, request.Server}, false)
	if server == nil || server.report.Incarnation != request.ID.Incarnation {
		return ReasonUnknownServer
	}
	if !server.isNewer(request.ID) {
		return ReasonStale
	}
	server.lastRequestID = request.ID
	server.severity = request.Severity
	if request.Renewal && server.hasPermit(now) {
		return o.renew(server, request, now)
	}
	if server.firstRequestAt.IsZero() || now.Sub(server.firstRequestAt) > 2*commonCauseWindow {
		server.firstRequestAt = now
	}
	if o.baselineUnsettled(&request, now) || o.commonCause(server, now) {
		return ReasonCommonCause
	}
	capacities, candidate := o.capacities(server, now)
	if !MayEject(o.floor, capacities, candidate) {
		return ReasonFloor
	}
	server.grant(request.ID, now.Add(o.permitTTL))
	return ReasonNone
}

// renew extends a valid permit unless the server is needed to keep the floor.
func (o *PermitOwner) renew(server *serverRecord, request PermitRequest, now time.Time) DenialReason {
	if server.revoked || o.mustReturn(server, now) {
		server.revoked = true
		return ReasonFloor
	}
	server.grant(request.ID, now.Add(o.permitTTL))
	return ReasonNone
}

func (s *serverRecord) grant(id PermitRequestID, expires time.Time) {
	s.permitID = id
	s.permitExpires = expires
	s.revoked = false
}

// isNewer reports whether a request is newer than the last one that was answered. Without
// this check a late request could replace the permit of a newer request. A late release
// whose sequence number lies between those of the two requests would then end a permit
// that its holder still relies on.
func (s *serverRecord) isNewer(id PermitRequestID) bool {
	if id.Incarnation != s.lastRequestID.Incarnation {
		return id.Incarnation > s.lastRequestID.Incarnation
	}
	return id.Sequence > s.lastRequestID.Sequence
}

func (s *serverRecord) hasPermit(now time.Time) bool {
	return now.Before(s.permitExpires)
}

// find returns the record of a server. If add is set, it creates a missing record as long
// as the table has room.
func (o *PermitOwner) find(key serverKey, add bool) *serverRecord {
	for _, server := range o.servers {
		if server.key == key {
			return server
		}
	}
	if !add || len(o.servers) == maxServersPerService {
		return nil
	}
	server := &serverRecord{key: key}
	o.servers = append(o.servers, server)
	return server
}

// Tick removes the records of servers that have sent no report for silentServerRetention
// and hold no permit.
func (o *PermitOwner) Tick(now time.Time) {
	o.servers = slices.DeleteFunc(o.servers, func(s *serverRecord) bool {
		return now.Sub(s.lastReportAt) > silentServerRetention && !s.hasPermit(now)
	})
	o.refreshBaseline(now)
}

func (o *PermitOwner) refreshBaseline(now time.Time) {
	if now.Sub(o.baselineUpdatedAt) < baselineInterval {
		return
	}
	o.baselineUpdatedAt = now
	summaries := make([]ServerSummary, 0, len(o.servers))
	for _, server := range o.servers {
		if now.Sub(server.lastReportAt) < ReportTTL {
			summaries = append(summaries, ServerSummary{
				Status:  server.status(now),
				Summary: server.report.Summary,
			})
		}
	}
	o.baseline = MergeBaseline(o.baseline, summaries)
	o.updateGeneration(now)
}

// baselineUnsettled reports whether the evidence of a request may stem from a slowdown of
// the whole service that has only just begun.
func (o *PermitOwner) baselineUnsettled(request *PermitRequest, now time.Time) bool {
	return request.BaselineGeneration != o.baseline.Generation || now.Sub(o.lastRiseAt) < baselineSettleTime
}

// updateGeneration increments the generation of a baseline that has risen. Requests from
// monitors that do not have the new generation yet are denied, so that evidence from
// before the rise ejects no server.
func (o *PermitOwner) updateGeneration(now time.Time) {
	if o.baseline.roseAbove(&o.lowest) {
		o.baseline.Generation++
		o.lastRiseAt = now
		o.lowest, o.lowestSince = o.baseline, now
		return
	}
	if now.Sub(o.lowestSince) >= lowestBaselineTTL {
		o.lowest, o.lowestSince = o.baseline, now
	}
	o.lowest.SlowThreshold = min(o.lowest.SlowThreshold, o.baseline.SlowThreshold)
	o.lowest.ErrorShare = min(o.lowest.ErrorShare, o.baseline.ErrorShare)
}
