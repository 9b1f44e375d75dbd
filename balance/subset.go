package balance

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Subset returns the backend servers that one ingress uses: as many as size says, or all
// if there are no more than that or size is not positive. Ingresses are numbered from 0
// by their order in the membership. Every ingress that knows the same backend servers
// computes the same subsets.
//
// The method is deterministic subsetting (B. Beyer et al., "Site Reliability
// Engineering", 2016, chapter 20): each round shuffles the backend servers, and
// consecutive ingresses take consecutive parts of the rounds, so that each backend server
// is in about as many subsets as any other. Unlike in the book, a subset may continue in
// the next round, so that no backend server is left over: over all ingresses, the number
// of subsets that hold a backend server differs by at most one between any two servers.
func Subset(service fleetconfig.ServiceName, ingress int, servers []BackendID, size int) []BackendID {
	if size <= 0 || len(servers) <= size {
		return slices.Clone(servers)
	}
	ordered := slices.Clone(servers)
	slices.SortFunc(ordered, compareIDs)
	first := ingress * size
	order := shuffled(service, 0, ordered)
	for round := range first / len(ordered) {
		order = nextOrder(service, round+1, ordered, order, size)
	}
	position := first % len(ordered)
	subset := slices.Clone(order[position:min(position+size, len(order))])
	if missing := size - len(subset); missing > 0 {
		order = nextOrder(service, first/len(ordered)+1, ordered, order, size)
		subset = append(subset, order[:missing]...)
	}
	return subset
}

// nextOrder returns the order of the given round, which follows previous. A subset that
// continues from previous must not hold a server twice, so the servers that it took from
// previous are moved to the end of the new order. Every order still holds each server
// exactly once, which keeps the coverage even.
func nextOrder(service fleetconfig.ServiceName, round int, ordered, previous []BackendID, size int) []BackendID {
	// carried is the number of servers that the continued subset has taken from previous.
	carried := round * len(ordered) % size
	taken := previous[len(previous)-carried:]
	kept := make([]BackendID, 0, len(ordered))
	var moved []BackendID
	for _, id := range shuffled(service, round, ordered) {
		if slices.Contains(taken, id) {
			moved = append(moved, id)
		} else {
			kept = append(kept, id)
		}
	}
	return append(kept, moved...)
}

func shuffled(service fleetconfig.ServiceName, round int, ordered []BackendID) []BackendID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(service))
	rng := rand.New(rand.NewPCG(hash.Sum64(), uint64(round)))
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
