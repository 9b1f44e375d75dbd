package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds everything that an experiment measured.
type Result struct {
	Name      string         `json:"name"`
	Seed      uint64         `json:"seed"`
	Seeds     int            `json:"seeds"`
	Detection []DetectionRow `json:"detection"`
	Healthy   []HealthyRow   `json:"healthy"`
	Load      []LoadRow      `json:"load"`
	Targets   []TargetRow    `json:"targets"`
}

// DetectionRow is how fast a policy detected a fault. The quantiles count a run
// that found nothing with all of its requests and its whole length.
type DetectionRow struct {
	Service       string  `json:"service"`
	Fault         string  `json:"fault"`
	Policy        string  `json:"policy"`
	Runs          int     `json:"runs"`
	Found         int     `json:"found"`
	RequestsP50   float64 `json:"requests_p50"`
	RequestsP95   float64 `json:"requests_p95"`
	RequestsWorst float64 `json:"requests_worst"`
	SecondsP50    float64 `json:"seconds_p50"`
	SecondsP95    float64 `json:"seconds_p95"`
	SecondsWorst  float64 `json:"seconds_worst"`
}

// HealthyRow is how often a policy ejected healthy servers.
type HealthyRow struct {
	Service      string  `json:"service"`
	Case         string  `json:"case"`
	Policy       string  `json:"policy"`
	ServerDays   float64 `json:"server_days"`
	Ejections    int     `json:"ejections"`
	PerServerDay float64 `json:"per_server_day"`
}

// LoadRow is how accounts fared under a combination of policies. Accounts within
// their rate count only; a wrongful refusal is an order of theirs that was
// refused or not answered in time.
type LoadRow struct {
	Service                 string  `json:"service"`
	Case                    string  `json:"case"`
	Policy                  string  `json:"policy"`
	Orders                  int     `json:"orders"`
	WorstSharePercent       float64 `json:"worst_share_percent"`
	WorstP99Millis          float64 `json:"worst_p99_ms"`
	P50Millis               float64 `json:"p50_ms"`
	P99Millis               float64 `json:"p99_ms"`
	WrongfulRefusalsPercent float64 `json:"wrongful_refusals_percent"`
	Amplification           float64 `json:"amplification"`
}

// TargetRow is one target with what was measured.
type TargetRow struct {
	Service  string  `json:"service"`
	Target   string  `json:"target"`
	Limit    float64 `json:"limit"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
}

func detectionRow(service string, fault Fault, policy policyName, runs []detection) DetectionRow {
	row := DetectionRow{Service: service, Fault: fault.String(), Policy: string(policy), Runs: len(runs)}
	requests, seconds := make([]float64, len(runs)), make([]float64, len(runs))
	for i, run := range runs {
		requests[i] = float64(run.requests)
		seconds[i] = run.after.Seconds()
		if run.found {
			row.Found++
		}
	}
	row.RequestsP50, row.RequestsP95, row.RequestsWorst = quantiles(requests)
	row.SecondsP50, row.SecondsP95, row.SecondsWorst = quantiles(seconds)
	return row
}

// quantiles returns the median, the 95% quantile and the largest value.
func quantiles(values []float64) (p50, p95, worst float64) {
	slices.Sort(values)
	last := len(values) - 1
	return values[last/2], values[last*95/100], values[last]
}

func loadRow(service *ServiceSettings, kind loadCase, policy *loadPolicy, totals *loadTotals) LoadRow {
	row := LoadRow{
		Service:           service.Name,
		Case:              string(kind),
		Policy:            string(policy.name),
		Orders:            totals.orders,
		WorstSharePercent: 100,
		Amplification:     float64(totals.attempts) / float64(max(1, totals.orders)),
	}
	all := hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	offered, refused := 0, 0
	for i := range totals.accounts {
		if kind == loadGreedy && i == 0 {
			continue
		}
		account := &totals.accounts[i]
		all.Merge(account.latencies)
		offered += account.offered
		refused += account.ends[endRefused] + account.ends[endLate]
		served := 100 * float64(account.ends[endAnswered]+account.ends[endFailed]) / float64(max(1, account.offered))
		row.WorstSharePercent = min(row.WorstSharePercent, served)
		row.WorstP99Millis = max(row.WorstP99Millis, millis(account.latencies, 99))
	}
	row.P50Millis, row.P99Millis = millis(all, 50), millis(all, 99)
	row.WrongfulRefusalsPercent = 100 * float64(refused) / float64(max(1, offered))
	return row
}

func millis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	micros := time.Duration(histogram.ValueAtQuantile(percentile)) * time.Microsecond
	return float64(micros) / float64(time.Millisecond)
}

// Targets of the project.
const (
	targetHardRequests    = 12
	targetPartialRequests = 60
	targetFalsePerDay     = 0.01
	targetSharePercent    = 95
	targetAmplification   = 1.1
)

// checkTargets compares the product's own policies with the targets.
func (r *Result) checkTargets() {
	for _, row := range r.Detection {
		if row.Policy != string(policyCUSUM) {
			continue
		}
		limit := float64(targetHardRequests)
		if row.Fault == FaultSlow30.String() || row.Fault == FaultErrors30.String() {
			limit = targetPartialRequests
		}
		r.target(row.Service, "median requests to detect "+row.Fault, limit, row.RequestsP50, row.RequestsP50 <= limit && 2*row.Found > row.Runs)
	}
	for _, row := range r.Healthy {
		if row.Policy == string(policyCUSUM) {
			r.target(row.Service, "false ejections a server-day, "+row.Case, targetFalsePerDay, row.PerServerDay, row.PerServerDay < targetFalsePerDay)
		}
	}
	product := string(loadPolicies[len(loadPolicies)-1].name)
	for _, row := range r.Load {
		if row.Policy != product {
			continue
		}
		r.target(row.Service, "worst share in percent, "+row.Case, targetSharePercent, row.WorstSharePercent, row.WorstSharePercent >= targetSharePercent)
		r.target(row.Service, "amplification, "+row.Case, targetAmplification, row.Amplification, row.Amplification <= targetAmplification)
	}
}

func (r *Result) target(service, name string, limit, measured float64, met bool) {
	r.Targets = append(r.Targets, TargetRow{Service: service, Target: name, Limit: limit, Measured: measured, Met: met})
}
