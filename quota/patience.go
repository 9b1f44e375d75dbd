package quota

import "time"

const (
	// ownerFailoverTime is how long the owner of accounts is usually missed after it has
	// died: the election of another leader of control, at the shortest election timeouts
	// in use, and the time until ingresses have found it.
	ownerFailoverTime = 1500 * time.Millisecond
	// ownerWaitDivisor is the part of a request's objective that may go by before it is
	// placed, so that its answer can still come within the rest.
	ownerWaitDivisor = 3
)

// MaxOwnerWait returns how long a request may wait for the return of its account's
// owner, which can not be reached now. It answers the change of owners under ordinary
// load: the requests of a second are served a little later, in place of being refused. A
// request without an objective is refused at once.
func MaxOwnerWait(objective time.Duration) time.Duration {
	return min(ownerFailoverTime, objective/ownerWaitDivisor)
}

// OwnerUnavailable reports whether the refusal only says that the account's owner can not be
// reached.
func (r *Refusal) OwnerUnavailable() bool {
	return r.Cause == CauseOwnerUnknown || r.Cause == CauseOwnerUnreachable
}
