package balance

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Subset returns the backend servers that one ingress uses, size of them, or all
// when there are not more. The ingresses are numbered from 0 by their order in
// the membership. Every ingress that knows the same backend servers computes the
// same subsets.
//
// The method is deterministic subsetting (B. Beyer et al., "Site Reliability
// Engineering", 2016, chapter 20): the ingresses deal out one shuffled order of
// the backend servers after another, so that each backend server is in about as
// many subsets as any other. Unlike there, a subset may reach over the end of an
// order, so that no backend server is left over: over all ingresses the cover of
// two backend servers differs by at most one.
func Subset(service fleetconfig.ServiceName, ingress int, servers []BackendID, size int) []BackendID {
	if size <= 0 || len(servers) <= size {
		return slices.Clone(servers)
	}
	ordered := slices.Clone(servers)
	slices.SortFunc(ordered, compareIDs)
	first := ingress * size
	order := shuffled(service, 0, ordered)
	for deal := range first / len(ordered) {
		order = nextDeal(service, deal+1, ordered, order, size)
	}
	position := first % len(ordered)
	subset := slices.Clone(order[position:min(position+size, len(order))])
	if missing := size - len(subset); missing > 0 {
		order = nextDeal(service, first/len(ordered)+1, ordered, order, size)
		subset = append(subset, order[:missing]...)
	}
	return subset
}

// nextDeal returns the order that follows former. The subset that reaches over
// the end of former must name no server twice: the servers that it takes from
// there are moved to the end of the new order. Every order still holds each
// server once, so that the cover is exact.
func nextDeal(service fleetconfig.ServiceName, deal int, ordered, former []BackendID, size int) []BackendID {
	left := deal * len(ordered) % size
	taken := former[len(former)-left:]
	kept := make([]BackendID, 0, len(ordered))
	var moved []BackendID
	for _, id := range shuffled(service, deal, ordered) {
		if slices.Contains(taken, id) {
			moved = append(moved, id)
		} else {
			kept = append(kept, id)
		}
	}
	return append(kept, moved...)
}

func shuffled(service fleetconfig.ServiceName, deal int, ordered []BackendID) []BackendID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(service))
	rng := rand.New(rand.NewPCG(hash.Sum64(), uint64(deal)))
	order := slices.Clone(ordered)
	rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

func compareIDs(a, b BackendID) int {
	if order := cmp.Compare(a.Instance, b.Instance); order != 0 {
		return order
	}
	return cmp.Compare(a.Server, b.Server)
}
