package idempotency

import "time"

// earlierMinority remembers how many ready replicas may not hold a claim that got its
// majority in an earlier group of the shard. As long as more replicas than that
// vote for a claim, and more than that are read by a recovering one, a shard may
// shrink in any steps without forgetting.
type earlierMinority struct {
	size    int
	expires time.Time
}

// sizeAt returns the slack sizeAt a time.
func (s *earlierMinority) sizeAt(now time.Time) int {
	if !now.Before(s.expires) {
		return 0
	}
	return s.size
}

// raise takes in the slack of a group that was in force until now. Claims of that
// group are retained for life.
func (s *earlierMinority) raise(most int, now time.Time, life time.Duration) {
	s.size = max(s.sizeAt(now), most)
	s.expires = now.Add(life)
}
