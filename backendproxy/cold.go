package backendproxy

import "time"

// recordColdness records what the last announcement states about how long the server stays
// cold. It reports whether the fleet must be told of the server's rate. The caller must hold
// mu.
func (r *Registry) recordColdness(server *Server, now time.Time) bool {
	if server.Announcement.WarmUpMillis != nil {
		server.coldUntil, server.statesColdness = server.Announcement.warmUpEndsAt(now), true
		server.admission.setColdUntil(server.coldUntil, now)
	}
	return r.applyColdLimit(server, now)
}

// applyColdLimit applies the limit on the rate of requests to a cold server of the service.
// It reports whether the fleet must be told of the server's rate. The caller must hold mu.
func (r *Registry) applyColdLimit(server *Server, now time.Time) bool {
	limit := r.limits.ColdLimit(server.Announcement.Service)
	changed := limit != server.coldLimit
	if changed {
		server.coldLimit = limit
		server.limitColdness(now)
	}
	return (changed || limit.PerSecond > 0) && server.rateChangedSincePublished()
}

// setAdmission gives the server a new queue, which does not know the requests that were sent
// before now.
func (s *Server) setAdmission(queue *admissionQueue, now time.Time) {
	s.admission = queue
	queue.setKnownSince(now)
	s.limitColdness(now)
}

// limitColdness passes the cold limit and the end of the cold time on to the queue.
func (s *Server) limitColdness(now time.Time) {
	s.admission.setColdLimit(s.coldLimit, now)
	s.admission.setColdUntil(s.coldEnd(), now)
}

// coldEnd returns when the server becomes warm: as it has stated, otherwise a cold start
// after its process has started.
func (s *Server) coldEnd() time.Time {
	if s.statesColdness {
		return s.coldUntil
	}
	return s.processStartedAt.Add(s.coldLimit.Start)
}

// processStartedAt returns when the process that sent the announcement started, on the clock
// of now. An unknown start, and one in the future, count as now.
func (a *Announcement) processStartedAt(now time.Time) time.Time {
	age := now.Sub(time.UnixMilli(a.ProcessStartUnixMilli))
	if a.ProcessStartUnixMilli == 0 || age < 0 {
		return now
	}
	return now.Add(-age)
}

// ColdServers returns how many servers are limited because they have stated that they are cold.
func (r *Registry) ColdServers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, server := range r.servers {
		if server.admission.statedRate().Cold {
			count++
		}
	}
	return count
}
