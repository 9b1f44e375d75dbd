package idempotency

import "time"

// slack remembers how many ready replicas may not hold a claim that got its
// majority in an earlier group of the shard. As long as more replicas than that
// vote for a claim, and more than that are read by a recovering one, a shard may
// shrink in any steps without forgetting.
type slack struct {
	most  int
	until time.Time
}

// at returns the slack at a time.
func (s *slack) at(now time.Time) int {
	if !now.Before(s.until) {
		return 0
	}
	return s.most
}

// raise takes in the slack of a group that was in force until now. Claims of that
// group are retained for life.
func (s *slack) raise(most int, now time.Time, life time.Duration) {
	s.most = max(s.at(now), most)
	s.until = now.Add(life)
}
