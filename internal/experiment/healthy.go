package experiment

import (
	"math/rand/v2"
	"time"
)

// healthyCase is a kind of day on which no server should be ejected.
type healthyCase string

// The healthy cases.
const (
	caseNoise   healthyCase = "noise"
	caseCold    healthyCase = "cold starts"
	caseSlowDay healthyCase = "slow day for all"
	caseAccount healthyCase = "one account always fails"
)

// healthyCases are all of them, in the order of the tables.
var healthyCases = []healthyCase{caseNoise, caseCold, caseSlowDay, caseAccount}

// Shapes of the healthy cases.
const (
	otherCasesShare = 0.1
	disturbEvery    = 10 * time.Minute
	slowDayFactor   = 5
	slowDayLength   = 3 * time.Minute
	failingLength   = 3 * time.Minute
	healthyRunLimit = 2 * time.Hour
)

// healthyResult counts the ejections of healthy servers.
type healthyResult struct {
	serverDays float64
	ejections  map[policyName]int
}

// healthyRun runs healthy servers for a length and counts the ejections.
func healthyRun(settings *Settings, service *ServiceSettings, kind healthyCase, length time.Duration, seed uint64) healthyResult {
	s := newWatchedService(settings, service, seed)
	rng := rand.New(rand.NewPCG(seed, 1<<34))
	s.run(warmUp)
	for left := length; left > 0; left -= disturbEvery {
		stretch := min(left, disturbEvery)
		quiet := stretch - min(stretch, max(slowDayLength, failingLength))
		s.run(quiet)
		s.disturb(kind, rng)
		s.run(stretch - quiet)
		s.calm()
	}
	result := healthyResult{
		serverDays: length.Hours() / 24 * float64(service.Servers),
		ejections:  make(map[policyName]int),
	}
	for _, server := range s.servers {
		for _, name := range detectionPolicies {
			result.ejections[name] += len(server.ejectionsOf(name))
		}
	}
	return result
}

// disturb begins what the case is about.
func (s *watchedService) disturb(kind healthyCase, rng *rand.Rand) {
	failing := rng.IntN(s.service.Accounts)
	restarted := rng.IntN(len(s.servers))
	for i, server := range s.servers {
		switch {
		case kind == caseSlowDay:
			server.fake.slowFactor = slowDayFactor
		case kind == caseAccount:
			server.fake.failing = failing
		case kind == caseCold && i == restarted:
			s.restart(server)
		}
	}
}

// calm ends it.
func (s *watchedService) calm() {
	for _, server := range s.servers {
		server.fake.slowFactor = 1
		server.fake.failing = noAccount
	}
}
