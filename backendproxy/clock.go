package backendproxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/hemlockring/hemlockring/quota"
)

// readingBase is the base of the numbers in a written clock reading.
const readingBase = 36

// FormatClockReading writes a clock reading for a header.
func FormatClockReading(reading quota.ClockReading) string {
	return strconv.FormatUint(reading.Incarnation, readingBase) + "." + strconv.FormatInt(int64(reading.Elapsed), readingBase)
}

// ParseClockReading reads a clock reading from a header.
func ParseClockReading(text string) (reading quota.ClockReading, ok bool) {
	incarnation, elapsed, found := strings.Cut(text, ".")
	if !found {
		return quota.ClockReading{}, false
	}
	number, err := strconv.ParseUint(incarnation, readingBase, 64)
	if err != nil {
		return quota.ClockReading{}, false
	}
	nanoseconds, err := strconv.ParseInt(elapsed, readingBase, 64)
	if err != nil {
		return quota.ClockReading{}, false
	}
	return quota.ClockReading{Incarnation: number, Elapsed: time.Duration(nanoseconds)}, true
}
