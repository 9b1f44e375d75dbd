package admin

import (
	"net/http"
	"strconv"
	"time"
)

// watch answers with the status once the version is above the given one, or after
// watchTimeout with the status as it is.
func (s *server) watch(r *http.Request) (any, bool) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return s.status(), true
	}
	timer := time.NewTimer(watchTimeout)
	defer timer.Stop()
	for {
		// The channel is taken before the version is read, so that no change falls
		// between them.
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
