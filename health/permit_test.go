package health

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

var epoch = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// TestEjectionNeverGoesBelowTheFloor attacks the permits with stale views,
// ejections at once, owners lost and replaced, and servers leaving meanwhile.
func TestEjectionNeverGoesBelowTheFloor(t *testing.T) {
	ejected := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSoup(t, false)
		for range 1500 {
			step := rapid.SampledFrom([]int{50, 100, 100, 300, 300, 500, 1000}).Draw(t, "step ms")
			s.now = s.now.Add(time.Duration(step) * time.Millisecond)
			s.disturb()
			s.deliverDue()
			s.checkOwner()
			s.serve()
			s.checkOwner()
			if s.owner != nil {
				s.owner.Tick(s.now)
			}
		}
		ejected += s.ejected
	})
	t.Logf("%d ejections", ejected)
	must.Positive(t, ejected, must.Sprint("the test saw no ejection at all"))
}

// TestBadServerIsEjectedAndReturns is the other side: in a quiet fleet a failing
// server is ejected, stays out while it fails, and returns by trial.
func TestBadServerIsEjectedAndReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSoup(t, true)
		quiet := func(duration time.Duration) {
			for end := s.now.Add(duration); s.now.Before(end); {
				s.now = s.now.Add(50 * time.Millisecond)
				s.serveQuietly()
				s.owner.Tick(s.now)
			}
		}
		quiet(DefaultPermitTTL + time.Second)
		server := s.servers[0]
		server.bad = true
		quiet(time.Second)
		must.NotEq(t, StateInService, server.monitor.State())
		quiet(3 * DefaultPermitTTL)
		must.NotEq(t, StateInService, server.monitor.State())
		server.bad = false
		quiet(DefaultMaxEjectionTime / 4)
		must.Eq(t, StateInService, server.monitor.State())
		must.Eq(t, StatusHealthy, server.monitor.Status())
	})
}

// TestLeastBadReturnFirst ejects two servers, lets the healthy capacity fall
// below the floor, and expects only the less bad one back.
func TestLeastBadReturnFirst(t *testing.T) {
	owner := NewPermitOwner(Floor{Slots: 2}, DefaultPermitTTL, 1, epoch)
	now := epoch.Add(DefaultPermitTTL)
	report := func(name fleetconfig.BackendServerID, number uint64, standing Status) {
		owner.HandleReport(Report{
			Instance: "i", Server: name, Incarnation: 1, Sequence: number, Slots: 1, Status: standing,
			Echo: OwnerTimestamp{OwnerIncarnation: 1, SinceStart: now.Sub(epoch)},
		}, now)
	}
	for _, name := range []fleetconfig.BackendServerID{"a", "b", "c", "d"} {
		report(name, 1, StatusHealthy)
	}
	report("worse", 1, StatusSuspect)
	report("bad", 1, StatusSuspect)
	ask := func(name fleetconfig.BackendServerID, number uint64, severity float64) DenialReason {
		return owner.RequestPermit(PermitRequest{ID: PermitRequestID{1, number}, Instance: "i", Server: name, Severity: severity, Renewal: number > 1}, now)
	}
	late := NewPermitOwner(Floor{Slots: 1}, DefaultPermitTTL, 2, now)
	must.Eq(t, ReasonStarting, late.RequestPermit(PermitRequest{ID: PermitRequestID{1, 1}, Instance: "i", Server: "bad"}, now.Add(DefaultPermitTTL-1)))
	must.Eq(t, ReasonNone, ask("worse", 1, 2))
	must.Eq(t, ReasonNone, ask("bad", 1, 1))
	must.Eq(t, ReasonNone, ask("a", 1, 1))
	must.Eq(t, ReasonNone, ask("b", 1, 1.5))
	must.Eq(t, ReasonFloor, ask("c", 1, 3), must.Sprint("c and d are the floor"))
	owner.HandleLeave("i", "d", 1)
	must.Eq(t, ReasonNone, ask("worse", 2, 2))
	must.Eq(t, ReasonFloor, ask("a", 2, 0.5), must.Sprint("the least bad must return"))
	must.Eq(t, ReasonNone, ask("b", 2, 1.5))
}

// TestMayEjectKeepsTheFloor compares the function with its definition.
func TestMayEjectKeepsTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Capacity {
			return Capacity{
				Slots:  rapid.Uint32Range(0, 20).Draw(t, "slots"),
				Status: Status(rapid.IntRange(0, int(StatusDraining)).Draw(t, "standing")),
			}
		}), 1, 12).Draw(t, "servers")
		floor := Floor{Slots: rapid.Uint32Range(0, 60).Draw(t, "slots"), Percent: rapid.Uint32Range(0, 100).Draw(t, "percent")}
		candidate := rapid.IntRange(0, len(servers)-1).Draw(t, "candidate")
		healthy, announced := 0, 0
		for i, server := range servers {
			if server.Status != StatusDraining {
				announced += int(server.Slots)
			}
			if server.Status == StatusHealthy && i != candidate {
				healthy += int(server.Slots)
			}
		}
		allowed := healthy > 0 && healthy >= int(floor.Slots) && 100*healthy >= int(floor.Percent)*announced
		must.Eq(t, allowed, MayEject(floor, servers, candidate))
	})
}

// TestLateMessages holds one by one what keeps the owner's view and the permits
// true when messages come late: each has a scenario that the random test meets
// too rarely.
func TestLateMessages(t *testing.T) {
	owner := NewPermitOwner(Floor{Slots: 1}, DefaultPermitTTL, 1, epoch)
	now := epoch.Add(DefaultPermitTTL)
	report := func(name fleetconfig.BackendServerID, number uint64, standing Status) {
		owner.HandleReport(Report{Instance: "i", Server: name, Incarnation: 1, Sequence: number, Slots: 1, Status: standing,
			Echo: OwnerTimestamp{OwnerIncarnation: 1, SinceStart: now.Sub(epoch)}}, now)
	}
	ask := func(incarnation, number uint64) DenialReason {
		return owner.RequestPermit(PermitRequest{ID: PermitRequestID{incarnation, number}, Instance: "i", Server: "a"}, now)
	}
	report("a", 2, StatusSuspect)
	report("a", 1, StatusHealthy)
	report("b", 1, StatusHealthy)
	record := owner.find(serverKey{"i", "a"}, false)
	must.Eq(t, StatusSuspect, record.standing(now), must.Sprint("a late report revived the server"))
	must.Eq(t, ReasonUnknownServer, ask(2, 1), must.Sprint("this incarnation has not reported"))
	must.Eq(t, ReasonNone, ask(1, 3))
	must.Eq(t, ReasonStale, ask(1, 1), must.Sprint("a late ask"))
	owner.ReleasePermit("i", "a", PermitRequestID{1, 2})
	must.True(t, record.live(now), must.Sprint("a late release ended a newer permit"))

	monitor := NewMonitor("i", "a", 1, PolicyForPreset(&fleetconfig.Preset{EjectionEnabled: true}), 1, now)
	for i := range 20 {
		monitor.End(monitor.Begin(accountName(i%3), now.Add(time.Minute), now), ResultFailed, now)
	}
	monitor.Tick(now)
	late := monitor.HandleGrant(PermitRequestID{1, 1}, now.Add(grantLife+1))
	must.Eq(t, []Action{ReleasePermit{ID: PermitRequestID{1, 1}}}, late, must.Sprint("a late grant"))
	must.Eq(t, StateInService, monitor.State())
}
