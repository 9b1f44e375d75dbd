package placement

import "time"

const (
	// maxRoutes bounds the routes of a service whose times are kept, at about 100 bytes each.
	maxRoutes = 64
	// timeGain is the relative step by which a median moves towards a sample.
	timeGain = 0.05
)

// ServiceTimes holds the median service times of the routes of one service, over the servers
// that one ingress uses. The zero value is empty.
type ServiceTimes struct {
	medians map[string]time.Duration
}

// Record records that a server has answered a request of the route after the given time from
// its dispatch. It must not be called for failed requests, which may end at once.
func (t *ServiceTimes) Record(route string, took time.Duration) {
	if took <= 0 {
		return
	}
	if t.medians == nil {
		t.medians = make(map[string]time.Duration)
	}
	median, known := t.medians[route]
	switch {
	case !known:
		if len(t.medians) >= maxRoutes {
			clear(t.medians)
		}
		median = took
	case took > median:
		median = min(took, time.Duration(float64(median)*(1+timeGain)))
	default:
		median = max(took, time.Duration(float64(median)/(1+timeGain)))
	}
	t.medians[route] = median
}

// Of returns the median service time of the route, or zero if it is not known.
func (t *ServiceTimes) Of(route string) time.Duration { return t.medians[route] }
