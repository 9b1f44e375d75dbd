package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

var epoch = time.Date(2026, time.December, 4, 0, 0, 0, 0, time.UTC)

// viewLife bounds how old the owner's view of a server can be when an ejection
// begins.
const viewLife = ReportLife + grantLife

// soupServer is a backend server with the monitor beside it.
type soupServer struct {
	id          fleetconfig.BackendServerID
	slots       uint32
	monitor     *Monitor
	incarnation uint64
	bad         bool
	alive       bool
	lastHealthy time.Time
}

// soupMessage is a message on its way; deliver runs at its time.
type soupMessage struct {
	at      time.Time
	deliver func()
}

// soup drives monitors and owners through lost, late, doubled and reordered
// messages, lost owners, and servers that leave, crash and return.
type soup struct {
	t        *rapid.T
	now      time.Time
	floor    Floor
	servers  []*soupServer
	owner    *PermitOwner
	owners   uint64
	messages []soupMessage
	ejected  int
}

func newSoup(t *rapid.T, quiet bool) *soup {
	s := &soup{t: t, now: epoch}
	var total uint32
	for i := range rapid.IntRange(4, 6).Draw(t, "servers") {
		server := &soupServer{
			id:    fleetconfig.BackendServerID(fmt.Sprintf("s%d", i)),
			slots: rapid.Uint32Range(1, 3).Draw(t, "slots"),
		}
		total += server.slots
		s.start(server)
		s.servers = append(s.servers, server)
	}
	s.floor = Floor{Slots: rapid.Uint32Range(total/3, 1+total*2/3).Draw(t, "floor")}
	if quiet {
		s.floor = Floor{Slots: 1}
	}
	s.replaceOwner()
	return s
}

func (s *soup) start(server *soupServer) {
	server.incarnation++
	server.alive = true
	policy := PolicyOf(&fleetconfig.Preset{EjectionEnabled: true})
	server.monitor = NewMonitor("i", server.id, server.slots, policy, server.incarnation, s.now)
}

func (s *soup) replaceOwner() {
	s.owners++
	s.owner = NewPermitOwner(s.floor, DefaultPermitLife, s.owners, s.now)
}

// send delivers later, twice or never.
func (s *soup) send(deliver func()) {
	copies := rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, 2}).Draw(s.t, "copies")
	for range copies {
		delay := rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 5, 40, 800, 900, 4000, 9000}).Draw(s.t, "delay ms")
		s.messages = append(s.messages, soupMessage{at: s.now.Add(time.Duration(delay) * time.Millisecond), deliver: deliver})
	}
}

func (s *soup) deliverDue() {
	var due, later []soupMessage
	for _, message := range s.messages {
		if message.at.After(s.now) {
			later = append(later, message)
		} else {
			due = append(due, message)
		}
	}
	s.messages = later
	for _, message := range due {
		message.deliver()
	}
}

func (s *soup) handle(server *soupServer, actions []Action) {
	monitor := server.monitor
	for _, action := range actions {
		switch action := action.(type) {
		case SendReport:
			s.send(func() {
				if s.owner == nil {
					return
				}
				reply := s.owner.Report(action.Report, s.now)
				s.send(func() { monitor.Reported(reply) })
			})
		case AskPermit:
			s.send(func() { s.answer(server, monitor, action.Ask) })
		case ReleasePermit:
			s.send(func() {
				if s.owner != nil {
					s.owner.Release("i", server.id, action.ID)
				}
			})
		case StateChanged:
			if action.From == StateInService && action.To == StateEjected {
				s.checkFloor(server)
			}
		}
	}
}

func (s *soup) answer(server *soupServer, monitor *Monitor, ask Ask) {
	if s.owner == nil {
		return
	}
	reason := s.owner.Ask(ask, s.now)
	s.send(func() {
		if monitor != server.monitor || !server.alive {
			return
		}
		if reason == ReasonNone {
			s.handle(server, monitor.Granted(ask.ID, s.now))
		} else {
			s.handle(server, monitor.Denied(ask.ID, reason, s.now))
		}
	})
}

// checkFloor is the promise: without the server that is being ejected, and
// without every other one that is out, the servers that were positively healthy
// within the life of a view hold the floor.
func (s *soup) checkFloor(candidate *soupServer) {
	s.ejected++
	var healthy uint64
	for _, server := range s.servers {
		if server == candidate || server.monitor.State() != StateInService {
			continue
		}
		if s.now.Sub(server.lastHealthy) <= viewLife {
			healthy += uint64(server.slots)
		}
	}
	if healthy < uint64(s.floor.Slots) {
		s.t.Fatalf("ejection of %s leaves %d healthy slots, the floor is %d", candidate.id, healthy, s.floor.Slots)
	}
}

// serve runs a few requests on each server and ticks its monitor.
func (s *soup) serve() {
	for _, server := range s.servers {
		if !server.alive {
			continue
		}
		for i := range 8 {
			if !server.monitor.Admits() {
				break
			}
			account := fleetconfig.AccountID(fmt.Sprintf("a%d", i%3))
			token := server.monitor.Begin(account, s.now.Add(time.Minute), s.now)
			result := ResultOK
			if server.bad {
				result = ResultFailed
			}
			server.monitor.End(token, result, s.now.Add(time.Millisecond))
		}
		s.handle(server, server.monitor.Tick(s.now))
		if server.monitor.Standing() == StandingHealthy {
			server.lastHealthy = s.now
		}
		if server.monitor.State() != StateInService && !s.now.Before(server.monitor.permitExpires) {
			s.t.Fatalf("%s is out without a live permit", server.id)
		}
	}
}

// soupEvents are what may happen in one step, each once in 160.
var soupEvents = []string{
	"bad", "bad", "two bad", "two bad", "two bad", "two bad", "good", "all good", "all good", "all good",
	"crash", "leave", "start", "start", "start", "owner",
}

// checkOwner is the owner's invariant: it never counts on a server that is out.
func (s *soup) checkOwner() {
	if s.owner == nil || s.now.Sub(s.owner.started) < DefaultPermitLife {
		return
	}
	for _, server := range s.servers {
		record := s.owner.find(serverKey{"i", server.id}, false)
		out := server.alive && server.monitor.State() != StateInService
		if out && record != nil && record.standing(s.now) == StandingHealthy {
			s.t.Fatalf("the owner counts on %s, which is out", server.id)
		}
	}
}

// disturb lets at most one thing happen.
func (s *soup) disturb() {
	event := rapid.IntRange(0, 159).Draw(s.t, "event")
	if event >= len(soupEvents) {
		return
	}
	server := rapid.SampledFrom(s.servers).Draw(s.t, "server")
	switch soupEvents[event] {
	case "bad":
		server.bad = true
	case "good":
		server.bad = false
	case "two bad":
		server.bad = true
		rapid.SampledFrom(s.servers).Draw(s.t, "second").bad = true
	case "all good":
		for _, server := range s.servers {
			server.bad = false
		}
	case "crash":
		server.alive = false
		server.monitor.enter(StateInService, s.now, nil)
	case "leave":
		server.monitor.SetDraining()
		incarnation := server.incarnation
		s.send(func() {
			if s.owner != nil {
				s.owner.Leave("i", server.id, incarnation)
			}
		})
	case "start":
		if !server.alive || server.monitor.Standing() == StandingDraining {
			s.start(server)
		}
	case "owner":
		s.owner = nil
		if rapid.Bool().Draw(s.t, "replaced") {
			s.replaceOwner()
		}
	}
	if s.owner == nil && event%10 == 0 {
		s.replaceOwner()
	}
}

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
		quiet(DefaultPermitLife + time.Second)
		server := s.servers[0]
		server.bad = true
		quiet(time.Second)
		must.NotEq(t, StateInService, server.monitor.State())
		quiet(3 * DefaultPermitLife)
		must.NotEq(t, StateInService, server.monitor.State())
		server.bad = false
		quiet(DefaultMaxHold / 4)
		must.Eq(t, StateInService, server.monitor.State())
		must.Eq(t, StandingHealthy, server.monitor.Standing())
	})
}

// serveQuietly is serve with every message delivered at once.
func (s *soup) serveQuietly() {
	for _, server := range s.servers {
		for i := range 3 {
			if server.monitor.Admits() {
				token := server.monitor.Begin(fleetconfig.AccountID(fmt.Sprintf("a%d", i)), s.now.Add(time.Minute), s.now)
				result := ResultOK
				if server.bad {
					result = ResultFailed
				}
				server.monitor.End(token, result, s.now.Add(time.Millisecond))
			}
		}
		for _, action := range server.monitor.Tick(s.now) {
			switch action := action.(type) {
			case SendReport:
				server.monitor.Reported(s.owner.Report(action.Report, s.now))
			case AskPermit:
				if reason := s.owner.Ask(action.Ask, s.now); reason == ReasonNone {
					server.monitor.Granted(action.Ask.ID, s.now)
				} else {
					server.monitor.Denied(action.Ask.ID, reason, s.now)
				}
			case ReleasePermit:
				s.owner.Release("i", server.id, action.ID)
			}
		}
	}
}

// TestLeastBadReturnFirst ejects two servers, lets the healthy capacity fall
// below the floor, and expects only the less bad one back.
func TestLeastBadReturnFirst(t *testing.T) {
	owner := NewPermitOwner(Floor{Slots: 2}, DefaultPermitLife, 1, epoch)
	now := epoch.Add(DefaultPermitLife)
	report := func(name fleetconfig.BackendServerID, number uint64, standing Standing) {
		owner.Report(Report{
			Instance: "i", Server: name, Incarnation: 1, Number: number, Slots: 1, Standing: standing,
			Echo: Challenge{Owner: 1, Age: now.Sub(epoch)},
		}, now)
	}
	for _, name := range []fleetconfig.BackendServerID{"a", "b", "c", "d"} {
		report(name, 1, StandingHealthy)
	}
	report("worse", 1, StandingSuspect)
	report("bad", 1, StandingSuspect)
	ask := func(name fleetconfig.BackendServerID, number uint64, severity float64) Reason {
		return owner.Ask(Ask{ID: AskID{1, number}, Instance: "i", Server: name, Severity: severity, Renews: number > 1}, now)
	}
	late := NewPermitOwner(Floor{Slots: 1}, DefaultPermitLife, 2, now)
	must.Eq(t, ReasonStarting, late.Ask(Ask{ID: AskID{1, 1}, Instance: "i", Server: "bad"}, now.Add(DefaultPermitLife-1)))
	must.Eq(t, ReasonNone, ask("worse", 1, 2))
	must.Eq(t, ReasonNone, ask("bad", 1, 1))
	must.Eq(t, ReasonNone, ask("a", 1, 1))
	must.Eq(t, ReasonNone, ask("b", 1, 1.5))
	must.Eq(t, ReasonFloor, ask("c", 1, 3), must.Sprint("c and d are the floor"))
	owner.Leave("i", "d", 1)
	must.Eq(t, ReasonNone, ask("worse", 2, 2))
	must.Eq(t, ReasonFloor, ask("a", 2, 0.5), must.Sprint("the least bad must return"))
	must.Eq(t, ReasonNone, ask("b", 2, 1.5))
}

// TestMayEjectKeepsTheFloor compares the function with its definition.
func TestMayEjectKeepsTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Capacity {
			return Capacity{
				Slots:    rapid.Uint32Range(0, 20).Draw(t, "slots"),
				Standing: Standing(rapid.IntRange(0, int(StandingDraining)).Draw(t, "standing")),
			}
		}), 1, 12).Draw(t, "servers")
		floor := Floor{Slots: rapid.Uint32Range(0, 60).Draw(t, "slots"), Percent: rapid.Uint32Range(0, 100).Draw(t, "percent")}
		candidate := rapid.IntRange(0, len(servers)-1).Draw(t, "candidate")
		healthy, announced := 0, 0
		for i, server := range servers {
			if server.Standing != StandingDraining {
				announced += int(server.Slots)
			}
			if server.Standing == StandingHealthy && i != candidate {
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
	owner := NewPermitOwner(Floor{Slots: 1}, DefaultPermitLife, 1, epoch)
	now := epoch.Add(DefaultPermitLife)
	report := func(name fleetconfig.BackendServerID, number uint64, standing Standing) {
		owner.Report(Report{Instance: "i", Server: name, Incarnation: 1, Number: number, Slots: 1, Standing: standing,
			Echo: Challenge{Owner: 1, Age: now.Sub(epoch)}}, now)
	}
	ask := func(incarnation, number uint64) Reason {
		return owner.Ask(Ask{ID: AskID{incarnation, number}, Instance: "i", Server: "a"}, now)
	}
	report("a", 2, StandingSuspect)
	report("a", 1, StandingHealthy)
	report("b", 1, StandingHealthy)
	record := owner.find(serverKey{"i", "a"}, false)
	must.Eq(t, StandingSuspect, record.standing(now), must.Sprint("a late report revived the server"))
	must.Eq(t, ReasonUnknownServer, ask(2, 1), must.Sprint("this incarnation has not reported"))
	must.Eq(t, ReasonNone, ask(1, 3))
	must.Eq(t, ReasonStale, ask(1, 1), must.Sprint("a late ask"))
	owner.Release("i", "a", AskID{1, 2})
	must.True(t, record.live(now), must.Sprint("a late release ended a newer permit"))

	monitor := NewMonitor("i", "a", 1, PolicyOf(&fleetconfig.Preset{EjectionEnabled: true}), 1, now)
	for i := range 20 {
		monitor.End(monitor.Begin(accountName(i%3), now.Add(time.Minute), now), ResultFailed, now)
	}
	monitor.Tick(now)
	late := monitor.Granted(AskID{1, 1}, now.Add(grantLife+1))
	must.Eq(t, []Action{ReleasePermit{ID: AskID{1, 1}}}, late, must.Sprint("a late grant"))
	must.Eq(t, StateInService, monitor.State())
}
