package experiment

import (
	"math/rand/v2"
	"time"
)

// healthyCase is a scenario in which no server should be ejected.
type healthyCase string

// Healthy cases. Their values are names in the output.
const (
	caseNoise           healthyCase = "noise"
	caseColdStart       healthyCase = "cold starts"
	caseServiceSlowdown healthyCase = "slow day for all"
	caseFailingAccount  healthyCase = "one account always fails"
)

// healthyCases lists all healthy cases in the order of the tables.
var healthyCases = []healthyCase{caseNoise, caseColdStart, caseServiceSlowdown, caseFailingAccount}

// Parameters of the healthy cases. otherCasesFraction is the length of a case other than
// caseNoise as a fraction of HealthyServerDays.
const (
	otherCasesFraction     = 0.1
	disturbanceInterval    = 10 * time.Minute
	slowdownLatencyFactor  = 5
	slowdownDuration       = 3 * time.Minute
	failingAccountDuration = 3 * time.Minute
	maxHealthyRunLength    = 2 * time.Hour
)

// healthyResult holds the number of ejections of healthy servers under each policy.
type healthyResult struct {
	serverDays float64
	ejections  map[policyName]int
}

// runHealthy simulates healthy servers for the given length and counts the ejections. The
// disturbance of the case occurs at the end of each disturbanceInterval.
func runHealthy(settings *Settings, service *ServiceSettings, kind healthyCase, length time.Duration, seed uint64) healthyResult {
	s := newSimulatedService(settings, service, seed)
	rng := rand.New(rand.NewPCG(seed, 1<<34))
	s.run(warmUpDuration)
	for remaining := length; remaining > 0; remaining -= disturbanceInterval {
		interval := min(remaining, disturbanceInterval)
		undisturbed := interval - min(interval, max(slowdownDuration, failingAccountDuration))
		s.run(undisturbed)
		s.startDisturbance(kind, rng)
		s.run(interval - undisturbed)
		s.endDisturbance()
	}
	result := healthyResult{
		serverDays: length.Hours() / 24 * float64(service.Servers),
		ejections:  make(map[policyName]int),
	}
	for _, server := range s.servers {
		for _, name := range detectionPolicies {
			result.ejections[name] += len(server.ejectionTimes(name))
		}
	}
	return result
}

// startDisturbance starts the disturbance of a case. The noise case has none.
func (s *simulatedService) startDisturbance(kind healthyCase, rng *rand.Rand) {
	failingAccount := rng.IntN(s.service.Accounts)
	restartedServer := rng.IntN(len(s.servers))
	for i, server := range s.servers {
		switch {
		case kind == caseServiceSlowdown:
			server.fake.latencyFactor = slowdownLatencyFactor
		case kind == caseFailingAccount:
			server.fake.failingAccount = failingAccount
		case kind == caseColdStart && i == restartedServer:
			s.restart(server)
		}
	}
}

// endDisturbance ends the disturbance of the case at all servers.
func (s *simulatedService) endDisturbance() {
	for _, server := range s.servers {
		server.fake.latencyFactor = 1
		server.fake.failingAccount = noAccount
	}
}
