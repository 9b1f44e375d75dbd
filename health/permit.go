package health

import (
	"math"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Limits of a permit owner.
const (
	// maxOwnedServers bounds the backend servers of one service; about 600 bytes
	// each.
	maxOwnedServers = 4096
	// ReportTTL is how long a report counts, from the challenge that it echoes.
	ReportTTL = 5 * time.Second
	// forgetServerAfter is when a silent server no longer counts as announced.
	forgetServerAfter = 30 * time.Second
	// commonCauseWait is how long a minority of suspect servers is taken for the
	// beginning of a slow day.
	commonCauseWait = 5 * time.Second
	// baselineInterval is the shortest time between two baselines.
	baselineInterval = time.Second
	// baselineSettles is how long after a rise the baseline still lags behind: the
	// summaries hold up to 20 s. No new permit is granted meanwhile.
	baselineSettles = 15 * time.Second
	// lowestLife is how long a low baseline is remembered, to tell a rise from it.
	lowestLife = time.Minute
)

// serverKey names a backend server over all instances.
type serverKey struct {
	instance fleetconfig.InstanceID
	server   fleetconfig.BackendServerID
}

// ownedServer is what the owner knows of one backend server.
type ownedServer struct {
	key         serverKey
	report      Report
	confirmedAt time.Time
	heardAt     time.Time
	lastAsk     PermitRequestID
	permit      PermitRequestID
	permitEnds  time.Time
	severity    float64
	firstAsk    time.Time
	revoked     bool
}

// PermitOwner grants the ejection permits of one service. It runs on the
// instance that holds the owner lease of the service's shard, and only while it
// holds that lease. It keeps nothing on disk.
//
// Invariant: every permit that may be live in the fleet is either in the
// owner's table or older than the owner, and it grants none until the older
// ones have ended. So the floor counts every ejection.
type PermitOwner struct {
	incarnation  uint64
	started      time.Time
	floor        Floor
	permitLife   time.Duration
	servers      []*ownedServer
	baseline     Baseline
	baselineMade time.Time
	// lowest is the lowest baseline since lowestSince.
	lowest      Baseline
	lowestSince time.Time
	risenAt     time.Time
}

// NewPermitOwner returns an owner that starts now and knows nothing. The
// incarnation differs from that of every other owner of the service.
func NewPermitOwner(floor Floor, permitLife time.Duration, incarnation uint64, now time.Time) *PermitOwner {
	return &PermitOwner{
		incarnation: incarnation,
		started:     now,
		floor:       floor,
		permitLife:  permitLife,
		baseline:    DefaultBaseline(),
		lowest:      DefaultBaseline(),
	}
}

// SetFloor changes the floor.
func (o *PermitOwner) SetFloor(floor Floor) { o.floor = floor }

// Baseline returns the present baseline.
func (o *PermitOwner) Baseline() Baseline { return o.baseline }

// HandleReport records a report. Older reports than the last are ignored; a report
// counts as fresh only since the challenge that it echoes.
func (o *PermitOwner) HandleReport(report Report, now time.Time) ReportReply {
	if server := o.find(serverKey{report.Instance, report.Server}, true); server != nil {
		o.record(server, report, now)
	}
	o.refreshBaseline(now)
	return ReportReply{
		Timestamp: OwnerTimestamp{OwnerIncarnation: o.incarnation, SinceStart: now.Sub(o.started)},
		Baseline:  o.baseline,
	}
}

func (o *PermitOwner) record(server *ownedServer, report Report, now time.Time) {
	last := &server.report
	if report.Incarnation < last.Incarnation {
		return
	}
	if report.Incarnation == last.Incarnation && report.Sequence <= last.Sequence {
		return
	}
	server.report = report
	server.heardAt = now
	if report.Status == StatusHealthy {
		server.revoked = false
	}
	if report.Echo.OwnerIncarnation == o.incarnation {
		server.confirmedAt = o.started.Add(report.Echo.SinceStart)
	} else {
		server.confirmedAt = time.Time{}
	}
}

// HandleLeave records that a server has left the service. The record stays until Tick
// forgets it, so that a late report of the same incarnation does not revive the
// server and a live permit stays counted.
func (o *PermitOwner) HandleLeave(instance fleetconfig.InstanceID, server fleetconfig.BackendServerID, incarnation uint64) {
	record := o.find(serverKey{instance, server}, false)
	if record == nil || record.report.Incarnation > incarnation {
		return
	}
	record.report.Incarnation = incarnation
	record.report.Sequence = math.MaxUint64
	record.report.Status = StatusDraining
}

// ReleasePermit takes a permit back. A release of an older permit than the present one
// is ignored.
func (o *PermitOwner) ReleasePermit(instance fleetconfig.InstanceID, server fleetconfig.BackendServerID, id PermitRequestID) {
	record := o.find(serverKey{instance, server}, false)
	if record == nil || !record.permit.covers(id) {
		return
	}
	record.permitEnds = time.Time{}
	record.firstAsk = time.Time{}
}

// covers reports whether a release of id ends the permit p: the same incarnation
// has asked for nothing newer.
func (p PermitRequestID) covers(id PermitRequestID) bool {
	return p.Incarnation == id.Incarnation && p.Sequence <= id.Sequence
}

// RequestPermit grants or refuses a permit. ReasonNone is a grant; it lasts one permit
// life from now.
func (o *PermitOwner) RequestPermit(ask PermitRequest, now time.Time) DenialReason {
	if now.Sub(o.started) < o.permitLife {
		return ReasonStarting
	}
	server := o.find(serverKey{ask.Instance, ask.Server}, false)
	if server == nil || server.report.Incarnation != ask.ID.Incarnation {
		return ReasonUnknownServer
	}
	if !server.newer(ask.ID) {
		return ReasonStale
	}
	server.lastAsk = ask.ID
	server.severity = ask.Severity
	if ask.Renewal && server.live(now) {
		return o.renew(server, ask, now)
	}
	if server.firstAsk.IsZero() || now.Sub(server.firstAsk) > 2*commonCauseWait {
		server.firstAsk = now
	}
	if o.unsettled(&ask, now) || o.commonCause(server, now) {
		return ReasonCommonCause
	}
	capacities, candidate := o.capacities(server, now)
	if !MayEject(o.floor, capacities, candidate) {
		return ReasonFloor
	}
	server.grant(ask.ID, now.Add(o.permitLife))
	return ReasonNone
}

// renew prolongs a live permit unless the floor needs the server back.
func (o *PermitOwner) renew(server *ownedServer, ask PermitRequest, now time.Time) DenialReason {
	if server.revoked || o.neededBack(server, now) {
		server.revoked = true
		return ReasonFloor
	}
	server.grant(ask.ID, now.Add(o.permitLife))
	return ReasonNone
}

func (s *ownedServer) grant(id PermitRequestID, ends time.Time) {
	s.permit = id
	s.permitEnds = ends
	s.revoked = false
}

// newer reports whether the ask is newer than every one that was answered. A late
// ask must not replace the permit of a newer one: a late release of a number in
// between would then end a permit whose holder still relies on it.
func (s *ownedServer) newer(id PermitRequestID) bool {
	if id.Incarnation != s.lastAsk.Incarnation {
		return id.Incarnation > s.lastAsk.Incarnation
	}
	return id.Sequence > s.lastAsk.Sequence
}

func (s *ownedServer) live(now time.Time) bool {
	return now.Before(s.permitEnds)
}

// find returns the record of a server. With add, it makes one when there is room.
func (o *PermitOwner) find(key serverKey, add bool) *ownedServer {
	for _, server := range o.servers {
		if server.key == key {
			return server
		}
	}
	if !add || len(o.servers) == maxOwnedServers {
		return nil
	}
	server := &ownedServer{key: key}
	o.servers = append(o.servers, server)
	return server
}

// Tick forgets servers that have been silent for long and hold no permit.
func (o *PermitOwner) Tick(now time.Time) {
	o.servers = slices.DeleteFunc(o.servers, func(s *ownedServer) bool {
		return now.Sub(s.heardAt) > forgetServerAfter && !s.live(now)
	})
	o.refreshBaseline(now)
}

func (o *PermitOwner) refreshBaseline(now time.Time) {
	if now.Sub(o.baselineMade) < baselineInterval {
		return
	}
	o.baselineMade = now
	summaries := make([]ServerSummary, 0, len(o.servers))
	for _, server := range o.servers {
		if now.Sub(server.heardAt) < ReportTTL {
			summaries = append(summaries, ServerSummary{
				Status:  server.standing(now),
				Summary: server.report.Summary,
			})
		}
	}
	o.baseline = MergeBaseline(o.baseline, summaries)
	o.numberBaseline(now)
}

// unsettled reports whether the evidence of an ask may be that of a day that has
// just become slow for all.
func (o *PermitOwner) unsettled(ask *PermitRequest, now time.Time) bool {
	return ask.BaselineGeneration != o.baseline.Generation || now.Sub(o.risenAt) < baselineSettles
}

// numberBaseline gives a baseline that has risen a new number. Monitors that have
// not heard of it yet ask in vain, so that no evidence from before it ejects a
// server.
func (o *PermitOwner) numberBaseline(now time.Time) {
	if o.baseline.risen(&o.lowest) {
		o.baseline.Generation++
		o.risenAt = now
		o.lowest, o.lowestSince = o.baseline, now
		return
	}
	if now.Sub(o.lowestSince) >= lowestLife {
		o.lowest, o.lowestSince = o.baseline, now
	}
	o.lowest.SlowThreshold = min(o.lowest.SlowThreshold, o.baseline.SlowThreshold)
	o.lowest.ErrorShare = min(o.lowest.ErrorShare, o.baseline.ErrorShare)
}
