package report

import (
	"encoding/binary"
	"math"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	// minLatencyMicros is the resolution of the shortest latencies, in microseconds.
	minLatencyMicros = 16
	// maxLatencyMicros is the maximum latency, in microseconds.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of longer latencies in significant decimal
	// digits.
	significantDigits = 2
)

// Bucket is one non-empty bucket of a Histogram.
type Bucket struct {
	// Index is the position of the bucket in an HdrHistogram.
	Index uint16
	// Count is the number of latencies in the bucket.
	Count uint64
}

// Histogram is a latency distribution in sparse form. The zero value is empty.
type Histogram struct {
	// Buckets are the non-empty buckets, ordered by index.
	Buckets []Bucket
}

// maxBucketCount bounds the count of a bucket in a received histogram, so that sums
// over many histograms do not overflow.
const maxBucketCount = 1 << 48

var errInvalidHistogram = errors.New("the encoded histogram is invalid; check that the sender runs the same version of hemlockring")

// MarshalBinary implements encoding.BinaryMarshaler. For each bucket it writes the
// difference from the previous index and the count, both as unsigned varints.
func (h Histogram) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, 2*len(h.Buckets))
	previousIndex := uint16(0)
	for _, bucket := range h.Buckets {
		data = binary.AppendUvarint(data, uint64(bucket.Index-previousIndex))
		data = binary.AppendUvarint(data, bucket.Count)
		previousIndex = bucket.Index
	}
	return data, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (h *Histogram) UnmarshalBinary(data []byte) error {
	h.Buckets = nil
	index := uint64(0)
	for len(data) > 0 {
		delta, n := binary.Uvarint(data)
		if n <= 0 {
			return errInvalidHistogram
		}
		count, m := binary.Uvarint(data[n:])
		index += delta
		outOfRange := delta > math.MaxUint16 || index > math.MaxUint16 || count > maxBucketCount
		if m <= 0 || outOfRange || (delta == 0 && len(h.Buckets) > 0) {
			return errInvalidHistogram
		}
		h.Buckets = append(h.Buckets, Bucket{Index: uint16(index), Count: count})
		data = data[n+m:]
	}
	return nil
}

// newDenseHistogram returns an empty histogram in which latencies can be recorded.
func newDenseHistogram() *hdr.Histogram {
	return hdr.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// recordLatency adds a latency. A latency above maxLatencyMicros counts as
// maxLatencyMicros, a negative one as zero.
func recordLatency(histogram *hdr.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(latency.Microseconds(), 0), maxLatencyMicros))
}

// toSparse returns the non-empty buckets of a dense histogram.
func toSparse(dense *hdr.Histogram) Histogram {
	var histogram Histogram
	for i, count := range dense.Export().Counts {
		if count > 0 {
			histogram.Buckets = append(histogram.Buckets, Bucket{Index: uint16(i), Count: uint64(count)})
		}
	}
	return histogram
}

// Merge returns the sum of two histograms.
func (h Histogram) Merge(other Histogram) Histogram {
	merged := make([]Bucket, 0, max(len(h.Buckets), len(other.Buckets)))
	a, b := h.Buckets, other.Buckets
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0].Index < b[0].Index:
			merged, a = append(merged, a[0]), a[1:]
		case a[0].Index > b[0].Index:
			merged, b = append(merged, b[0]), b[1:]
		default:
			merged = append(merged, Bucket{Index: a[0].Index, Count: a[0].Count + b[0].Count})
			a, b = a[1:], b[1:]
		}
	}
	merged = append(append(merged, a...), b...)
	return Histogram{Buckets: merged}
}

// Count returns the number of latencies.
func (h Histogram) Count() uint64 {
	var count uint64
	for _, bucket := range h.Buckets {
		count += bucket.Count
	}
	return count
}

// Quantiles holds quantiles of a latency distribution.
type Quantiles struct {
	// Count is the number of latencies.
	Count uint64 `json:"count"`
	// P50, P99, P999 and Max are accurate to two significant digits or, if they are
	// short, to minLatencyMicros microseconds.
	P50  time.Duration `json:"p50_ns"`
	P99  time.Duration `json:"p99_ns"`
	P999 time.Duration `json:"p999_ns"`
	Max  time.Duration `json:"max_ns"`
}

// Quantiles returns the quantiles of the histogram, zero when it is empty.
func (h Histogram) Quantiles() Quantiles {
	if len(h.Buckets) == 0 {
		return Quantiles{}
	}
	snapshot := newDenseHistogram().Export()
	for _, bucket := range h.Buckets {
		if int(bucket.Index) < len(snapshot.Counts) {
			snapshot.Counts[bucket.Index] = int64(bucket.Count)
		}
	}
	dense := hdr.Import(snapshot)
	valueAt := func(quantile float64) time.Duration {
		return time.Duration(dense.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Quantiles{Count: h.Count(), P50: valueAt(50), P99: valueAt(99), P999: valueAt(99.9), Max: valueAt(100)}
}
