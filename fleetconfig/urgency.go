package fleetconfig

import "math"

// Urgency orders the requests of one service. A smaller value is more urgent.
type Urgency uint64

// LeastUrgent is the urgency of a request without any priority.
const LeastUrgent Urgency = math.MaxUint64

// UrgencyOf returns the urgency of an account's requests on a route. The priority of
// the account is compared first, then the priority of the route. For an account
// without a priority, the priority of the route is used in its place. Both arguments
// may be nil.
func UrgencyOf(account *Account, route *Route) Urgency {
	byRoute := LeastUrgent & math.MaxUint32
	if route != nil && route.Priority > 0 {
		byRoute = Urgency(route.Priority)
	}
	byAccount := byRoute
	if account != nil && account.Priority > 0 {
		byAccount = Urgency(account.Priority)
	}
	return byAccount<<32 | byRoute
}

// urgencyOfFirstRequest is the smallest urgency that UrgencyOf returns for a route or an account
// with a priority. Smaller ones are those of calls.
const urgencyOfFirstRequest Urgency = 1 << 32

// maxCallRank bounds the ranks that the urgency of a call tells apart. All larger ones count
// as equal.
const maxCallRank = math.MaxUint16

// UrgencyOfCall returns the urgency of the requests that a run sends, given the urgency of the
// request that it runs. All calls precede all requests that have not started, because a run
// that has to wait for a call holds a slot meanwhile and is lost if the call fails. Calls keep
// the order of their callers.
func UrgencyOfCall(caller Urgency) Urgency {
	if caller.IsCall() {
		return caller
	}
	byAccount, byRoute := caller>>32, caller&math.MaxUint32
	if byAccount >= maxCallRank {
		byRoute = maxCallRank
	}
	return min(byAccount, maxCallRank)<<16 | min(byRoute, maxCallRank)
}

// IsCall reports whether the urgency is that of a request that a run sends.
func (u Urgency) IsCall() bool { return u < urgencyOfFirstRequest }
