package fleetconfig

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
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

// Calls precede the requests of their caller's rank and follow those of more urgent ranks. A call
// of a call has the urgency of its caller.
func TestUrgencyOfCallPrecedesRequestsOfItsRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Urgency {
			rank := rapid.OneOf(rapid.Uint32Range(0, 5), rapid.Uint32())
			return UrgencyOf(&Account{Priority: rank.Draw(t, name+" account")}, &Route{Priority: rank.Draw(t, name+" route")})
		}
		first, second := draw("first"), draw("second")
		call := UrgencyOfCall(first)
		must.True(t, call.IsCall())
		must.False(t, first.IsCall())
		must.Eq(t, call, UrgencyOfCall(call))
		must.Less(t, first, call)
		if second < first {
			must.Less(t, call, second)
			must.LessEq(t, call, UrgencyOfCall(second))
		}
	})
}
