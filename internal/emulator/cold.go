package emulator

import "time"

// Bound on the requests that a cold server gets in a second, which is coldWindow: its
// Config.ColdRate times ColdTolerance, plus ColdAllowance. With more it crashes.
const (
	ColdTolerance = 1.5
	ColdAllowance = 8
	coldWindow    = time.Second
)

// coldRecord counts the requests that arrive while a server is cold.
type coldRecord struct {
	until    time.Time
	arrivals []time.Time
	// most is the largest number of requests in a coldWindow.
	most int
}

// start makes the server cold until the given time.
func (c *coldRecord) start(until time.Time) {
	c.until, c.arrivals = until, nil
}

// recordArrival reports whether the server has got more requests than it tolerates.
func (c *coldRecord) recordArrival(rate float64, now time.Time) bool {
	if rate == 0 || !now.Before(c.until) {
		return false
	}
	c.arrivals = append(c.arrivals, now)
	for now.Sub(c.arrivals[0]) > coldWindow {
		c.arrivals = c.arrivals[1:]
	}
	c.most = max(c.most, len(c.arrivals))
	return float64(len(c.arrivals)) > ColdTolerance*rate+ColdAllowance
}

// ColdRemaining returns how much longer the server stays cold.
func (s *Server) ColdRemaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, time.Until(s.cold.until))
}
