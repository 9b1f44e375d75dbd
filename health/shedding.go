package health

import (
	"math"
	"time"
)

const (
	// sheddingGain is the weight of a request in the share of shed requests.
	sheddingGain = 0.2
	// sheddingMemory is the time constant with which the share decays, so that a server that
	// gets few requests because of it is tried again.
	sheddingMemory = 3 * time.Second
)

// sheddingEstimate is the exponentially weighted share of the requests that a server has shed.
type sheddingEstimate struct {
	share      float64
	recordedAt time.Time
}

func (e *sheddingEstimate) record(shed bool, now time.Time) {
	e.share = (1 - sheddingGain) * e.at(now)
	if shed {
		e.share += sheddingGain
	}
	e.recordedAt = now
}

func (e *sheddingEstimate) at(now time.Time) float64 {
	if e.share == 0 {
		return 0
	}
	return e.share * math.Exp(-max(0, now.Sub(e.recordedAt).Seconds())/sheddingMemory.Seconds())
}
