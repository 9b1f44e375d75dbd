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
