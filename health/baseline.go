package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Layout of the latency histogram: four buckets per doubling of the latency, from
// histogramStart to about six seconds.
const (
	histogramBuckets          = 64
	histogramBucketsPerOctave = 4
	histogramStart            = 100 * time.Microsecond
)

// Parameters of the baseline.
const (
	// SlowThreshold is slowThresholdFactor times the slowQuantile of the latencies.
	slowQuantile        = 0.99
	slowThresholdFactor = 1.0
	minSlowShare        = 0.01
	minErrorShare       = 0.005
	minBaselineRequests = 200
	// trimWorst leaves out one in trimDivisor servers.
	trimDivisor = 4
	// rankQuantile is the latency quantile by which trimWorst ranks the servers.
	rankQuantile                = 0.95
	maxFailingAccounts          = 32
	minServersForFailingAccount = 2
	defaultSlowThreshold        = 2 * time.Second
	defaultRequestRate          = 10
	minRequestRate              = 1
)

// Histogram counts latencies in buckets whose limits grow by a quarter of an octave. It
// takes 256 bytes.
type Histogram [histogramBuckets]uint32

// Record counts one latency.
func (h *Histogram) Record(latency time.Duration) {
	h[bucketOf(latency)]++
}

// Merge adds the counts of other.
func (h *Histogram) Merge(other *Histogram) {
	for i, count := range other {
		h[i] += count
	}
}

// Total returns the number of recorded latencies.
func (h *Histogram) Total() uint64 {
	var total uint64
	for _, count := range h {
		total += uint64(count)
	}
	return total
}

// Quantile returns the upper edge of the bucket that holds the quantile q, from 0 to 1.
// It returns zero if nothing was recorded.
func (h *Histogram) Quantile(q float64) time.Duration {
	total := h.Total()
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(q * float64(total)))
	var seen uint64
	for i, count := range h {
		seen += uint64(count)
		if seen >= rank {
			return bucketUpperEdge(i)
		}
	}
	return bucketUpperEdge(histogramBuckets - 1)
}

// shareAbove returns the share of latencies that fall in buckets above that of threshold.
func (h *Histogram) shareAbove(threshold time.Duration) float64 {
	total := h.Total()
	if total == 0 {
		return 0
	}
	var above uint64
	for i := bucketOf(threshold) + 1; i < histogramBuckets; i++ {
		above += uint64(h[i])
	}
	return float64(above) / float64(total)
}

func bucketOf(latency time.Duration) int {
	if latency <= histogramStart {
		return 0
	}
	octaves := math.Log2(float64(latency) / float64(histogramStart))
	return min(int(octaves*histogramBucketsPerOctave), histogramBuckets-1)
}

func bucketUpperEdge(bucket int) time.Duration {
	octaves := float64(bucket+1) / histogramBucketsPerOctave
	return time.Duration(float64(histogramStart) * math.Exp2(octaves))
}

// Summary holds the recent request outcomes of one backend server. The permit owner
// computes the baseline of the service from the summaries of its servers.
type Summary struct {
	// Latencies counts the completed requests.
	Latencies Histogram `cbor:"1,keyasint"`
	// Failed counts the failed requests, except those of FailingAccounts.
	Failed uint32 `cbor:"2,keyasint"`
	// Window is the time that the summary covers.
	Window time.Duration `cbor:"3,keyasint"`
	// FailingAccounts lists up to eight accounts whose requests fail on this server while
	// those of other accounts succeed.
	FailingAccounts []fleetconfig.AccountID `cbor:"4,keyasint,omitempty"`
}

// Baseline describes the current normal behavior of a service's backend servers. A
// detector compares the outcomes of one server with it.
type Baseline struct {
	// SlowThreshold is the latency above which a request is slow.
	SlowThreshold time.Duration `cbor:"1,keyasint"`
	// SlowShare is the normal share of slow requests, from 0 to 1.
	SlowShare float64 `cbor:"2,keyasint"`
	// ErrorShare is the normal share of failed requests, from 0 to 1.
	ErrorShare float64 `cbor:"3,keyasint"`
	// RequestRate is the normal request rate of one server, in requests per second.
	RequestRate float64 `cbor:"4,keyasint"`
	// FailingAccounts lists accounts whose requests fail on several servers. Outcomes of
	// these accounts are not evidence against a server.
	FailingAccounts []fleetconfig.AccountID `cbor:"5,keyasint,omitempty"`
	// Generation is incremented when the baseline has risen so far that evidence gathered
	// against an earlier baseline is invalid.
	Generation uint64 `cbor:"6,keyasint"`
}

// roseAbove reports whether b has risen so far above previous that evidence gathered
// against previous is invalid.
func (b *Baseline) roseAbove(previous *Baseline) bool {
	return float64(b.SlowThreshold) > baselineRiseFactor*float64(previous.SlowThreshold) ||
		b.ErrorShare > baselineRiseFactor*previous.ErrorShare
}

// DefaultBaseline returns the baseline of a service without measurements. Only severe
// faults stand out against it.
func DefaultBaseline() Baseline {
	return Baseline{
		SlowThreshold: defaultSlowThreshold,
		SlowShare:     minSlowShare,
		ErrorShare:    minErrorShare,
		RequestRate:   defaultRequestRate,
	}
}

// ServerSummary is the summary of a server together with the server's status.
type ServerSummary struct {
	// Status is the status that the server's monitor reported.
	Status Status
	// Summary holds the outcomes of the server.
	Summary Summary
}

// MergeBaseline computes the baseline of a service from the summaries of its servers. It
// uses only healthy servers if these are at least half. If most servers are not healthy,
// the slowdown is taken to affect the whole service, and every server counts. With fewer
// than minBaselineRequests requests only FailingAccounts changes from previous.
func MergeBaseline(previous Baseline, summaries []ServerSummary) Baseline {
	healthy := slices.DeleteFunc(slices.Clone(summaries), func(s ServerSummary) bool {
		return s.Status != StatusHealthy
	})
	used := summaries
	if 2*len(healthy) >= len(summaries) {
		used = healthy
	}
	var merged Histogram
	var rate float64
	trimmed := trimWorst(used, latencyRank)
	for _, summary := range trimmed {
		merged.Merge(&summary.Latencies)
		rate += requestRate(&summary.Summary)
	}
	baseline := previous
	baseline.FailingAccounts = commonFailingAccounts(summaries)
	total := merged.Total()
	if total < minBaselineRequests {
		return baseline
	}
	threshold := time.Duration(slowThresholdFactor * float64(merged.Quantile(slowQuantile)))
	baseline.SlowThreshold = threshold
	baseline.SlowShare = max(minSlowShare, merged.shareAbove(threshold))
	baseline.ErrorShare = max(minErrorShare, errorShare(trimWorst(used, errorRank)))
	baseline.RequestRate = max(minRequestRate, rate/float64(len(trimmed)))
	return baseline
}

// trimWorst returns the summaries without the worst quarter by rank, so that a few bad
// servers that are not yet suspect do not move the baseline.
func trimWorst(summaries []ServerSummary, rank func(*Summary) float64) []rankedSummary {
	ranked := make([]rankedSummary, len(summaries))
	for i := range summaries {
		ranked[i] = rankedSummary{Summary: summaries[i].Summary, rank: rank(&summaries[i].Summary)}
	}
	slices.SortStableFunc(ranked, func(a, b rankedSummary) int { return cmp.Compare(a.rank, b.rank) })
	return ranked[:len(ranked)-len(ranked)/trimDivisor]
}

// rankedSummary is a summary with its sort key.
type rankedSummary struct {
	Summary
	rank float64
}

func latencyRank(summary *Summary) float64 {
	return float64(summary.Latencies.Quantile(rankQuantile))
}

func errorRank(summary *Summary) float64 {
	return float64(summary.Failed) / float64(max(1, summary.Latencies.Total()))
}

func errorShare(summaries []rankedSummary) float64 {
	var failed, total uint64
	for i := range summaries {
		failed += uint64(summaries[i].Failed)
		total += summaries[i].Latencies.Total()
	}
	return float64(failed) / float64(max(1, total))
}

func requestRate(summary *Summary) float64 {
	if summary.Window <= 0 {
		return 0
	}
	return float64(summary.Latencies.Total()) / summary.Window.Seconds()
}

// commonFailingAccounts returns the accounts that at least minServersForFailingAccount
// servers report as failing.
func commonFailingAccounts(summaries []ServerSummary) []fleetconfig.AccountID {
	servers := make(map[fleetconfig.AccountID]int)
	var common []fleetconfig.AccountID
	for i := range summaries {
		accounts := slices.Clone(summaries[i].Summary.FailingAccounts)
		slices.Sort(accounts)
		for _, account := range slices.Compact(accounts) {
			servers[account]++
			if servers[account] == minServersForFailingAccount && len(common) < maxFailingAccounts {
				common = append(common, account)
			}
		}
	}
	slices.Sort(common)
	return common
}
