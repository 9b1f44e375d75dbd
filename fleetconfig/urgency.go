package fleetconfig

import "math"

// Urgency orders the requests of one service. A smaller value is more urgent. The upper half
// holds the rank of the account, the lower half the rank of the route and, in the last bit,
// whether the request starts new work.
type Urgency uint64

// LeastUrgent is the urgency of a request without any priority.
const LeastUrgent Urgency = math.MaxUint64

const (
	// startsWork is set in the urgency of a request that starts new work, and not in that of a
	// call.
	startsWork Urgency = 1
	// unrankedRoute is the rank of a route without a priority. Larger priorities count as equal
	// to the one before it.
	unrankedRoute = math.MaxInt32
)

// UrgencyOf returns the urgency of an account's requests on a route. The priority of
// the account is compared first, then the priority of the route. For an account
// without a priority, the priority of the route is used in its place. Both arguments
// may be nil.
func UrgencyOf(account *Account, route *Route) Urgency {
	byRoute, byAccount := Urgency(unrankedRoute), LeastUrgent>>32
	if route != nil && route.Priority > 0 {
		byRoute = Urgency(min(route.Priority, unrankedRoute-1))
		byAccount = byRoute
	}
	if account != nil && account.Priority > 0 {
		byAccount = Urgency(account.Priority)
	}
	return byAccount<<32 | byRoute<<1 | startsWork
}

// UrgencyOfCall returns the urgency of the requests that a run sends, given the urgency of the
// request that it runs. Calls have the rank of their caller and precede the requests of the same
// rank that have not started, because a run that waits for a call holds a slot meanwhile and is
// lost if the call fails.
func UrgencyOfCall(caller Urgency) Urgency { return caller &^ startsWork }

// IsCall reports whether the urgency is that of a request that a run sends.
func (u Urgency) IsCall() bool { return u&startsWork == 0 }
