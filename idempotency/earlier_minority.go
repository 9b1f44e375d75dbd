package idempotency

import "time"

// earlierMinority holds the largest Group.MinoritySize of the earlier groups of a
// shard, among those groups whose claims are still retained. Of the ready
// replicas, up to size may not hold a claim that got its majority in such a
// group. A new claim therefore needs more than size votes, and a recovering
// replica must read more than size other replicas, so that no such claim is
// missed even if the group has become smaller.
type earlierMinority struct {
	size    int
	expires time.Time
}

// sizeAt returns the size at the given time, zero after it has expired.
func (s *earlierMinority) sizeAt(now time.Time) int {
	if !now.Before(s.expires) {
		return 0
	}
	return s.size
}

// raise takes into account the minority size of an earlier group. The claims of
// that group are retained for at most the given lifetime from now.
func (s *earlierMinority) raise(size int, now time.Time, lifetime time.Duration) {
	s.size = max(s.sizeAt(now), size)
	s.expires = now.Add(lifetime)
}
