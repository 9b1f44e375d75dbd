package membership

import "math"

// milli is the number of thousandths in one.
const milli = 1000

// MilliRate is a rate in thousandths of a request per second.
type MilliRate uint32

// MilliRateOf converts a rate in requests per second. Rates that the type can not hold are
// limited to its range, and NaN is zero.
func MilliRateOf(perSecond float64) MilliRate {
	if !(perSecond > 0) {
		return 0
	}
	return MilliRate(math.Round(min(perSecond*milli, math.MaxUint32)))
}

// PerSecond returns the rate in requests per second.
func (r MilliRate) PerSecond() float64 { return float64(r) / milli }
