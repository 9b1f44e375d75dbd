package ingress

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
	"github.com/hemlockring/hemlockring/routing"
)

// The requests of each route must be distributed by its weights, in whatever order
// the requests of several routes arrive at the ingresses.
func TestSplitSequenceFollowsWeightsOfEachRoute(t *testing.T) {
	const (
		minRequests  = 300
		maxDeviation = 0.1
		maxParts     = 3
	)
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		ingresses := make([]splitSequence, rapid.IntRange(1, 30).Draw(t, "ingresses"))
		for i := range ingresses {
			ingresses[i].start = random.Float64()
		}
		routes := make([][]fleetconfig.SplitPart, rapid.IntRange(1, 4).Draw(t, "routes"))
		for i := range routes {
			for part := range rapid.IntRange(2, maxParts).Draw(t, "parts") {
				weight := rapid.Uint32Range(0, 100).Draw(t, "weight")
				routes[i] = append(routes[i], fleetconfig.SplitPart{Service: fleetconfig.ServiceName(rune('a' + part)), Weight: weight})
			}
			routes[i][0].Weight++
		}
		counts := make([]map[fleetconfig.ServiceName]int, len(routes))
		for i := range counts {
			counts[i] = make(map[fleetconfig.ServiceName]int)
		}
		for range minRequests * len(routes) * 2 {
			route := random.IntN(len(routes))
			point := ingresses[random.IntN(len(ingresses))].next()
			counts[route][routing.ChooseService(routes[route], point)]++
		}
		for i, parts := range routes {
			total, weights := 0, 0.0
			for _, part := range parts {
				total += counts[i][part.Service]
				weights += float64(part.Weight)
			}
			if total < minRequests {
				continue
			}
			for _, part := range parts {
				share := float64(counts[i][part.Service]) / float64(total)
				must.LessEq(t, maxDeviation, math.Abs(share-float64(part.Weight)/weights))
			}
		}
	})
}
