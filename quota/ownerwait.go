package quota

import "time"

const (
	// ownerFailoverTime is how long the owner of accounts is usually absent after it has
	// failed: the time to elect another control leader at the shortest election timeouts in
	// use, and the time until ingresses have found the new owner.
	ownerFailoverTime = 1500 * time.Millisecond
	// ownerWaitDivisor limits the wait of a request: it may last for the request's latency
	// target divided by ownerWaitDivisor, so that the response can still arrive within the
	// rest of the target. Without a target, the same applies to its timeout.
	ownerWaitDivisor = 3
)

// MaxOwnerWait returns how long a request may wait until its account's unreachable owner
// returns or is replaced. Under ordinary load, the requests that arrive during a change of
// owner, which takes about a second, are then delayed instead of refused. A latency target of
// zero means that there is none.
func MaxOwnerWait(latencyTarget, timeout time.Duration) time.Duration {
	limit := latencyTarget
	if limit <= 0 {
		limit = timeout
	}
	return min(ownerFailoverTime, limit/ownerWaitDivisor)
}

// OwnerUnavailable reports whether the only reason for the refusal is that the account's
// owner is unknown or unreachable.
func (r *Refusal) OwnerUnavailable() bool {
	return r.Cause == CauseOwnerUnknown || r.Cause == CauseOwnerUnreachable
}
