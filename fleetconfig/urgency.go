package fleetconfig

import "math"

// Urgency orders requests of one service: the one with the smaller value is more
// urgent.
type Urgency uint64

// LeastUrgent is the urgency of a request without any rank.
const LeastUrgent Urgency = math.MaxUint64

// UrgencyOf returns the urgency of an account's requests on a route. The account's
// rank goes before the route's; an account without one leaves it to the route. Equal
// accounts are told apart by the route. Both may be nil.
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
