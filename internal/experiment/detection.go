package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/hemlockring/hemlockring/health"
)

// Lengths of a detection run.
const (
	warmUp       = time.Minute
	maxDetection = 2 * time.Minute
	// pathTimeout is how long an ingress waits for a sign of life from the instance.
	pathTimeout = 250 * time.Millisecond
)

// detection is one run of one fault under one policy.
type detection struct {
	requests int
	after    time.Duration
	found    bool
}

// detectionRun injects a fault into one server after a warm-up and returns what
// each policy made of it.
func detectionRun(settings *Settings, service *ServiceSettings, fault Fault, seed uint64) map[policyName]detection {
	if fault == FaultOneWay {
		return oneWayRun(settings, service, seed)
	}
	s := newWatchedService(settings, service, seed)
	rng := rand.New(rand.NewPCG(seed, 1<<32))
	s.run(warmUp + time.Duration(rng.Int64N(int64(10*time.Second))))
	victim := s.servers[rng.IntN(len(s.servers))]
	former := make(map[policyName]int)
	for _, name := range detectionPolicies {
		former[name] = len(victim.ejectionsOf(name))
	}
	faultBegan := s.now
	victim.fake.setFault(fault, s.now)
	results := make(map[policyName]detection)
	for len(results) < len(detectionPolicies) && s.now.Sub(faultBegan) < maxDetection {
		s.step()
		for _, name := range detectionPolicies {
			ejections := victim.ejectionsOf(name)
			if _, known := results[name]; known || len(ejections) == former[name] {
				continue
			}
			results[name] = detection{
				requests: victim.fake.sinceFault,
				after:    ejections[former[name]].Sub(faultBegan),
				found:    true,
			}
		}
	}
	for _, name := range detectionPolicies {
		if _, known := results[name]; !known {
			results[name] = detection{requests: victim.fake.sinceFault, after: maxDetection}
		}
	}
	return results
}

// oneWayRun loses every answer on the way from one instance to one ingress. The
// requests are those of the ingress alone; the server's own monitor sees good
// outcomes throughout.
func oneWayRun(settings *Settings, service *ServiceSettings, seed uint64) map[policyName]detection {
	rng := rand.New(rand.NewPCG(seed, 1<<33))
	gap := float64(time.Second) * float64(settings.Ingresses) / service.RequestRate
	var path health.PathMonitor
	now := epoch
	for range 100 {
		now = now.Add(time.Duration(rng.ExpFloat64() * gap))
		path.RecordResponse(now)
	}
	began := now
	var sent []time.Time
	for end := began.Add(maxDetection); now.Before(end); {
		now = now.Add(time.Duration(rng.ExpFloat64() * gap))
		sent = append(sent, now)
	}
	results := map[policyName]detection{
		policyZScore:      {requests: len(sent), after: maxDetection},
		policyCUSUM:       {requests: len(sent), after: maxDetection},
		policyConsecutive: lossRun(sent, began, settings.Deadline, consecutiveErrors),
		policyProbes:      {requests: requestsUntil(sent, began.Add(probeFailures*probeInterval)), after: probeFailures * probeInterval, found: true},
	}
	if len(sent) >= zWindow {
		results[policyZScore] = lossRun(sent, began, settings.Deadline, zWindow/8+1)
	}
	for _, at := range sent {
		path.RecordLoss(at.Add(pathTimeout))
		if path.ShouldAvoid() {
			found := at.Add(pathTimeout)
			results[policyCUSUM] = detection{requests: requestsUntil(sent, found), after: found.Sub(began), found: true}
			break
		}
	}
	return results
}

// lossRun finds the time at which the given number of requests has timed out.
func lossRun(sent []time.Time, began time.Time, timeout time.Duration, losses int) detection {
	if len(sent) < losses {
		return detection{requests: len(sent), after: maxDetection}
	}
	found := sent[losses-1].Add(timeout)
	return detection{requests: requestsUntil(sent, found), after: found.Sub(began), found: true}
}

func requestsUntil(sent []time.Time, at time.Time) int {
	count := 0
	for _, time := range sent {
		if !time.After(at) {
			count++
		}
	}
	return count
}
