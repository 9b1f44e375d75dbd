package health

import "time"

// stallCaps is how much evidence one stall gives at most, as a share of the
// bound, by the highest level that one of its requests has reached. A stall alone
// convicts only past 32 times the slow bound.
var stallCaps = [maxLevel + 1]float64{0, 0.2, 0.25, 0.3, 0.5, 0.8, 1.2, 1.5, 2}

// stall joins slow requests that one stop of the whole server can explain: all
// began before the first of them ended. Such requests are no independent
// evidence, however many they are, so that the evidence of a stall is bounded.
type stall struct {
	firstEnd time.Time
	level    int
	nats     float64
}

// admit returns how much of the evidence of a request counts.
func (s *stall) admit(began time.Time, level int, nats, bound float64) float64 {
	if !s.firstEnd.IsZero() && began.After(s.firstEnd) {
		*s = stall{}
	}
	s.level = max(s.level, level)
	admitted := max(0, min(nats, stallCaps[s.level]*bound-s.nats))
	s.nats += admitted
	return admitted
}

// memberEnded records that a slow request has ended.
func (s *stall) memberEnded(now time.Time) {
	if s.firstEnd.IsZero() {
		s.firstEnd = now
	}
}
