package idempotency

import "time"

// earlierMinority holds the largest Group.MinoritySize of the earlier groups of a
// shard whose claims are still retained. Up to that many ready replicas can lack
// a claim that got its majority in such a group. A claim needs more votes than
// that, and a recovering replica must read more replicas than that, so that no
// such claim is missed even if the group has become smaller.
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

// raise adds the minority size of a group that was in use until now. The claims
// of that group are retained for at most the given lifetime.
func (s *earlierMinority) raise(size int, now time.Time, lifetime time.Duration) {
	s.size = max(s.sizeAt(now), size)
	s.expires = now.Add(lifetime)
}
