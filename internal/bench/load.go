package bench

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hemlockring/hemlockring/internal/testbed"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// Range of the latency histograms.
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 3
	// requestTimeout is the timeout of a request of the load.
	requestTimeout = 10 * time.Second
)

// target is the URL and key that a closed loop sends its requests with.
type target struct {
	url string
	key string
	// orders makes the requests orders, each with a new Idempotency-Key, instead of
	// lookups.
	orders bool
}

// loadResult is the measurement of a closed loop.
type loadResult struct {
	latency *hdrhistogram.Histogram
	failed  int
	// failureReasons counts the failures by error text.
	failureReasons map[string]int
	elapsed        time.Duration
}

func newLoadResult() *loadResult {
	return &loadResult{failureReasons: make(map[string]int), latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

func (r *loadResult) merge(other *loadResult) {
	r.latency.Merge(other.latency)
	r.failed += other.failed
	for reason, count := range other.failureReasons {
		r.failureReasons[reason] += count
	}
	r.elapsed += other.elapsed
}

// rate returns the successful requests per second.
func (r *loadResult) rate() float64 {
	return float64(r.latency.TotalCount()) / r.elapsed.Seconds()
}

// closedLoop is a closed-loop load: each worker sends one request after the other for
// the duration. With a positive interval, a worker starts at most one request per
// interval.
type closedLoop struct {
	client   *http.Client
	workers  int
	interval time.Duration
	duration time.Duration
}

// run sends the load to the target and returns the merged measurement of all workers.
func (l *closedLoop) run(ctx context.Context, target target) *loadResult {
	ctx, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	started := time.Now()
	results := make([]*loadResult, l.workers)
	var group sync.WaitGroup
	for i := range l.workers {
		results[i] = newLoadResult()
		offset := l.interval * time.Duration(i) / time.Duration(l.workers)
		group.Go(func() { l.runWorker(ctx, target, started.Add(offset), results[i]) })
	}
	group.Wait()
	total := newLoadResult()
	for _, result := range results {
		total.merge(result)
	}
	total.elapsed = time.Since(started)
	return total
}

func (l *closedLoop) runWorker(ctx context.Context, target target, next time.Time, result *loadResult) {
	for ctx.Err() == nil {
		if l.interval > 0 {
			if !sleepUntil(ctx, next) {
				return
			}
			next = next.Add(l.interval)
			if now := time.Now(); next.Before(now) {
				next = now
			}
		}
		started := time.Now()
		if err := sendRequest(ctx, l.client, target); err != nil {
			if ctx.Err() == nil {
				result.failed++
				result.failureReasons[err.Error()]++
			}
			continue
		}
		_ = result.latency.RecordValue(max(minLatencyMicros, time.Since(started).Microseconds()))
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return testbed.Sleep(ctx, time.Until(at))
}

func sendRequest(ctx context.Context, client *http.Client, target target) error {
	method := http.MethodGet
	if target.orders {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, target.url, nil)
	if err != nil {
		return errors.Wrap(err, "build the request")
	}
	if target.orders {
		request.Header.Set(pipeline.HeaderIdempotencyKey, uuid.NewString())
	}
	if target.key != "" {
		request.Header.Set("Authorization", "Bearer "+target.key)
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send the request")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Wrap(err, "read the response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d %s", response.StatusCode, response.Header.Get(pipeline.HeaderRefusal))
	}
	return nil
}

func newLoadClient(connections int) *http.Client {
	return &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true},
	}
}
