// Package callgraph learns which services the runs of each route call, and how often, from the
// runs of the backend servers beside one instance. With it a request is not started while the
// calls that its run will need find no room: the run would hold a slot until one of them fails,
// and may not be repeated.
//
// What is learned is an exponentially weighted mean over the runs of a route, so it follows a
// route whose runs change and forgets calls that are not made any more. It needs no
// configuration. The state is bounded. The package does no I/O.
package callgraph
