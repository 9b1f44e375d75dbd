package selection

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/ingress"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/placement"
)

// evacuationWorld is a selector whose membership and configuration a test changes.
type evacuationWorld struct {
	selector *Selector
	snapshot *gossip.Snapshot
	view     *fleetconfig.View
}

func newEvacuationWorld(counts ...int) *evacuationWorld {
	members := membersByDomain(counts...)
	for i := range members {
		members[i].Record.Address = "192.0.2.1:7000"
	}
	world := &evacuationWorld{snapshot: gossip.NewSnapshot(members[0].Record.ID, members)}
	world.evacuate()
	world.selector = New(Config{Members: func() *gossip.Snapshot { return world.snapshot }, View: func() *fleetconfig.View { return world.view }})
	return world
}

// evacuate sets the evacuated domains, in ascending order, with a new configuration.
func (w *evacuationWorld) evacuate(domains ...fleetconfig.FailureDomain) {
	document := fleetconfig.NewDocument()
	if w.view != nil {
		document.Version = w.view.Version() + 1
	}
	document.EvacuatedDomains = domains
	w.view = fleetconfig.NewView(document)
}

func (w *evacuationWorld) domainOf(candidate ingress.Candidate) fleetconfig.FailureDomain {
	return w.snapshot.Member(candidate.Instance).Record.FailureDomain
}

// No request goes to an evacuated domain, whatever the selector knows about the servers and
// whichever way a server is picked, also from an ingress inside the domain. A service with
// servers in evacuated domains only has none to pick.
func TestNoPickInEvacuatedDomain(t *testing.T) {
	domains := []fleetconfig.FailureDomain{"0", "1", "2"}
	rapid.Check(t, func(t *rapid.T) {
		world := newEvacuationWorld(2, 2, 2)
		var evacuated []fleetconfig.FailureDomain
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			member := &world.snapshot.Members[rapid.IntRange(0, 5).Draw(t, "member")].Record
			switch rapid.SampledFrom([]string{"evacuate", "load", "news", "pick", "pick", "pick"}).Draw(t, "step") {
			case "evacuate":
				evacuated = nil
				for _, domain := range domains {
					if rapid.Bool().Draw(t, "evacuated") {
						evacuated = append(evacuated, domain)
					}
				}
				world.evacuate(evacuated...)
			case "load":
				world.selector.HandleLoadReports(member.ID, []membership.ServerLoad{{
					Server: member.Servers[0].ID, WeightPercent: uint8(rapid.IntRange(0, 100).Draw(t, "weight")),
					FailureProbabilityPercent: uint8(rapid.SampledFrom([]int{0, 40, 99}).Draw(t, "failing")),
					Limited:                   rapid.Bool().Draw(t, "limited"), MilliRate: 1, InFlight: 4,
				}})
			case "news":
				world.snapshot = gossip.NewSnapshot(world.snapshot.Self, world.snapshot.Members)
			default:
				world.pick(t, evacuated, domains)
			}
		}
	})
}

// pick sends one request with all its attempts.
func (w *evacuationWorld) pick(t *rapid.T, evacuated, domains []fleetconfig.FailureDomain) {
	exchange := &pipeline.Exchange{
		Service: "catalogue", Idempotent: rapid.Bool().Draw(t, "idempotent"), LastResort: rapid.Bool().Draw(t, "last resort"),
		Received: clock.Now(), Route: &fleetconfig.Route{LatencyTarget: time.Second},
	}
	var tried []ingress.Candidate
	for {
		candidate, ok := w.selector.Pick(exchange, tried)
		if !ok {
			break
		}
		must.SliceNotContains(t, evacuated, w.domainOf(candidate))
		w.selector.Done(&ingress.Attempt{Candidate: candidate, Service: "catalogue"})
		if candidate.MaxRateWait > 0 || len(tried) > 8 {
			break
		}
		exchange.ReachedAttempts++
		tried = append(tried, candidate)
	}
	if slices.Equal(evacuated, domains) {
		must.SliceEmpty(t, tried)
		_, found := w.selector.RateWait("catalogue")
		must.False(t, found)
	}
}

// The subset of an ingress keeps its size while a domain of a large service is evacuated.
func TestSubsetStaysFullDuringEvacuation(t *testing.T) {
	members := membersByDomain(18, 19, 14, 17)
	coverage := make(map[fleetconfig.InstanceID]int)
	for i := range members {
		hosted := subset(gossip.NewSnapshot(members[i].Record.ID, members), "catalogue", []fleetconfig.FailureDomain{"1"})
		must.Len(t, subsetSize, hosted)
		for _, server := range hosted {
			must.NotEq(t, "1", server.Member.Record.FailureDomain)
			coverage[server.Member.Record.ID]++
		}
	}
	must.MapLen(t, 18+14+17, coverage)
}

// A proxy with a newer configuration that refuses a request keeps further requests away from
// its whole domain, until a newer configuration arrives or for a short time.
func TestEvacuationIsLearnedFromProxy(t *testing.T) {
	world := newEvacuationWorld(4, 4)
	exchange := &pipeline.Exchange{Service: "catalogue"}
	candidate, ok := world.selector.Pick(exchange, nil)
	must.True(t, ok)
	must.Eq(t, "0", world.domainOf(candidate))
	world.selector.Done(&ingress.Attempt{Candidate: candidate, Service: "catalogue", Refusal: pipeline.KindEvacuated})
	for range 50 {
		candidate, ok = world.selector.Pick(exchange, nil)
		must.True(t, ok)
		must.Eq(t, "1", world.domainOf(candidate))
	}
	now := clock.Now()
	must.Eq(t, []fleetconfig.FailureDomain{"0"}, world.selector.evacuatedDomains(now))
	must.SliceEmpty(t, world.selector.evacuatedDomains(now.Add(learnedEvacuationRetention)))
	world.evacuate("1")
	must.Eq(t, []fleetconfig.FailureDomain{"1"}, world.selector.evacuatedDomains(now))
}

// A server whose weight was low when it was last heard of is neither kept away for good nor sent
// its full share at once: an ingress of another domain may hear of it again only when it sends a
// request there.
func TestWeightGrowsAsInSlowStartWithoutReports(t *testing.T) {
	for _, byRoom := range []bool{false, true} {
		for _, reported := range []uint8{0, 10} {
			world := newEvacuationWorld(1, 1)
			document := fleetconfig.NewDocument()
			for i := range document.Presets {
				document.Presets[i].AdmissionByRoom = byRoom
			}
			world.view = fleetconfig.NewView(document)
			slowStart := world.view.ActivePreset().SlowStart
			world.selector.Pick(&pipeline.Exchange{Service: "catalogue"}, nil)
			world.selector.HandleLoadReports("d1-000", []membership.ServerLoad{{Server: "d1-000", WeightPercent: reported}})
			heard := clock.Now()
			service := world.selector.service("catalogue")
			weightAfter := func(unheard time.Duration) float64 {
				world.snapshot = gossip.NewSnapshot(world.snapshot.Self, world.snapshot.Members)
				world.selector.refresh(service, "catalogue", heard.Add(placement.NewsLifetime+unheard))
				index, _ := service.pool.Find(balance.BackendID{Instance: "d1-000", Server: "d1-000"})
				return service.pool.Backend(index).Weight
			}
			start := float64(reported) / percent
			must.InDelta(t, start, weightAfter(0), 0.01)
			must.InDelta(t, start+0.5, weightAfter(slowStart/2), 0.01)
			must.Eq(t, 1, weightAfter(slowStart))
		}
	}
}

// The servers of a domain that is taken back start at a low weight, until their proxies report
// another one. News of the membership does not change it.
func TestServersReturnFromEvacuationAtLowWeight(t *testing.T) {
	world := newEvacuationWorld(1, 1)
	weight := func() float64 {
		service := world.selector.service("catalogue")
		service.mu.Lock()
		defer service.mu.Unlock()
		world.selector.refresh(service, "catalogue", clock.Now())
		index, found := service.pool.Find(balance.BackendID{Instance: "d1-000", Server: "d1-000"})
		must.True(t, found, must.Sprint(fmt.Sprint(service.hosted)))
		return service.pool.Backend(index).Weight
	}
	must.Eq(t, 1, weight())
	world.evacuate("1")
	candidate, ok := world.selector.Pick(&pipeline.Exchange{Service: "catalogue"}, nil)
	must.True(t, ok)
	must.Eq(t, "0", world.domainOf(candidate))
	world.evacuate()
	must.Eq(t, returnWeight, weight())
	world.snapshot = gossip.NewSnapshot(world.snapshot.Self, world.snapshot.Members)
	must.Eq(t, returnWeight, weight())
	world.selector.HandleLoadReports("d1-000", []membership.ServerLoad{{Server: "d1-000", WeightPercent: 40}})
	must.Eq(t, 0.4, weight())
}
