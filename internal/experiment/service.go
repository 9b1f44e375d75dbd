package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
)

// tickInterval is the simulation step in virtual time.
const tickInterval = 25 * time.Millisecond

// monitoredServer is one fake backend server with the detection policies that observe it.
type monitoredServer struct {
	fake      *fakeServer
	id        fleetconfig.BackendServerID
	monitor   *health.Monitor
	baselines []*baselinePolicy
	slowBound time.Duration
	// ejections holds the times at which the monitor ejected the server.
	ejections []time.Time
}

func (w *monitoredServer) requestStarted(request *fakeRequest) {
	deadline := request.startedAt.Add(w.fake.deadline)
	request.token = w.monitor.Begin(w.fake.accountIDs[request.account], deadline, request.startedAt)
}

func (w *monitoredServer) requestEnded(request *fakeRequest) {
	w.monitor.End(request.token, request.result, request.endsAt)
	for _, baseline := range w.baselines {
		baseline.requestEnded(request, w.slowBound)
	}
}

// simulatedService holds the backend servers of a service, their monitors and the owner of
// the ejection permits. Messages between them are delivered without delay.
type simulatedService struct {
	settings        *Settings
	service         *ServiceSettings
	policy          health.Policy
	owner           *health.PermitOwner
	servers         []*monitoredServer
	now             time.Time
	lastIncarnation uint64
}

// healthySlowBound returns the 99% quantile of the healthy latency, times a safety margin.
func healthySlowBound(service *ServiceSettings) time.Duration {
	const z99, margin = 2.326, 1.25
	factor := margin * math.Exp(z99*service.LatencySigma)
	return time.Duration(factor * float64(service.LatencyMedian))
}

func newSimulatedService(settings *Settings, service *ServiceSettings, seed uint64) *simulatedService {
	s := &simulatedService{settings: settings, service: service, now: epoch, policy: health.PolicyForPreset(&settings.Preset)}
	floor := health.Floor{Percent: service.FloorPercent}
	s.owner = health.NewPermitOwner(floor, s.policy.PermitTTL, 1, epoch)
	for i := range service.Servers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		server := &monitoredServer{
			fake:      newFakeServer(service, settings.Deadline, rng),
			id:        fleetconfig.BackendServerID(fmt.Sprintf("server-%d", i)),
			slowBound: healthySlowBound(service),
		}
		for _, name := range detectionPolicies[:len(detectionPolicies)-1] {
			server.baselines = append(server.baselines, &baselinePolicy{name: name})
		}
		s.startMonitor(server)
		s.servers = append(s.servers, server)
	}
	return s
}

func (s *simulatedService) startMonitor(server *monitoredServer) {
	s.lastIncarnation++
	slots := uint32(s.service.Slots)
	server.monitor = health.NewMonitor("instance", server.id, slots, s.policy, s.lastIncarnation, s.now)
}

// restart drops the running requests of a server and restarts it cold, with a new monitor.
func (s *simulatedService) restart(server *monitoredServer) {
	server.fake.running = nil
	server.fake.startedAt = s.now
	s.startMonitor(server)
}

// step advances the simulation by one tick.
func (s *simulatedService) step() {
	s.now = s.now.Add(tickInterval)
	for _, server := range s.servers {
		server.fake.advance(s.now, server)
		sinceFault := s.now.Sub(server.fake.faultStartedAt)
		// baselines[0] is policyProbes, the only policy with active probes.
		server.baselines[0].probe(server.fake.fault.failsProbe(sinceFault), s.now)
		s.executeActions(server, server.monitor.Tick(s.now))
	}
	s.owner.Tick(s.now)
}

// run advances the simulation by the given length.
func (s *simulatedService) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); {
		s.step()
	}
}

func (s *simulatedService) executeActions(server *monitoredServer, actions []health.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case health.SendReport:
			server.monitor.HandleReportReply(s.owner.HandleReport(action.Report, s.now))
		case health.ReleasePermit:
			s.owner.ReleasePermit("instance", server.id, action.ID)
		case health.RequestPermit:
			s.executeActions(server, s.requestPermit(server, action.Request))
		case health.StateChanged:
			if action.From == health.StateInService {
				server.ejections = append(server.ejections, s.now)
			}
		}
	}
}

func (s *simulatedService) requestPermit(server *monitoredServer, request health.PermitRequest) []health.Action {
	if reason := s.owner.RequestPermit(request, s.now); reason != health.ReasonNone {
		return server.monitor.HandleDenial(request.ID, reason, s.now)
	}
	return server.monitor.HandleGrant(request.ID, s.now)
}

// ejectionTimes returns the times at which a policy ejected the server.
func (w *monitoredServer) ejectionTimes(name policyName) []time.Time {
	for _, baseline := range w.baselines {
		if baseline.name == name {
			return baseline.ejections
		}
	}
	return w.ejections
}
