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
	// subsetSize is how many backend servers of a large service one ingress uses.
	subsetSize = 32
	// nearPart is how many of these may be in the ingress's own failure domain. The rest
	// is for the loss of the domain.
	nearPart = subsetSize * 3 / 4
)

// subset returns the backend servers of a service that this ingress uses: all of a
// small service, else those of its own failure domain first, since bytes between
// domains are what costs most.
func subset(snapshot *gossip.Snapshot, name fleetconfig.ServiceName) []gossip.Placed {
	placed := snapshot.Servers(name)
	if len(placed) <= subsetSize {
		return placed
	}
	domain := snapshot.Member(snapshot.Self).Record.FailureDomain
	var near, far []balance.BackendID
	byID := make(map[balance.BackendID]gossip.Placed, len(placed))
	for _, server := range placed {
		id := balance.BackendID{Instance: server.Member.Record.ID, Server: server.Server.ID}
		byID[id] = server
		if server.Member.Record.FailureDomain == domain {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	chosen := balance.Subset(name, numberOf(snapshot, func(r *membership.Record) bool { return r.FailureDomain == domain }), near, nearPart)
	if len(chosen) < len(near) && len(far) < subsetSize-len(chosen) {
		chosen = balance.Subset(name, numberOf(snapshot, anywhere), near, subsetSize-len(far))
	}
	chosen = append(chosen, balance.Subset(name, numberOf(snapshot, anywhere), far, subsetSize-len(chosen))...)
	result := make([]gossip.Placed, 0, len(chosen))
	for _, id := range chosen {
		result = append(result, byID[id])
	}
	slices.SortFunc(result, func(a, b gossip.Placed) int {
		return cmp.Or(cmp.Compare(a.Member.Record.ID, b.Member.Record.ID), cmp.Compare(a.Server.ID, b.Server.ID))
	})
	return result
}

func anywhere(*membership.Record) bool { return true }

// numberOf returns the number of this instance among those that are counted.
func numberOf(snapshot *gossip.Snapshot, counts func(*membership.Record) bool) int {
	number := 0
	for i := range snapshot.Members {
		record := &snapshot.Members[i].Record
		if record.ID == snapshot.Self {
			return number
		}
		if counts(record) {
			number++
		}
	}
	return number
}
