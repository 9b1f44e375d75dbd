package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/hemlockring/hemlockring/health"
)

// Durations of a detection run.
const (
	warmUpDuration   = time.Minute
	maxDetectionTime = 2 * time.Minute
	// pathReplyTimeout is how long an ingress waits for any message from the instance
	// before it counts a request as lost on the path.
	pathReplyTimeout = 250 * time.Millisecond
)

// detectionResult is the result of one policy in one run of one fault. requests and delay
// are counted from the start of the fault to its detection, or to the end of the run.
type detectionResult struct {
	requests int
	delay    time.Duration
	detected bool
}

// runDetection injects a fault into one server after a warm-up and returns the result of
// each policy.
func runDetection(settings *Settings, service *ServiceSettings, fault Fault, seed uint64) map[policyName]detectionResult {
	if fault == FaultOneWayLoss {
		return runOneWayLoss(settings, service, seed)
	}
	s := newSimulatedService(settings, service, seed)
	rng := rand.New(rand.NewPCG(seed, 1<<32))
	s.run(warmUpDuration + time.Duration(rng.Int64N(int64(10*time.Second))))
	faultyServer := s.servers[rng.IntN(len(s.servers))]
	ejectionsBefore := make(map[policyName]int)
	for _, name := range detectionPolicies {
		ejectionsBefore[name] = len(faultyServer.ejectionTimes(name))
	}
	faultStartedAt := s.now
	faultyServer.fake.injectFault(fault, s.now)
	results := make(map[policyName]detectionResult)
	for len(results) < len(detectionPolicies) && s.now.Sub(faultStartedAt) < maxDetectionTime {
		s.step()
		for _, name := range detectionPolicies {
			ejections := faultyServer.ejectionTimes(name)
			if _, decided := results[name]; decided || len(ejections) == ejectionsBefore[name] {
				continue
			}
			results[name] = detectionResult{
				requests: faultyServer.fake.requestsSinceFault,
				delay:    ejections[ejectionsBefore[name]].Sub(faultStartedAt),
				detected: true,
			}
		}
	}
	for _, name := range detectionPolicies {
		if _, decided := results[name]; !decided {
			results[name] = detectionResult{requests: faultyServer.fake.requestsSinceFault, delay: maxDetectionTime}
		}
	}
	return results
}

// runOneWayLoss drops every response on the path from one instance to one ingress. Only
// the requests of this ingress are counted. The monitor of the server sees successful
// outcomes throughout; policyCUSUM detects the fault with the path monitor of the ingress.
func runOneWayLoss(settings *Settings, service *ServiceSettings, seed uint64) map[policyName]detectionResult {
	rng := rand.New(rand.NewPCG(seed, 1<<33))
	meanInterval := float64(time.Second) * float64(settings.Ingresses) / service.RequestRate
	var monitor health.PathMonitor
	now := epoch
	for range 100 {
		now = now.Add(time.Duration(rng.ExpFloat64() * meanInterval))
		monitor.RecordResponse(now)
	}
	lossStartedAt := now
	var sentAt []time.Time
	for end := lossStartedAt.Add(maxDetectionTime); now.Before(end); {
		now = now.Add(time.Duration(rng.ExpFloat64() * meanInterval))
		sentAt = append(sentAt, now)
	}
	results := map[policyName]detectionResult{
		policyZScore:      {requests: len(sentAt), delay: maxDetectionTime},
		policyCUSUM:       {requests: len(sentAt), delay: maxDetectionTime},
		policyConsecutive: detectAfterLosses(sentAt, lossStartedAt, settings.Deadline, consecutiveErrors),
		policyProbes:      {requests: countUntil(sentAt, lossStartedAt.Add(probeFailures*probeInterval)), delay: probeFailures * probeInterval, detected: true},
	}
	if len(sentAt) >= zScoreWindow {
		// The z-score policy is modeled as detecting the fault after a fixed number of
		// losses, an eighth of its window and one more.
		results[policyZScore] = detectAfterLosses(sentAt, lossStartedAt, settings.Deadline, zScoreWindow/8+1)
	}
	for _, at := range sentAt {
		monitor.RecordLoss(at.Add(pathReplyTimeout))
		if monitor.ShouldAvoid() {
			detectedAt := at.Add(pathReplyTimeout)
			results[policyCUSUM] = detectionResult{requests: countUntil(sentAt, detectedAt), delay: detectedAt.Sub(lossStartedAt), detected: true}
			break
		}
	}
	return results
}

// detectAfterLosses returns the result of a policy that detects the fault when the given
// number of requests have timed out.
func detectAfterLosses(sentAt []time.Time, lossStartedAt time.Time, timeout time.Duration, losses int) detectionResult {
	if len(sentAt) < losses {
		return detectionResult{requests: len(sentAt), delay: maxDetectionTime}
	}
	detectedAt := sentAt[losses-1].Add(timeout)
	return detectionResult{requests: countUntil(sentAt, detectedAt), delay: detectedAt.Sub(lossStartedAt), detected: true}
}

func countUntil(sentAt []time.Time, end time.Time) int {
	count := 0
	for _, requestTime := range sentAt {
		if !requestTime.After(end) {
			count++
		}
	}
	return count
}
