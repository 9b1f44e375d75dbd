package admin

import (
	"net/http"
	"strconv"
	"time"
)

// watch returns the status once the version is above the given one, or after
// watchTimeout. It returns at once when the version can not be parsed or the caller
// disconnects. The second result, which handleRead requires, is always true.
func (s *server) watch(r *http.Request) (any, bool) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return s.status(), true
	}
	timer := time.NewTimer(watchTimeout)
	defer timer.Stop()
	for {
		// Get the channel before reading the version, so that a change in between is
		// not missed.
		changed := s.config.Configuration.Changed()
		if s.config.Configuration.View().Version() > after {
			return s.status(), true
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.status(), true
		case <-r.Context().Done():
			return s.status(), true
		}
	}
}
