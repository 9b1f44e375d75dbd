package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// A load report is sent to a bounded number of live proxies, most of them in the
// sender's failure domain, and never to control instances, suspected instances or
// the sender.
func TestReportLoadsBoundedAndPrefersOwnFailureDomain(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	self := Record{ID: "self", Incarnation: 1, Address: "self", FailureDomain: "a", Proxy: true}
	state := New(Config{}, self, nil, rand.New(rand.NewPCG(1, 1)), now)
	add := func(id string, domain fleetconfig.FailureDomain, proxy bool, liveness Liveness) {
		record := Record{ID: fleetconfig.InstanceID(id), Incarnation: 1, Address: id, FailureDomain: domain, Proxy: proxy, Control: !proxy}
		state.mergeUpdate(Update{Record: record, Liveness: liveness}, now)
	}
	for i := range 30 {
		add(fmt.Sprintf("near-%d", i), "a", true, Alive)
		add(fmt.Sprintf("far-%d", i), "b", true, Alive)
		add(fmt.Sprintf("control-%d", i), "a", false, Alive)
		add(fmt.Sprintf("suspect-%d", i), "a", true, Suspect)
	}
	must.SliceEmpty(t, state.ReportLoads(nil))
	loads := make([]ServerLoad, 2*maxReportedServers)
	envelopes := state.ReportLoads(loads)
	counts := make(map[string]int)
	for _, envelope := range envelopes {
		counts[envelope.Address[:3]]++
		must.Len(t, maxReportedServers, envelope.Message.Loads)
		must.Eq(t, LoadReport, envelope.Message.Kind)
	}
	must.Eq(t, map[string]int{"nea": sameDomainReports, "far": otherDomainReports}, counts)
}

// A change of a server's state is announced to one instance of each other failure domain, which
// relays it inside its domain once, and not more often than announceInterval permits.
func TestChangedLoadsReachEachFailureDomain(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	newState := func(id, domain string) *State {
		state := New(Config{}, Record{ID: fleetconfig.InstanceID(id), Incarnation: 1, Address: id, FailureDomain: fleetconfig.FailureDomain(domain), Proxy: true}, nil, rand.New(rand.NewPCG(1, 1)), now)
		for _, domain := range []string{"a", "b", "c", "d"} {
			for i := range 20 {
				other := fmt.Sprintf("%s-%02d", domain, i)
				if other != id {
					state.mergeUpdate(Update{Record: Record{ID: fleetconfig.InstanceID(other), Incarnation: 1, Address: other, FailureDomain: fleetconfig.FailureDomain(domain), Proxy: true}, Liveness: Alive}, now)
				}
			}
		}
		return state
	}
	sender, relay := newState("a-00", "a"), newState("b-03", "b")
	loads := []ServerLoad{{Server: "s", WeightPercent: 100, FailureProbabilityPercent: 80, NextSlotMillis: 80, Waiting: []RankedWork{{Urgency: 1<<32 | 1, TotalMillis: 400, FirstMillis: 300}}}}
	counts := make(map[string]int)
	between, plain := 0, 0
	for _, envelope := range sender.AnnounceLoads(loads) {
		counts[envelope.Address[:1]]++
		must.Eq(t, envelope.Address[0] != 'a', envelope.Message.Relay)
		if envelope.Message.Relay {
			encoded, err := codec.Marshal(&envelope.Message)
			must.NoError(t, err)
			between += len(encoded)
		}
	}
	must.Eq(t, map[string]int{"a": sameDomainReports, "b": 1, "c": 1, "d": 1}, counts)
	for _, envelope := range sender.ReportLoads(loads) {
		if envelope.Address[0] != 'a' {
			encoded, err := codec.Marshal(&envelope.Message)
			must.NoError(t, err)
			plain += len(encoded)
		}
	}
	t.Logf("bytes between domains: %d for an announced report, %d for another", between, plain)
	must.LessEq(t, 3*100, between)
	report := Message{Kind: LoadReport, From: "a-00", Loads: loads, Relay: true}
	relayed := relay.RelayLoads(&report)
	must.Len(t, sameDomainReports, relayed)
	for _, envelope := range relayed {
		must.Eq(t, 'b', rune(envelope.Address[0]))
		must.Eq(t, "a-00", string(envelope.Message.From))
		must.SliceEmpty(t, relay.RelayLoads(&envelope.Message))
	}

	watch := &LoadWatch{}
	announced := 0
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		must.False(t, watch.Observe(loads, now), must.Sprint("nothing has changed"))
	}
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		loads[0].Full = !loads[0].Full
		if watch.Observe(loads, now) {
			announced++
		}
	}
	must.LessEq(t, 5*announcedReports+1, announced)
	must.GreaterEq(t, 4*announcedReports, announced)
}

// Instances of other failure domains receive at least as many load reports as when each report
// went to one of them, whatever the sizes of the domains, while far fewer leave the sender's.
func TestReportsToOtherDomainsAreRelayed(t *testing.T) {
	const reports = 2000
	for _, sizes := range [][]int{{1, 1}, {1, 2}, {4, 1, 30}, {8, 8, 8}, {35, 35, 35}} {
		now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		states := make(map[string]*State)
		for domain, size := range sizes {
			for i := range size {
				id := fmt.Sprintf("%d-%02d", domain, i)
				states[id] = New(Config{}, loadRecord(id, domain), nil, rand.New(rand.NewPCG(uint64(domain), uint64(i))), now)
			}
		}
		total := 0
		for _, state := range states {
			for domain, size := range sizes {
				for i := range size {
					state.MergeUpdates([]Update{{Record: loadRecord(fmt.Sprintf("%d-%02d", domain, i), domain)}}, now)
				}
			}
		}
		for _, size := range sizes[1:] {
			total += size
		}
		received, between := make(map[int]int), 0
		for range reports {
			for _, envelope := range states["0-00"].ReportLoads([]ServerLoad{{Server: "s"}}) {
				if envelope.Address[0] == '0' {
					continue
				}
				between++
				domain := int(envelope.Address[0] - '0')
				received[domain] += 1 + len(states[envelope.Address].RelayLoads(&envelope.Message))
			}
		}
		for domain, size := range sizes {
			if domain > 0 {
				// Which domain is picked is random: allow three standard deviations.
				must.GreaterEq(t, reports*size/total-3*45, received[domain])
			}
		}
		t.Logf("domains of %v: %d of %d reports cross, received by domain %v", sizes, between, reports, received)
		if slices.Min(sizes) > sameDomainReports {
			must.LessEq(t, reports/sameDomainReports+len(sizes), between)
		}
	}
}

func loadRecord(id string, domain int) Record {
	return Record{ID: fleetconfig.InstanceID(id), Incarnation: 1, Address: id, FailureDomain: fleetconfig.FailureDomain(fmt.Sprint(domain)), Proxy: true}
}
