package selection

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/membership"
)

const (
	// subsetSize is the number of backend servers of a large service that one ingress
	// uses.
	subsetSize = 32
	// maxNearServers is the maximum number of servers of a subset in the ingress's own
	// failure domain. The rest are in other domains, in case the ingress's own domain is
	// lost. If the other domains have too few servers for the rest, the subset holds more
	// than maxNearServers from the ingress's own domain.
	maxNearServers = subsetSize * 3 / 4
)

// subset returns the backend servers of a service that this ingress uses: all servers of
// a small service, otherwise subsetSize servers, none of them in an evacuated domain. As many of these as maxNearServers
// allows are of the ingress's own failure domain, since traffic between domains costs
// most.
func subset(snapshot *gossip.Snapshot, name fleetconfig.ServiceName, evacuated []fleetconfig.FailureDomain) []gossip.HostedServer {
	hosted := serversInService(snapshot, name, evacuated)
	if len(hosted) <= subsetSize {
		return hosted
	}
	domain := snapshot.Member(snapshot.Self).Record.FailureDomain
	var near, far []balance.BackendID
	byID := make(map[balance.BackendID]gossip.HostedServer, len(hosted))
	for _, server := range hosted {
		id := balance.BackendID{Instance: server.Member.Record.ID, Server: server.Server.ID}
		byID[id] = server
		if server.Member.Record.FailureDomain == domain {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	chosen := balance.Subset(name, indexAmong(snapshot, func(r *membership.Record) bool { return r.FailureDomain == domain }), near, maxNearServers)
	if len(chosen) < len(near) && len(far) < subsetSize-len(chosen) {
		chosen = balance.Subset(name, indexAmong(snapshot, anyMember), near, subsetSize-len(far))
	}
	chosen = append(chosen, balance.Subset(name, indexAmong(snapshot, anyMember), far, subsetSize-len(chosen))...)
	result := make([]gossip.HostedServer, 0, len(chosen))
	for _, id := range chosen {
		result = append(result, byID[id])
	}
	slices.SortFunc(result, func(a, b gossip.HostedServer) int {
		return cmp.Or(cmp.Compare(a.Member.Record.ID, b.Member.Record.ID), cmp.Compare(a.Server.ID, b.Server.ID))
	})
	return result
}

func anyMember(*membership.Record) bool { return true }

// indexAmong returns the position of this instance among the members for which counts
// returns true.
func indexAmong(snapshot *gossip.Snapshot, counts func(*membership.Record) bool) int {
	index := 0
	for i := range snapshot.Members {
		record := &snapshot.Members[i].Record
		if record.ID == snapshot.Self {
			return index
		}
		if counts(record) {
			index++
		}
	}
	return index
}
