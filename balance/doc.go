// Package balance selects the backend server of a request at an ingress.
//
// It compares a few random backend servers and takes the one of the lowest cost (M.
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12,
// 2001). The cost is the load per slot plus a penalty for the probability that the server
// is failing. The nearest tier of failure domains comes first; requests spill over to
// farther tiers when the near choice is loaded. A random draw accepts a backend server
// only with a probability, which is lower for a server in slow start and for one that is
// probably failing.
//
// For a service with many backend servers each ingress uses a Subset of them, so that no
// ingress keeps connections to all.
//
// The package does no I/O and uses no global randomness. Picking does not allocate.
package balance
