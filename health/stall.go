package health

import "time"

// Bounds on the evidence of one stall.
const (
	// stallBound is the length from which a stall alone convicts a server.
	// Shorter stops, such as pauses of a garbage collector, happen to healthy
	// servers.
	stallBound = 2 * time.Second
	// minStallBounds is the same in multiples of the slow bound.
	minStallBounds = 8
	// shortStallShare is the share of the bound that the shortest stall gives at
	// most, longStallShare what is added at the length of stallBound.
	shortStallShare = 0.3
	longStallShare  = 0.95
)

// stall joins slow requests that one stop of the whole server can explain: all
// began before the first of them ended. Such requests are no independent
// evidence, however many they are, so that the evidence of a stall is bounded by
// its length.
type stall struct {
	began    time.Time
	firstEnd time.Time
	// offered is the evidence of all requests, admitted what has counted of it.
	offered  float64
	admitted float64
}

// admit adds the evidence of a request and returns how much counts now: as the
// stall gets longer, more of what was offered before counts. Bound is that of the
// sum, slowBound that of the latency.
func (s *stall) admit(began, now time.Time, slowBound time.Duration, nats, bound float64) float64 {
	if s.began.IsZero() || (!s.firstEnd.IsZero() && began.After(s.firstEnd)) {
		*s = stall{began: began}
	}
	if began.Before(s.began) {
		s.began = began
	}
	s.offered += nats
	most := stallShare(now.Sub(s.began), slowBound) * bound
	admitted := max(0, min(s.offered, most)-s.admitted)
	s.admitted += admitted
	return admitted
}

// stallShare is the most that a stall of the given length gives, as a share of
// the bound. It grows with the square of the length, so that several short stalls
// in a row give less than a long one.
func stallShare(length, slowBound time.Duration) float64 {
	convicts := max(stallBound, minStallBounds*slowBound)
	part := float64(length) / float64(convicts)
	return shortStallShare + longStallShare*part*part
}

// memberEnded records that a slow request has ended.
func (s *stall) memberEnded(now time.Time) {
	if s.firstEnd.IsZero() {
		s.firstEnd = now
	}
}
