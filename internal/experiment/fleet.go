package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
)

// tickInterval is the driver's tick in virtual time.
const tickInterval = 25 * time.Millisecond

// watched is one fake backend server with every policy that watches it.
type watched struct {
	fake    *fakeServer
	id      fleetconfig.BackendServerID
	monitor *health.Monitor
	rivals  []*rival
	bound   time.Duration
	// ejections are the times at which the monitor ejected the server.
	ejections []time.Time
}

func (w *watched) began(request *fakeRequest) {
	deadline := request.began.Add(w.fake.deadline)
	request.token = w.monitor.Begin(w.fake.names[request.account], deadline, request.began)
}

func (w *watched) ended(request *fakeRequest) {
	w.monitor.End(request.token, request.result, request.ends)
	for _, rival := range w.rivals {
		rival.ended(request, w.bound)
	}
}

// watchedService is the backend servers of a service, their monitors and the
// owner of the ejection permits. Messages between them take no time.
type watchedService struct {
	settings *Settings
	service  *ServiceSettings
	policy   health.Policy
	owner    *health.PermitOwner
	servers  []*watched
	now      time.Time
	starts   uint64
}

// usualSlowBound is the 99% quantile of the healthy latency, with some room.
func usualSlowBound(service *ServiceSettings) time.Duration {
	const z99, room = 2.326, 1.25
	factor := room * math.Exp(z99*service.LatencySigma)
	return time.Duration(factor * float64(service.LatencyMedian))
}

func newWatchedService(settings *Settings, service *ServiceSettings, seed uint64) *watchedService {
	s := &watchedService{settings: settings, service: service, now: epoch, policy: health.PolicyForPreset(&settings.Preset)}
	floor := health.Floor{Percent: service.FloorPercent}
	s.owner = health.NewPermitOwner(floor, s.policy.PermitTTL, 1, epoch)
	for i := range service.Servers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		server := &watched{
			fake:  newFakeServer(service, settings.Deadline, rng),
			id:    fleetconfig.BackendServerID(fmt.Sprintf("server-%d", i)),
			bound: usualSlowBound(service),
		}
		for _, name := range detectionPolicies[:len(detectionPolicies)-1] {
			server.rivals = append(server.rivals, &rival{name: name})
		}
		s.startMonitor(server)
		s.servers = append(s.servers, server)
	}
	return s
}

func (s *watchedService) startMonitor(server *watched) {
	s.starts++
	slots := uint32(s.service.Slots)
	server.monitor = health.NewMonitor("instance", server.id, slots, s.policy, s.starts, s.now)
}

// restart ends a server's running requests and starts it cold.
func (s *watchedService) restart(server *watched) {
	server.fake.running = nil
	server.fake.started = s.now
	s.startMonitor(server)
}

// step moves everything on by one tick.
func (s *watchedService) step() {
	s.now = s.now.Add(tickInterval)
	for _, server := range s.servers {
		server.fake.advance(s.now, server)
		since := s.now.Sub(server.fake.faultBegan)
		server.rivals[0].probe(server.fake.fault.visible(since), s.now)
		s.carryOut(server, server.monitor.Tick(s.now))
	}
	s.owner.Tick(s.now)
}

// run moves on for a while.
func (s *watchedService) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.step()
	}
}

func (s *watchedService) carryOut(server *watched, actions []health.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case health.SendReport:
			server.monitor.HandleReportReply(s.owner.HandleReport(action.Report, s.now))
		case health.ReleasePermit:
			s.owner.ReleasePermit("instance", server.id, action.ID)
		case health.RequestPermit:
			s.carryOut(server, s.ask(server, action.Request))
		case health.StateChanged:
			if action.From == health.StateInService {
				server.ejections = append(server.ejections, s.now)
			}
		}
	}
}

func (s *watchedService) ask(server *watched, ask health.PermitRequest) []health.Action {
	if reason := s.owner.RequestPermit(ask, s.now); reason != health.ReasonNone {
		return server.monitor.HandleDenial(ask.ID, reason, s.now)
	}
	return server.monitor.HandleGrant(ask.ID, s.now)
}

// ejectionsOf returns when a policy ejected the server.
func (w *watched) ejectionsOf(name policyName) []time.Time {
	for _, rival := range w.rivals {
		if rival.name == name {
			return rival.ejected
		}
	}
	return w.ejections
}
