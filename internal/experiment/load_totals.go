package experiment

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/internal/emulator"
)

// lognormalMeanFactor returns the mean of a lognormal variable as a multiple of its median.
func lognormalMeanFactor(sigma float64) float64 { return math.Exp(sigma * sigma / 2) }

// scheduleTick schedules the periodic ticks of the queues, the monitors and the permit
// owner.
func (r *loadRun) scheduleTick() {
	r.events.add(r.now.Add(loadTickInterval), func() {
		for _, server := range r.servers {
			r.executeActions(server.queue.Tick(r.now))
			if r.policy.healthDetection {
				r.service.now = r.now
				r.service.executeActions(server.monitored, server.monitored.monitor.Tick(r.now))
			}
		}
		r.service.owner.Tick(r.now)
		r.scheduleTick()
	})
}

// scheduleReport schedules the periodic reports of load and ejection state from the
// servers to the ingresses.
func (r *loadRun) scheduleReport() {
	r.events.add(r.now.Add(reportInterval), func() {
		for _, server := range r.servers {
			for _, pool := range r.pools {
				r.updateLoad(pool, server)
				pool.Exclude(server.index, r.exclusionOf(server))
			}
		}
		r.scheduleReport()
	})
}

func (r *loadRun) updateLoad(pool *balance.Pool, server *loadServer) {
	load := uint32(server.queue.Running() + server.queue.Waiting())
	pool.UpdateLoad(server.index, load, server.monitored.monitor.Weight(r.now))
}

func (r *loadRun) exclusionOf(server *loadServer) balance.Exclusion {
	var reasons balance.Exclusion
	if server.monitored.monitor.State() == health.StateEjected {
		reasons |= balance.ExcludedEjected
	}
	if server.queue.RateState(r.now).Wait > 0 {
		reasons |= balance.ExcludedRate
	}
	return reasons
}

// rateMeter counts the requests to a server that advertises a rate.
type rateMeter struct {
	rate    float64
	started []time.Time
}

// record counts a request that starts now. It returns by how many requests those of the last
// emulator.RateWindow exceed what the rate allows.
func (m *rateMeter) record(now time.Time) int {
	m.started = append(m.started, now)
	for now.Sub(m.started[0]) > emulator.RateWindow {
		m.started = m.started[1:]
	}
	return max(0, len(m.started)-int(emulator.RateTolerance*m.rate*emulator.RateWindow.Seconds()+emulator.RateAllowance))
}

// requestOutcome is the final outcome of a request.
type requestOutcome int

const (
	outcomeAnswered requestOutcome = iota
	outcomeFailed
	outcomeRefused
	outcomeLate
	outcomeCount
)

// accountTotals counts the requests of one account. latencies holds those of answered
// requests.
type accountTotals struct {
	offered   int
	outcomes  [outcomeCount]int
	latencies *hdrhistogram.Histogram
}

// Range of the latency histograms, in microseconds, and their precision in significant
// digits.
const (
	maxLatencyMicros = 3_600_000_000
	latencyDigits    = 2
)

// loadTotals counts the requests of a run that arrived after the warm-up.
type loadTotals struct {
	accounts []accountTotals
	requests int
	attempts int
	// overRate is the largest number of requests above the advertised rate of a server.
	overRate int
}

func newLoadTotals(accounts int) loadTotals {
	totals := loadTotals{accounts: make([]accountTotals, accounts)}
	for i := range totals.accounts {
		totals.accounts[i].latencies = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	return totals
}

func (t *loadTotals) recordRequest(request *loadRequest) {
	if request.measured {
		t.requests++
		t.accounts[request.account].offered++
	}
}

func (t *loadTotals) recordAttempt(request *loadRequest) {
	if request.measured {
		t.attempts++
	}
}

// withdrawAttempt removes an attempt that has not reached a server.
func (t *loadTotals) withdrawAttempt(request *loadRequest) {
	if request.measured {
		t.attempts--
	}
}

func (t *loadTotals) recordOutcome(request *loadRequest, outcome requestOutcome, latency time.Duration) {
	if !request.measured {
		return
	}
	account := &t.accounts[request.account]
	account.outcomes[outcome]++
	if outcome == outcomeAnswered {
		_ = account.latencies.RecordValue(latency.Microseconds())
	}
}

// merge adds the totals of another run.
func (t *loadTotals) merge(other *loadTotals) {
	t.requests += other.requests
	t.attempts += other.attempts
	t.overRate = max(t.overRate, other.overRate)
	for i := range t.accounts {
		mine, theirs := &t.accounts[i], &other.accounts[i]
		mine.offered += theirs.offered
		mine.latencies.Merge(theirs.latencies)
		for outcome := range mine.outcomes {
			mine.outcomes[outcome] += theirs.outcomes[outcome]
		}
	}
}
