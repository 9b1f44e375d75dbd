package experiment

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/health"
)

// meanFactor is the mean of a lognormal variable in multiples of its median.
func meanFactor(sigma float64) float64 { return math.Exp(sigma * sigma / 2) }

// tickLater lets queues and monitors pass time.
func (r *loadRun) tickLater() {
	r.events.add(r.now.Add(loadTick), func() {
		for _, server := range r.servers {
			r.carryOut(server.queue.Tick(r.now))
			if r.policy.health {
				r.service.now = r.now
				r.service.carryOut(server.watched, server.watched.monitor.Tick(r.now))
			}
		}
		r.service.owner.Tick(r.now)
		r.tickLater()
	})
}

// reportLater lets the servers report their load and state to the ingresses.
func (r *loadRun) reportLater() {
	r.events.add(r.now.Add(reportTick), func() {
		for _, server := range r.servers {
			for _, pool := range r.pools {
				r.report(pool, server)
				pool.Exclude(server.index, exclusionOf(server.watched.monitor))
			}
		}
		r.reportLater()
	})
}

func (r *loadRun) report(pool *balance.Pool, server *loadServer) {
	load := uint32(server.queue.Running() + server.queue.Waiting())
	pool.UpdateLoad(server.index, load, server.watched.monitor.Weight(r.now))
}

func exclusionOf(monitor *health.Monitor) balance.Exclusion {
	if monitor.State() == health.StateEjected {
		return balance.ExcludedEjected
	}
	return 0
}

// orderEnd says how an order ended.
type orderEnd int

const (
	endAnswered orderEnd = iota
	endFailed
	endRefused
	endLate
	orderEnds
)

// accountTotals counts the orders of one account.
type accountTotals struct {
	offered   int
	ends      [orderEnds]int
	latencies *hdrhistogram.Histogram
}

// Range of the latencies under load, in microseconds, and their precision.
const (
	maxLatencyMicros = 3_600_000_000
	latencyDigits    = 2
)

// loadTotals counts the orders of a run after its warm-up.
type loadTotals struct {
	accounts []accountTotals
	orders   int
	attempts int
}

func newLoadTotals(accounts int) loadTotals {
	totals := loadTotals{accounts: make([]accountTotals, accounts)}
	for i := range totals.accounts {
		totals.accounts[i].latencies = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	return totals
}

func (t *loadTotals) offered(o *order) {
	if o.counted {
		t.orders++
		t.accounts[o.account].offered++
	}
}

func (t *loadTotals) attempt(o *order) {
	if o.counted {
		t.attempts++
	}
}

func (t *loadTotals) ended(o *order, end orderEnd, latency time.Duration) {
	if !o.counted {
		return
	}
	account := &t.accounts[o.account]
	account.ends[end]++
	if end == endAnswered {
		_ = account.latencies.RecordValue(latency.Microseconds())
	}
}

// merge adds the totals of another run.
func (t *loadTotals) merge(other *loadTotals) {
	t.orders += other.orders
	t.attempts += other.attempts
	for i := range t.accounts {
		mine, theirs := &t.accounts[i], &other.accounts[i]
		mine.offered += theirs.offered
		mine.latencies.Merge(theirs.latencies)
		for end := range mine.ends {
			mine.ends[end] += theirs.ends[end]
		}
	}
}
