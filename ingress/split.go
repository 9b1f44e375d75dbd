package ingress

import (
	"math"
	"sync/atomic"
)

// goldenRatioFraction is the fractional part of the golden ratio. The fractional
// parts of its multiples are spread evenly over the unit interval, however many
// there are (Weyl's equidistribution theorem).
const goldenRatioFraction = 0.6180339887498949

// splitSequence generates numbers from 0 to 1 that distribute requests over the
// parts of a traffic split. Any run of consecutive numbers follows the weights
// closely, which random numbers do not. It is safe for concurrent use.
type splitSequence struct {
	// start offsets the sequence. It differs between instances, so that they do not
	// all choose the same part at the same time.
	start float64
	count atomic.Uint64
}

func (s *splitSequence) next() float64 {
	_, fraction := math.Modf(s.start + float64(s.count.Add(1))*goldenRatioFraction)
	return fraction
}
