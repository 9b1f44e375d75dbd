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
	// ReportLife is how long a report counts, from the challenge that it echoes.
	ReportLife = 5 * time.Second
	// forgetServerAfter is when a silent server no longer counts as announced.
	forgetServerAfter = 30 * time.Second
	// commonCauseWait is how long a minority of suspect servers is taken for the
	// beginning of a slow day.
	commonCauseWait = 5 * time.Second
	// baselineInterval is the shortest time between two baselines.
	baselineInterval = time.Second
)

// AskID identifies an ask for a permit.
type AskID struct {
	// Incarnation is that of the asking monitor.
	Incarnation uint64 `cbor:"1,keyasint"`
	// Number grows with each ask of the incarnation.
	Number uint64 `cbor:"2,keyasint"`
}

// Ask asks for an ejection permit or its renewal.
type Ask struct {
	// ID identifies the ask.
	ID AskID `cbor:"1,keyasint"`
	// Instance is where the backend server runs.
	Instance fleetconfig.InstanceID `cbor:"2,keyasint"`
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"3,keyasint"`
	// Severity is the evidence in multiples of the bound.
	Severity float64 `cbor:"4,keyasint"`
	// Renews says that the server is out under a permit. Without it the server is
	// in service and the floor is counted anew, whatever the owner remembers.
	Renews bool `cbor:"5,keyasint"`
	// Baseline is the number of the baseline that the evidence was judged by.
	Baseline uint64 `cbor:"6,keyasint"`
}

// Challenge is handed out with each answer to a report. The next report echoes
// it, so that the owner knows by its own clock how old a report can be.
type Challenge struct {
	// Owner is the incarnation of the owner.
	Owner uint64 `cbor:"1,keyasint"`
	// Age is the time from the start of the owner to the answer.
	Age time.Duration `cbor:"2,keyasint"`
}

// Report is what the proxy beside a backend server tells the permit owner.
type Report struct {
	// Instance is where the backend server runs.
	Instance fleetconfig.InstanceID `cbor:"1,keyasint"`
	// Server is the backend server.
	Server fleetconfig.BackendServerID `cbor:"2,keyasint"`
	// Incarnation is that of the monitor. It grows with each restart.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Number grows with each report of the incarnation.
	Number uint64 `cbor:"4,keyasint"`
	// Slots is how many requests the server runs at once.
	Slots uint32 `cbor:"5,keyasint"`
	// Standing is what the monitor believes.
	Standing Standing `cbor:"6,keyasint"`
	// Severity is the evidence in multiples of the bound.
	Severity float64 `cbor:"7,keyasint"`
	// Echo is the last challenge that the monitor received.
	Echo Challenge `cbor:"8,keyasint"`
	// Summary holds the outcomes of the server.
	Summary Summary `cbor:"9,keyasint"`
}

// ReportReply answers a report.
type ReportReply struct {
	// Challenge is echoed by the next report.
	Challenge Challenge `cbor:"1,keyasint"`
	// Baseline is the present baseline of the service.
	Baseline Baseline `cbor:"2,keyasint"`
}

// Reason says why a permit was refused.
type Reason uint8

const (
	// ReasonNone means that the permit was granted.
	ReasonNone Reason = iota
	// ReasonStarting means that the owner has not yet waited one permit life.
	ReasonStarting
	// ReasonUnknownServer means that this incarnation has sent no report.
	ReasonUnknownServer
	// ReasonFloor means that the healthy capacity would fall below the floor.
	ReasonFloor
	// ReasonCommonCause means that too many servers are suspect at once, or that
	// the baseline has risen since the evidence was gathered.
	ReasonCommonCause
	// ReasonStale means that a newer ask was answered before.
	ReasonStale
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
	lastAsk     AskID
	permit      AskID
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
	// lowest is the lowest baseline since the number last changed.
	lowest Baseline
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

// Report records a report. Older reports than the last are ignored; a report
// counts as fresh only since the challenge that it echoes.
func (o *PermitOwner) Report(report Report, now time.Time) ReportReply {
	if server := o.find(serverKey{report.Instance, report.Server}, true); server != nil {
		o.record(server, report, now)
	}
	o.refreshBaseline(now)
	return ReportReply{
		Challenge: Challenge{Owner: o.incarnation, Age: now.Sub(o.started)},
		Baseline:  o.baseline,
	}
}

func (o *PermitOwner) record(server *ownedServer, report Report, now time.Time) {
	last := &server.report
	if report.Incarnation < last.Incarnation {
		return
	}
	if report.Incarnation == last.Incarnation && report.Number <= last.Number {
		return
	}
	server.report = report
	server.heardAt = now
	if report.Standing == StandingHealthy {
		server.revoked = false
	}
	if report.Echo.Owner == o.incarnation {
		server.confirmedAt = o.started.Add(report.Echo.Age)
	} else {
		server.confirmedAt = time.Time{}
	}
}

// Leave records that a server has left the service. The record stays until Tick
// forgets it, so that a late report of the same incarnation does not revive the
// server and a live permit stays counted.
func (o *PermitOwner) Leave(instance fleetconfig.InstanceID, server fleetconfig.BackendServerID, incarnation uint64) {
	record := o.find(serverKey{instance, server}, false)
	if record == nil || record.report.Incarnation > incarnation {
		return
	}
	record.report.Incarnation = incarnation
	record.report.Number = math.MaxUint64
	record.report.Standing = StandingDraining
}

// Release takes a permit back. A release of an older permit than the present one
// is ignored.
func (o *PermitOwner) Release(instance fleetconfig.InstanceID, server fleetconfig.BackendServerID, id AskID) {
	record := o.find(serverKey{instance, server}, false)
	if record == nil || !record.permit.covers(id) {
		return
	}
	record.permitEnds = time.Time{}
	record.firstAsk = time.Time{}
}

// covers reports whether a release of id ends the permit p: the same incarnation
// has asked for nothing newer.
func (p AskID) covers(id AskID) bool {
	return p.Incarnation == id.Incarnation && p.Number <= id.Number
}

// Ask grants or refuses a permit. ReasonNone is a grant; it lasts one permit
// life from now.
func (o *PermitOwner) Ask(ask Ask, now time.Time) Reason {
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
	if ask.Renews && server.live(now) {
		return o.renew(server, ask, now)
	}
	if server.firstAsk.IsZero() || now.Sub(server.firstAsk) > 2*commonCauseWait {
		server.firstAsk = now
	}
	if ask.Baseline != o.baseline.Number || o.commonCause(server, now) {
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
func (o *PermitOwner) renew(server *ownedServer, ask Ask, now time.Time) Reason {
	if server.revoked || o.neededBack(server, now) {
		server.revoked = true
		return ReasonFloor
	}
	server.grant(ask.ID, now.Add(o.permitLife))
	return ReasonNone
}

func (s *ownedServer) grant(id AskID, ends time.Time) {
	s.permit = id
	s.permitEnds = ends
	s.revoked = false
}

// newer reports whether the ask is newer than every one that was answered. A late
// ask must not replace the permit of a newer one: a late release of a number in
// between would then end a permit whose holder still relies on it.
func (s *ownedServer) newer(id AskID) bool {
	if id.Incarnation != s.lastAsk.Incarnation {
		return id.Incarnation > s.lastAsk.Incarnation
	}
	return id.Number > s.lastAsk.Number
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
	summaries := make([]SummaryOf, 0, len(o.servers))
	for _, server := range o.servers {
		if now.Sub(server.heardAt) < ReportLife {
			summaries = append(summaries, SummaryOf{
				Standing: server.standing(now),
				Summary:  server.report.Summary,
			})
		}
	}
	o.baseline = MergeBaseline(o.baseline, summaries)
	o.numberBaseline()
}

// numberBaseline gives a baseline that has risen a new number. Monitors that have
// not heard of it yet ask in vain, so that no evidence from before it ejects a
// server.
func (o *PermitOwner) numberBaseline() {
	if o.baseline.risen(&o.lowest) {
		o.baseline.Number++
		o.lowest = o.baseline
		return
	}
	o.lowest.SlowBound = min(o.lowest.SlowBound, o.baseline.SlowBound)
	o.lowest.ErrorShare = min(o.lowest.ErrorShare, o.baseline.ErrorShare)
}
