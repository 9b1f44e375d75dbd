package health

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// viewLife bounds how old the owner's view of a server can be when an ejection
// begins.
const viewLife = ReportTTL + grantLife

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
	policy := PolicyForPreset(&fleetconfig.Preset{EjectionEnabled: true})
	server.monitor = NewMonitor("i", server.id, server.slots, policy, server.incarnation, s.now)
}

func (s *soup) replaceOwner() {
	s.owners++
	s.owner = NewPermitOwner(s.floor, DefaultPermitTTL, s.owners, s.now)
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
				reply := s.owner.HandleReport(action.Report, s.now)
				s.send(func() { monitor.HandleReportReply(reply) })
			})
		case RequestPermit:
			s.send(func() { s.answer(server, monitor, action.Request) })
		case ReleasePermit:
			s.send(func() {
				if s.owner != nil {
					s.owner.ReleasePermit("i", server.id, action.ID)
				}
			})
		case StateChanged:
			if action.From == StateInService && action.To == StateEjected {
				s.checkFloor(server)
			}
		}
	}
}

func (s *soup) answer(server *soupServer, monitor *Monitor, ask PermitRequest) {
	if s.owner == nil {
		return
	}
	reason := s.owner.RequestPermit(ask, s.now)
	s.send(func() {
		if monitor != server.monitor || !server.alive {
			return
		}
		if reason == ReasonNone {
			s.handle(server, monitor.HandleGrant(ask.ID, s.now))
		} else {
			s.handle(server, monitor.HandleDenial(ask.ID, reason, s.now))
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
		if server.monitor.Status() == StatusHealthy {
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
	if s.owner == nil || s.now.Sub(s.owner.started) < DefaultPermitTTL {
		return
	}
	for _, server := range s.servers {
		record := s.owner.find(serverKey{"i", server.id}, false)
		out := server.alive && server.monitor.State() != StateInService
		if out && record != nil && record.standing(s.now) == StatusHealthy {
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
				s.owner.HandleLeave("i", server.id, incarnation)
			}
		})
	case "start":
		if !server.alive || server.monitor.Status() == StatusDraining {
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
				server.monitor.HandleReportReply(s.owner.HandleReport(action.Report, s.now))
			case RequestPermit:
				if reason := s.owner.RequestPermit(action.Request, s.now); reason == ReasonNone {
					server.monitor.HandleGrant(action.Request.ID, s.now)
				} else {
					server.monitor.HandleDenial(action.Request.ID, reason, s.now)
				}
			case ReleasePermit:
				s.owner.ReleasePermit("i", server.id, action.ID)
			}
		}
	}
}
