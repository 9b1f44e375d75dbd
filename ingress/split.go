package ingress

import (
	"math"
	"sync/atomic"
)

// goldenRatio is the fractional part of the golden ratio. Its multiples are spread
// evenly over the unit interval however many there are (Weyl's equidistribution).
const goldenRatio = 0.6180339887498949

// splitSequence yields numbers from 0 to 1 by which requests are divided between
// the parts of a split: any run of them meets the weights closely, which random
// numbers do not. It is safe for concurrent use.
type splitSequence struct {
	// start differs between instances, so that they do not divide in step.
	start float64
	count atomic.Uint64
}

func (s *splitSequence) next() float64 {
	_, fraction := math.Modf(s.start + float64(s.count.Add(1))*goldenRatio)
	return fraction
}
