package quota

import "time"

const (
	// ownerFailoverTime is how long the owner of accounts is usually absent after it has
	// failed: the time to elect another control leader at the shortest election timeouts in
	// use, and the time until ingresses have found the new owner.
	ownerFailoverTime = 1500 * time.Millisecond
	// ownerWaitDivisor is the inverse of the share of a request's objective that may pass
	// before the request is dispatched, so that the response can still arrive within the
	// rest.
	ownerWaitDivisor = 3
)

// MaxOwnerWait returns how long a request may wait until its account's unreachable owner
// returns or is replaced. Under ordinary load, a change of owner then delays the requests
// of about a second instead of refusing them. A request without an objective is refused at
// once.
func MaxOwnerWait(objective time.Duration) time.Duration {
	return min(ownerFailoverTime, objective/ownerWaitDivisor)
}

// OwnerUnavailable reports whether the only reason for the refusal is that the account's
// owner is unknown or unreachable.
func (r *Refusal) OwnerUnavailable() bool {
	return r.Cause == CauseOwnerUnknown || r.Cause == CauseOwnerUnreachable
}
