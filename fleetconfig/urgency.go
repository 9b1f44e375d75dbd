package fleetconfig

import "math"

// Urgency orders the requests of one service. A smaller value is more urgent.
type Urgency uint64

// LeastUrgent is the urgency of a request without any priority.
const LeastUrgent Urgency = math.MaxUint64

// UrgencyOf returns the urgency of an account's requests on a route. The priority of
// the account is compared first, then that of the route. An account without a
// priority takes that of the route. Both arguments may be nil.
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
