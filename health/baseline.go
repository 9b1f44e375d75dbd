package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Shape of the latency histogram: four buckets for each doubling, from
// histogramStart to about six seconds.
const (
	histogramBuckets          = 64
	histogramBucketsPerOctave = 4
	histogramStart            = 100 * time.Microsecond
)

// Parts of the baseline.
const (
	slowQuantile           = 0.99
	slowBoundFactor        = 1.0
	minSlowShare           = 0.01
	minErrorShare          = 0.005
	minBaselineRequests    = 200
	trimmedPart            = 4
	rankQuantile           = 0.95
	maxFailingAccounts     = 32
	failingAccountsServers = 2
	defaultSlowBound       = 2 * time.Second
	defaultRequestRate     = 10
	minRequestRate         = 1
)

// Histogram counts latencies in buckets that grow by a quarter of an octave.
// It takes 256 bytes.
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

// Quantile returns the upper edge of the bucket that holds the quantile q, from
// 0 to 1. It returns zero when nothing was recorded.
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
			return bucketEnd(i)
		}
	}
	return bucketEnd(histogramBuckets - 1)
}

// shareAbove returns the share of latencies in buckets that start at bound or
// later.
func (h *Histogram) shareAbove(bound time.Duration) float64 {
	total := h.Total()
	if total == 0 {
		return 0
	}
	var above uint64
	for i := bucketOf(bound) + 1; i < histogramBuckets; i++ {
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

func bucketEnd(bucket int) time.Duration {
	octaves := float64(bucket+1) / histogramBucketsPerOctave
	return time.Duration(float64(histogramStart) * math.Exp2(octaves))
}

// Summary is what one backend server contributes to the baseline of its
// service: its outcomes over the last few seconds.
type Summary struct {
	// Latencies counts the completed requests.
	Latencies Histogram `cbor:"1,keyasint"`
	// Failed counts the failed requests, without those of FailingAccounts.
	Failed uint32 `cbor:"2,keyasint"`
	// Window is how long the summary covers.
	Window time.Duration `cbor:"3,keyasint"`
	// FailingAccounts are the accounts, at most eight, whose requests fail here
	// while those of other accounts do not.
	FailingAccounts []fleetconfig.AccountID `cbor:"4,keyasint,omitempty"`
}

// Baseline describes what is usual for a service at present. Outcomes of one
// backend server are judged against it.
type Baseline struct {
	// SlowThreshold is the latency above which a request is slow.
	SlowThreshold time.Duration `cbor:"1,keyasint"`
	// SlowShare is the usual share of slow requests, from 0 to 1.
	SlowShare float64 `cbor:"2,keyasint"`
	// ErrorShare is the usual share of failed requests, from 0 to 1.
	ErrorShare float64 `cbor:"3,keyasint"`
	// RequestRate is the usual number of requests a second of one server.
	RequestRate float64 `cbor:"4,keyasint"`
	// FailingAccounts are accounts whose requests fail on several servers. Their
	// outcomes are no evidence against a server.
	FailingAccounts []fleetconfig.AccountID `cbor:"5,keyasint,omitempty"`
	// Generation changes when the baseline has risen so far that evidence against the
	// former one is void.
	Generation uint64 `cbor:"6,keyasint"`
}

// risen reports whether evidence gathered against former is void.
func (b *Baseline) risen(former *Baseline) bool {
	return float64(b.SlowThreshold) > rebaseFactor*float64(former.SlowThreshold) ||
		b.ErrorShare > rebaseFactor*former.ErrorShare
}

// DefaultBaseline returns the baseline of a service about which nothing is
// known. Only gross faults stand out against it.
func DefaultBaseline() Baseline {
	return Baseline{
		SlowThreshold: defaultSlowBound,
		SlowShare:     minSlowShare,
		ErrorShare:    minErrorShare,
		RequestRate:   defaultRequestRate,
	}
}

// ServerSummary is a summary with the standing of its server.
type ServerSummary struct {
	// Status is what the server's monitor believes.
	Status Status
	// Summary holds the outcomes of the server.
	Summary Summary
}

// MergeBaseline builds the baseline of a service. Suspect and ejected servers
// are left out as long as the others are at least half; when most servers are
// suspect, the day is slow for all and every server counts. It returns previous
// when there are too few requests to say more.
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
	for _, summary := range bestServers(used, latencyRank) {
		merged.Merge(&summary.Latencies)
		rate += requestRate(&summary.Summary)
	}
	baseline := previous
	baseline.FailingAccounts = commonFailingAccounts(summaries)
	total := merged.Total()
	if total < minBaselineRequests {
		return baseline
	}
	bound := time.Duration(slowBoundFactor * float64(merged.Quantile(slowQuantile)))
	baseline.SlowThreshold = bound
	baseline.SlowShare = max(minSlowShare, merged.shareAbove(bound))
	baseline.ErrorShare = max(minErrorShare, errorShare(bestServers(used, errorRank)))
	baseline.RequestRate = max(minRequestRate, rate/float64(len(used)))
	return baseline
}

// bestServers returns the summaries without the worst quarter, so that a few
// servers that are bad but not yet suspect do not move the baseline.
func bestServers(summaries []ServerSummary, rank func(*Summary) float64) []rankedSummary {
	ranked := make([]rankedSummary, len(summaries))
	for i := range summaries {
		ranked[i] = rankedSummary{Summary: summaries[i].Summary, rank: rank(&summaries[i].Summary)}
	}
	slices.SortStableFunc(ranked, func(a, b rankedSummary) int { return cmp.Compare(a.rank, b.rank) })
	return ranked[:len(ranked)-len(ranked)/trimmedPart]
}

// rankedSummary is a summary with the figure that it is ordered by.
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

// commonFailingAccounts returns the accounts that several servers name.
func commonFailingAccounts(summaries []ServerSummary) []fleetconfig.AccountID {
	servers := make(map[fleetconfig.AccountID]int)
	var common []fleetconfig.AccountID
	for i := range summaries {
		for _, account := range summaries[i].Summary.FailingAccounts {
			servers[account]++
			if servers[account] == failingAccountsServers && len(common) < maxFailingAccounts {
				common = append(common, account)
			}
		}
	}
	slices.Sort(common)
	return common
}
