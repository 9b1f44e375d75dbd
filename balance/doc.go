// Package balance selects the backend server of a request at an ingress.
//
// It compares a few random backend servers and takes the one of the lowest cost (M.
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12,
// 2001). The cost is the load per slot plus penalties for the probability that the server
// is failing and for its slowness. A pick begins with the nearest tier of failure domains and goes on to the
// next farther tier while the cost of the best server found so far is at least
// Policy.SpilloverLoad. A random draw does not accept every backend server: the
// probability of acceptance is lower for a server in slow start and for one that is
// probably failing.
//
// For a service with many backend servers each ingress uses a Subset of them, so that no
// ingress keeps connections to all.
//
// The package does no I/O and uses no global randomness. Picking does not allocate.
package balance
