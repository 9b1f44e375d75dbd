package fleetconfig

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestUrgencyOfRanksAccountBeforeRoute(t *testing.T) {
	urgency := func(account, route uint32) Urgency {
		return UrgencyOf(&Account{Priority: account}, &Route{Priority: route})
	}
	must.Less(t, urgency(2, 1), urgency(1, 9))
	must.Less(t, urgency(1, 3), urgency(1, 2))
	// For an account without a priority, the priority of the route is used.
	must.Less(t, urgency(0, 2), urgency(0, 1))
	must.Less(t, urgency(2, 1), urgency(0, 1))
	must.Less(t, urgency(0, 3), urgency(2, 1))
	// Requests without any priority come last.
	must.Less(t, urgency(0, 0), urgency(0, 1000))
	must.Eq(t, LeastUrgent, urgency(0, 0))
	must.Eq(t, LeastUrgent, UrgencyOf(nil, nil))
	must.Eq(t, urgency(0, 4), UrgencyOf(nil, &Route{Priority: 4}))
}
