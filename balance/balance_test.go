package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

func testID(i int) BackendID {
	return BackendID{
		Instance: fleetconfig.InstanceID(fmt.Sprintf("instance-%d", i/11)),
		Server:   fleetconfig.BackendServerID(fmt.Sprintf("server-%d", i)),
	}
}

func newTestPool(servers int) *Pool {
	backends := make([]Backend, servers)
	for i := range backends {
		backends[i] = Backend{ID: testID(i), Tier: Tier(i % int(tierCount)), Slots: 7, Weight: 1}
	}
	pool := NewPool(DefaultPolicy())
	pool.Set(backends)
	return pool
}

// TestPickReturnsUsableServer checks that Pick returns a backend server that is neither
// excluded nor tried, and fails only if there is none.
func TestPickReturnsUsableServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		pool := newTestPool(rapid.IntRange(0, 12).Draw(t, "servers"))
		var tried TriedBackends
		usable := 0
		for i := range pool.Len() {
			pool.UpdateLoad(i, rapid.Uint32Range(0, 20).Draw(t, "in flight"), rapid.SampledFrom([]float64{0.01, 1}).Draw(t, "weight"))
			pool.Exclude(i, Exclusion(rapid.SampledFrom([]uint8{0, 0, 1, 2, 4}).Draw(t, "excluded")))
			wasTried := tried.count < MaxTried && rapid.IntRange(0, 3).Draw(t, "tried") == 0
			if wasTried {
				tried.Add(testID(i))
			}
			if !wasTried && pool.Backend(i).Excluded == 0 {
				usable++
			}
		}
		index, ok := pool.Pick(rng, &tried)
		must.Eq(t, usable > 0, ok)
		if ok {
			must.Zero(t, pool.Backend(index).Excluded)
			must.False(t, tried.Contains(pool.Backend(index).ID))
		}
	})
}

// TestPickPrefersNearTierAndSpillsOver checks that the nearest tier receives all requests
// until it is loaded, and that the remaining requests go to farther tiers.
func TestPickPrefersNearTierAndSpillsOver(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	pool := newTestPool(9)
	var taken [tierCount]int
	for sent := range 9 * 7 {
		index, ok := pool.Pick(rng, nil)
		must.True(t, ok)
		pool.RequestStarted(index)
		taken[pool.Backend(index).Tier]++
		if sent < 10 {
			must.Eq(t, TierDomain, pool.Backend(index).Tier)
		}
	}
	must.Greater(t, 12, taken[TierDomain])
	must.Greater(t, 10, taken[TierRegion])
	must.Greater(t, 10, taken[TierRemote])
}

// TestPickFollowsWeight checks that a backend server of weight 0.1 receives some
// requests, about a tenth of those that a server of weight 1 receives.
func TestPickFollowsWeight(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	pool := newTestPool(30)
	pool.UpdateLoad(0, 0, 0.1)
	var lowWeight, fullWeight int
	for range 100_000 {
		index, _ := pool.Pick(rng, nil)
		switch index {
		case 0:
			lowWeight++
		case 3:
			fullWeight++
		}
	}
	must.Between(t, fullWeight/20, lowWeight, fullWeight/5)
}

// TestSubsetCoversServersEvenly checks, for up to 300 servers and 820 ingresses, that
// subsets hold no server twice, that they do not depend on the order of the given servers,
// and that the numbers of subsets per server differ by at most one.
func TestSubsetCoversServersEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := make([]BackendID, rapid.IntRange(1, 300).Draw(t, "servers"))
		for i := range servers {
			servers[i] = testID(i)
		}
		size := rapid.IntRange(1, 40).Draw(t, "size")
		ingresses := rapid.IntRange(1, 820).Draw(t, "ingresses")
		coverage := make(map[BackendID]int)
		for ingress := range ingresses {
			subset := Subset("service", ingress, servers, size)
			must.Len(t, min(size, len(servers)), subset)
			seen := make(map[BackendID]bool)
			for _, id := range subset {
				must.False(t, seen[id])
				seen[id] = true
				coverage[id]++
			}
		}
		least, most := ingresses, 0
		for _, id := range servers {
			least, most = min(least, coverage[id]), max(most, coverage[id])
		}
		must.LessEq(t, 1, most-least)
		last := Subset("service", ingresses-1, servers, size)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		if size < len(servers) {
			must.Eq(t, last, Subset("service", ingresses-1, servers, size))
		}
	})
}

func benchmarkPick(b *testing.B, servers int) {
	rng := rand.New(rand.NewPCG(1, 2))
	pool := newTestPool(servers)
	var tried TriedBackends
	tried.Add(testID(1))
	b.ReportAllocs()
	for b.Loop() {
		index, _ := pool.Pick(rng, &tried)
		pool.RequestStarted(index)
		pool.RequestEnded(index)
	}
}

func BenchmarkPick22(b *testing.B)   { benchmarkPick(b, 22) }
func BenchmarkPick8800(b *testing.B) { benchmarkPick(b, 8800) }

// TestPickDoesNotAllocate checks that Pick makes no heap allocations.
func TestPickDoesNotAllocate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	pool := newTestPool(22)
	must.Zero(t, testing.AllocsPerRun(1000, func() { pool.Pick(rng, nil) }))
}
