package routing

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Each part is chosen in proportion to its weight, and a part without weight is never
// chosen.
func TestChooseServiceFollowsWeights(t *testing.T) {
	parts := []fleetconfig.SplitPart{{Service: "a", Weight: 70}, {Service: "none"}, {Service: "b", Weight: 30}}
	counts := make(map[fleetconfig.ServiceName]int)
	const points = 1000
	for i := range points {
		counts[ChooseService(parts, float64(i)/points)]++
	}
	must.Eq(t, 700, counts["a"])
	must.Eq(t, 300, counts["b"])
	must.Eq(t, fleetconfig.ServiceName("b"), ChooseService(parts, math.Nextafter(1, 0)))
}
