package callgraph

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// maxRoutes bounds the routes, maxCalls the calls of each that are kept; a call takes about
	// 50 bytes.
	maxRoutes = 256
	maxCalls  = 8
	// gain is the least weight of a run in the mean of its route. The first runs weigh more,
	// so that a restarted process knows the calls of a route after a few.
	gain = 0.05
	// minPerRun is the mean number of calls for each run below which a call is forgotten.
	minPerRun = 0.02
)

// Call is a request that the runs of a route send.
type Call struct {
	// Service is the service that is called.
	Service fleetconfig.ServiceName
	// Route is the ID of the route of the call.
	Route string
}

// Expectation is how often the runs of a route make a call.
type Expectation struct {
	// Call is the call.
	Call Call
	// PerRun is the mean number of such calls for each run.
	PerRun float64
}

// Graph holds what was learned. The zero value has learned nothing. It is not safe for
// concurrent use.
type Graph struct {
	routes map[string]*routeCalls
}

// routeCalls is what was learned about one route. calls is ordered by service and route.
type routeCalls struct {
	runs  int
	calls []Expectation
}

// RecordRun records a run that has ended well, and how many calls of each kind it made. A run
// that failed says little, since it may have ended before its calls.
func (g *Graph) RecordRun(route string, made map[Call]int) {
	known := g.routes[route]
	if known == nil {
		if g.routes == nil || len(g.routes) >= maxRoutes {
			g.routes = make(map[string]*routeCalls)
		}
		known = &routeCalls{}
		g.routes[route] = known
	}
	known.runs++
	weight := max(gain, 1/float64(known.runs))
	for i := range known.calls {
		known.calls[i].PerRun *= 1 - weight
	}
	for call, count := range made {
		known.add(call, weight*float64(count))
	}
	known.calls = slices.DeleteFunc(known.calls, func(e Expectation) bool { return e.PerRun < minPerRun })
}

func (r *routeCalls) add(call Call, perRun float64) {
	at, found := slices.BinarySearchFunc(r.calls, call, func(e Expectation, target Call) int {
		return cmp.Or(cmp.Compare(e.Call.Service, target.Service), cmp.Compare(e.Call.Route, target.Route))
	})
	switch {
	case found:
		r.calls[at].PerRun += perRun
	case len(r.calls) < maxCalls:
		r.calls = slices.Insert(r.calls, at, Expectation{Call: call, PerRun: perRun})
	}
}

// Calls returns the calls that the runs of a route make, ordered by service and route. The
// caller must not change the slice, which is valid until the next RecordRun.
func (g *Graph) Calls(route string) []Expectation {
	if known := g.routes[route]; known != nil {
		return known.calls
	}
	return nil
}
