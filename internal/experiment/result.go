package experiment

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the results of an experiment.
type Result struct {
	Name      string         `json:"name"`
	Seed      uint64         `json:"seed"`
	Seeds     int            `json:"seeds"`
	Detection []DetectionRow `json:"detection"`
	Healthy   []HealthyRow   `json:"healthy"`
	Load      []LoadRow      `json:"load"`
	Targets   []TargetRow    `json:"targets"`
}

// DetectionRow says how fast a policy detected a fault. For a run in which the fault was not
// detected, the quantiles use the requests and the time until the end of the run.
type DetectionRow struct {
	Service     string  `json:"service"`
	Fault       string  `json:"fault"`
	Policy      string  `json:"policy"`
	Runs        int     `json:"runs"`
	Detected    int     `json:"found"`
	RequestsP50 float64 `json:"requests_p50"`
	RequestsP95 float64 `json:"requests_p95"`
	RequestsMax float64 `json:"requests_worst"`
	SecondsP50  float64 `json:"seconds_p50"`
	SecondsP95  float64 `json:"seconds_p95"`
	SecondsMax  float64 `json:"seconds_worst"`
}

// HealthyRow says how often a policy ejected healthy servers.
type HealthyRow struct {
	Service      string  `json:"service"`
	Case         string  `json:"case"`
	Policy       string  `json:"policy"`
	ServerDays   float64 `json:"server_days"`
	Ejections    int     `json:"ejections"`
	PerServerDay float64 `json:"per_server_day"`
}

// LoadRow says how requests were served under a combination of policies. Requests and
// Amplification, the number of attempts per request, cover all accounts; the other figures
// cover only the accounts within their rate. A wrongful refusal is a request of such an
// account that was refused or not answered before its deadline.
type LoadRow struct {
	Service                 string  `json:"service"`
	Case                    string  `json:"case"`
	Policy                  string  `json:"policy"`
	Requests                int     `json:"orders"`
	MinServedPercent        float64 `json:"worst_share_percent"`
	MaxP99Millis            float64 `json:"worst_p99_ms"`
	P50Millis               float64 `json:"p50_ms"`
	P99Millis               float64 `json:"p99_ms"`
	WrongfulRefusalsPercent float64 `json:"wrongful_refusals_percent"`
	Amplification           float64 `json:"amplification"`
	// OverRate is the largest number of requests by which the requests to a server exceeded
	// what the rate that it advertises allows in emulator.RateWindow.
	OverRate int `json:"over_rate,omitempty"`
}

// TargetRow compares a target with the measured value.
type TargetRow struct {
	Service  string  `json:"service"`
	Target   string  `json:"target"`
	Limit    float64 `json:"limit"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
}

func detectionRow(service string, fault Fault, policy policyName, runs []detectionResult) DetectionRow {
	row := DetectionRow{Service: service, Fault: fault.String(), Policy: string(policy), Runs: len(runs)}
	requests, seconds := make([]float64, len(runs)), make([]float64, len(runs))
	for i, run := range runs {
		requests[i] = float64(run.requests)
		seconds[i] = run.delay.Seconds()
		if run.detected {
			row.Detected++
		}
	}
	row.RequestsP50, row.RequestsP95, row.RequestsMax = quantiles(requests)
	row.SecondsP50, row.SecondsP95, row.SecondsMax = quantiles(seconds)
	return row
}

// quantiles sorts values and returns the median, the 95% quantile and the largest value.
func quantiles(values []float64) (p50, p95, largest float64) {
	slices.Sort(values)
	last := len(values) - 1
	return values[last/2], values[last*95/100], values[last]
}

func loadRow(service *ServiceSettings, kind loadCase, policy *loadPolicy, totals *loadTotals) LoadRow {
	row := LoadRow{
		Service:          service.Name,
		Case:             string(kind),
		Policy:           string(policy.name),
		Requests:         totals.requests,
		MinServedPercent: 100,
		Amplification:    float64(totals.attempts) / float64(max(1, totals.requests)),
		OverRate:         totals.overRate,
	}
	latencies := hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	offered, unserved := 0, 0
	for i := range totals.accounts {
		if kind == loadAccountOverRate && i == 0 {
			continue
		}
		account := &totals.accounts[i]
		latencies.Merge(account.latencies)
		offered += account.offered
		unserved += account.outcomes[outcomeRefused] + account.outcomes[outcomeLate]
		served := 100 * float64(account.outcomes[outcomeAnswered]+account.outcomes[outcomeFailed]) / float64(max(1, account.offered))
		row.MinServedPercent = min(row.MinServedPercent, served)
		row.MaxP99Millis = max(row.MaxP99Millis, millis(account.latencies, 99))
	}
	row.P50Millis, row.P99Millis = millis(latencies, 50), millis(latencies, 99)
	row.WrongfulRefusalsPercent = 100 * float64(unserved) / float64(max(1, offered))
	return row
}

func millis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	latency := time.Duration(histogram.ValueAtQuantile(percentile)) * time.Microsecond
	return float64(latency) / float64(time.Millisecond)
}

// Targets of the project. FaultSlow30 and FaultErrors30 are the partial faults; all others
// are hard faults.
const (
	targetHardFaultRequests    = 12
	targetPartialFaultRequests = 60
	targetFalseEjectionsPerDay = 0.01
	targetServedPercent        = 95
	targetAmplification        = 1.1
)

// checkTargets compares the results of hemlockring's own policies with the targets.
func (r *Result) checkTargets() {
	for _, row := range r.Detection {
		if row.Policy != string(policyCUSUM) {
			continue
		}
		limit := float64(targetHardFaultRequests)
		if row.Fault == FaultSlow30.String() || row.Fault == FaultErrors30.String() {
			limit = targetPartialFaultRequests
		}
		r.addTarget(row.Service, "median requests to detect "+row.Fault, limit, row.RequestsP50, row.RequestsP50 <= limit && 2*row.Detected > row.Runs)
	}
	for _, row := range r.Healthy {
		if row.Policy == string(policyCUSUM) {
			r.addTarget(row.Service, "false ejections a server-day, "+row.Case, targetFalseEjectionsPerDay, row.PerServerDay, row.PerServerDay < targetFalseEjectionsPerDay)
		}
	}
	productPolicy := string(loadPolicies[len(loadPolicies)-1].name)
	for _, row := range r.Load {
		if row.Policy != productPolicy {
			continue
		}
		r.addTarget(row.Service, "worst share in percent, "+row.Case, targetServedPercent, row.MinServedPercent, row.MinServedPercent >= targetServedPercent)
		r.addTarget(row.Service, "amplification, "+row.Case, targetAmplification, row.Amplification, row.Amplification <= targetAmplification)
		if row.Case == string(loadLimitedServers) {
			r.addTarget(row.Service, "requests above the advertised rate", 0, float64(row.OverRate), row.OverRate == 0)
		}
	}
}

func (r *Result) addTarget(service, name string, limit, measured float64, met bool) {
	r.Targets = append(r.Targets, TargetRow{Service: service, Target: name, Limit: limit, Measured: measured, Met: met})
}
