package backendproxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/hemlockring/hemlockring/quota"
)

// clockReadingBase is the base of the numbers in an encoded clock reading.
const clockReadingBase = 36

// FormatClockReading encodes a clock reading for use in a header, as
// "incarnation.nanoseconds" with both numbers in base 36.
func FormatClockReading(reading quota.ClockReading) string {
	return strconv.FormatUint(reading.Incarnation, clockReadingBase) + "." + strconv.FormatInt(int64(reading.Elapsed), clockReadingBase)
}

// ParseClockReading decodes a clock reading that FormatClockReading has encoded. It
// returns false when the text is invalid.
func ParseClockReading(text string) (reading quota.ClockReading, ok bool) {
	incarnation, elapsed, found := strings.Cut(text, ".")
	if !found {
		return quota.ClockReading{}, false
	}
	number, err := strconv.ParseUint(incarnation, clockReadingBase, 64)
	if err != nil {
		return quota.ClockReading{}, false
	}
	nanoseconds, err := strconv.ParseInt(elapsed, clockReadingBase, 64)
	if err != nil {
		return quota.ClockReading{}, false
	}
	return quota.ClockReading{Incarnation: number, Elapsed: time.Duration(nanoseconds)}, true
}
