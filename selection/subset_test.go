package selection

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/membership"
)

// membersByDomain returns a fleet with the given number of backend servers in each
// domain.
func membersByDomain(counts ...int) []membership.Member {
	var members []membership.Member
	for domain, count := range counts {
		for i := range count {
			id := fmt.Sprintf("d%d-%03d", domain, i)
			members = append(members, membership.Member{Record: membership.Record{
				ID: fleetconfig.InstanceID(id), FailureDomain: fleetconfig.FailureDomain(fmt.Sprint(domain)), Proxy: true,
				Servers: []membership.Server{{ID: fleetconfig.BackendServerID(id), Service: "catalogue", Slots: testSlots}},
			}})
		}
	}
	return members
}

// An ingress of a large service uses backend servers of its own failure domain for up to
// three quarters of its subset, or more if the other domains have too few. The rest are
// in other domains, in case the ingress's own domain is lost. Over all ingresses, each
// backend server is in at least subsetSize/4 subsets.
func TestSubsetPrefersOwnDomain(t *testing.T) {
	for _, counts := range [][]int{{16, 14, 12, 12}, {60, 50, 50}, {200, 200, 200, 200}, {300, 10}, {40}} {
		members := membersByDomain(counts...)
		coverage := make(map[fleetconfig.InstanceID]int)
		for i := range members {
			self := &members[i].Record
			hosted := subset(gossip.NewSnapshot(self.ID, members), "catalogue", nil)
			must.Len(t, subsetSize, hosted)
			near := 0
			for _, server := range hosted {
				coverage[server.Member.Record.ID]++
				if server.Member.Record.FailureDomain == self.FailureDomain {
					near++
				}
			}
			total, own := len(members), 0
			for _, member := range members {
				if member.Record.FailureDomain == self.FailureDomain {
					own++
				}
			}
			must.GreaterEq(t, min(own, maxNearServers), near)
			must.LessEq(t, max(maxNearServers, subsetSize-(total-own)), near)
		}
		for _, member := range members {
			must.GreaterEq(t, subsetSize/4, coverage[member.Record.ID], must.Sprintf("servers by domain %v, instance %s", counts, member.Record.ID))
		}
	}
}
