package crashexperiment

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The bound on late runs is the users' one; the others compare the policies.
func TestFleetTableLosesFewServersAndRefusesNoOthers(t *testing.T) {
	for _, situation := range cases() {
		if situation.Instances > 100 || situation.Deadly == 0 {
			continue
		}
		t.Run(situation.Name, func(t *testing.T) {
			t.Parallel()
			none := Simulate(situation, PolicyNone, 1)
			fleet := Simulate(situation, PolicyFleet, 1)
			must.LessEq(t, 3*situation.DeadlyRequests, fleet.LateRuns)
			must.LessEq(t, none.ServersLost, fleet.ServersLost)
			must.GreaterEq(t, none.Answered*fleet.Innocent, fleet.Answered*none.Innocent)
			must.GreaterEq(t, 0, fleet.KnownAfter)
		})
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	situation := cases()[0]
	must.Eq(t, Simulate(situation, PolicyFleet, 7), Simulate(situation, PolicyFleet, 7))
}
