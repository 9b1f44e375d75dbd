package health

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// maxViewAge bounds the age of the owner's information about a server when an ejection
// begins.
const maxViewAge = ReportTTL + grantTimeout

// simulatedServer is a backend server with its monitor.
type simulatedServer struct {
	id          fleetconfig.BackendServerID
	slots       uint32
	monitor     *Monitor
	incarnation uint64
	failing     bool
	alive       bool
	lastHealthy time.Time
}

// delayedMessage is a message in transit. The field at is the time at which deliver runs.
type delayedMessage struct {
	at      time.Time
	deliver func()
}

// simulation runs monitors and owners with lost, delayed, duplicated and reordered
// messages, lost owners, and servers that leave, crash and return.
type simulation struct {
	t                *rapid.T
	now              time.Time
	floor            Floor
	servers          []*simulatedServer
	owner            *PermitOwner
	ownerIncarnation uint64
	messages         []delayedMessage
	ejections        int
}

func newSimulation(t *rapid.T, reliable bool) *simulation {
	s := &simulation{t: t, now: epoch}
	var total uint32
	for i := range rapid.IntRange(4, 6).Draw(t, "servers") {
		server := &simulatedServer{
			id:    fleetconfig.BackendServerID(fmt.Sprintf("s%d", i)),
			slots: rapid.Uint32Range(1, 3).Draw(t, "slots"),
		}
		total += server.slots
		s.start(server)
		s.servers = append(s.servers, server)
	}
	s.floor = Floor{Slots: rapid.Uint32Range(total/3, 1+total*2/3).Draw(t, "floor")}
	if reliable {
		s.floor = Floor{Slots: 1}
	}
	s.replaceOwner()
	return s
}

func (s *simulation) start(server *simulatedServer) {
	server.incarnation++
	server.alive = true
	policy := PolicyForPreset(&fleetconfig.Preset{EjectionEnabled: true})
	server.monitor = NewMonitor("i", server.id, server.slots, policy, server.incarnation, s.now)
}

func (s *simulation) replaceOwner() {
	s.ownerIncarnation++
	s.owner = NewPermitOwner(s.floor, DefaultPermitTTL, s.ownerIncarnation, s.now)
}

// send delivers a message after a random delay, twice, or never.
func (s *simulation) send(deliver func()) {
	copies := rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, 2}).Draw(s.t, "copies")
	for range copies {
		delay := rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 5, 40, 800, 900, 4000, 9000}).Draw(s.t, "delay ms")
		s.messages = append(s.messages, delayedMessage{at: s.now.Add(time.Duration(delay) * time.Millisecond), deliver: deliver})
	}
}

func (s *simulation) deliverDue() {
	var due, later []delayedMessage
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

func (s *simulation) handle(server *simulatedServer, actions []Action) {
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
			s.send(func() { s.requestPermit(server, monitor, action.Request) })
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

func (s *simulation) requestPermit(server *simulatedServer, monitor *Monitor, request PermitRequest) {
	if s.owner == nil {
		return
	}
	reason := s.owner.RequestPermit(request, s.now)
	s.send(func() {
		if monitor != server.monitor || !server.alive {
			return
		}
		if reason == ReasonNone {
			s.handle(server, monitor.HandleGrant(request.ID, s.now))
		} else {
			s.handle(server, monitor.HandleDenial(request.ID, reason, s.now))
		}
	})
}

// checkFloor checks that the floor holds when candidate is ejected: the servers in
// service other than candidate that were healthy within maxViewAge must have enough
// slots.
func (s *simulation) checkFloor(candidate *simulatedServer) {
	s.ejections++
	var healthy uint64
	for _, server := range s.servers {
		if server == candidate || server.monitor.State() != StateInService {
			continue
		}
		if s.now.Sub(server.lastHealthy) <= maxViewAge {
			healthy += uint64(server.slots)
		}
	}
	if healthy < uint64(s.floor.Slots) {
		s.t.Fatalf("ejection of %s leaves %d healthy slots, below the floor of %d", candidate.id, healthy, s.floor.Slots)
	}
}

// serve runs a few requests on each server and ticks its monitor.
func (s *simulation) serve() {
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
			if server.failing {
				result = ResultFailed
			}
			server.monitor.End(token, result, s.now.Add(time.Millisecond))
		}
		s.handle(server, server.monitor.Tick(s.now))
		if server.monitor.Status() == StatusHealthy {
			server.lastHealthy = s.now
		}
		if server.monitor.State() != StateInService && !s.now.Before(server.monitor.permitExpires) {
			s.t.Fatalf("%s is out of service without a valid permit", server.id)
		}
	}
}

// simulationEvents lists the events of one step. Each entry has a probability of 1/160
// per step.
var simulationEvents = []string{
	"bad", "bad", "two bad", "two bad", "two bad", "two bad", "good", "all good", "all good", "all good",
	"crash", "leave", "start", "start", "start", "owner",
}

// checkOwner checks that the owner counts no server that is out of service as healthy.
func (s *simulation) checkOwner() {
	if s.owner == nil || s.now.Sub(s.owner.startedAt) < DefaultPermitTTL {
		return
	}
	for _, server := range s.servers {
		record := s.owner.find(serverKey{"i", server.id}, false)
		out := server.alive && server.monitor.State() != StateInService
		if out && record != nil && record.status(s.now) == StatusHealthy {
			s.t.Fatalf("the owner counts %s as healthy while it is out of service", server.id)
		}
	}
}

// injectEvent applies at most one random event. If there is no owner, the entries 0 and
// 10 of simulationEvents also start a new owner.
func (s *simulation) injectEvent() {
	event := rapid.IntRange(0, 159).Draw(s.t, "event")
	if event >= len(simulationEvents) {
		return
	}
	server := rapid.SampledFrom(s.servers).Draw(s.t, "server")
	switch simulationEvents[event] {
	case "bad":
		server.failing = true
	case "good":
		server.failing = false
	case "two bad":
		server.failing = true
		rapid.SampledFrom(s.servers).Draw(s.t, "second").failing = true
	case "all good":
		for _, server := range s.servers {
			server.failing = false
		}
	case "crash":
		server.alive = false
		server.monitor.transition(StateInService, s.now, nil)
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

// serveReliably is like serve, but delivers every message immediately.
func (s *simulation) serveReliably() {
	for _, server := range s.servers {
		for i := range 3 {
			if server.monitor.Admits() {
				token := server.monitor.Begin(fleetconfig.AccountID(fmt.Sprintf("a%d", i)), s.now.Add(time.Minute), s.now)
				result := ResultOK
				if server.failing {
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
