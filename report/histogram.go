package report

import (
	"encoding/binary"
	"math"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Range and precision of latencies, in microseconds.
const (
	lowestLatency  = 16
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 2
)

// Bucket is one non-empty bucket of a Histogram.
type Bucket struct {
	// Index is the position of the bucket in an HdrHistogram.
	Index uint16
	// Count is the number of latencies in it.
	Count uint64
}

// Histogram is a distribution of latencies in sparse form, ordered by index. The
// zero value is empty.
type Histogram struct {
	// Buckets are the non-empty buckets.
	Buckets []Bucket
}

// maxCount bounds a bucket of a message, so that sums over many do not overflow.
const maxCount = 1 << 48

var errHistogram = errors.New("the encoding of a histogram is damaged; the sender may run another version of hemlockring")

// MarshalBinary implements encoding.BinaryMarshaler: for each bucket the distance
// from the one before and the count, both as varints.
func (h Histogram) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, 2*len(h.Buckets))
	last := uint16(0)
	for _, bucket := range h.Buckets {
		data = binary.AppendUvarint(data, uint64(bucket.Index-last))
		data = binary.AppendUvarint(data, bucket.Count)
		last = bucket.Index
	}
	return data, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (h *Histogram) UnmarshalBinary(data []byte) error {
	h.Buckets = nil
	index := uint64(0)
	for len(data) > 0 {
		distance, n := binary.Uvarint(data)
		if n <= 0 {
			return errHistogram
		}
		count, m := binary.Uvarint(data[n:])
		index += distance
		outside := distance > math.MaxUint16 || index > math.MaxUint16 || count > maxCount
		if m <= 0 || outside || (distance == 0 && len(h.Buckets) > 0) {
			return errHistogram
		}
		h.Buckets = append(h.Buckets, Bucket{Index: uint16(index), Count: count})
		data = data[n+m:]
	}
	return nil
}

// newRecorder returns the dense form that latencies are recorded in.
func newRecorder() *hdr.Histogram { return hdr.New(lowestLatency, highestLatency, latencyDigits) }

// recordLatency adds a latency; one that is out of range counts as the longest.
func recordLatency(recorder *hdr.Histogram, latency time.Duration) {
	_ = recorder.RecordValue(min(max(latency.Microseconds(), 0), highestLatency))
}

// sparse returns the sparse form of a dense histogram.
func sparse(recorder *hdr.Histogram) Histogram {
	var histogram Histogram
	for i, count := range recorder.Export().Counts {
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

// Quantiles are the usual quantiles of a distribution.
type Quantiles struct {
	// Count is the number of latencies.
	Count uint64 `json:"count"`
	// P50, P99, P999 and Max are exact to two digits.
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
	snapshot := newRecorder().Export()
	for _, bucket := range h.Buckets {
		if int(bucket.Index) < len(snapshot.Counts) {
			snapshot.Counts[bucket.Index] = int64(bucket.Count)
		}
	}
	dense := hdr.Import(snapshot)
	at := func(quantile float64) time.Duration {
		return time.Duration(dense.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Quantiles{Count: h.Count(), P50: at(50), P99: at(99), P999: at(99.9), Max: at(100)}
}
