// Package balance selects the backend server of a request at an ingress.
//
// The choice is the less loaded of two random backend servers (M. Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12, 2001),
// by load per slot, in the nearest tier of failure domains first, with
// spill-over to farther tiers when the nearer choice is loaded. A backend server
// in slow start is a candidate only with the probability of its weight.
//
// At a service with many backend servers each ingress uses a Subset of them, so
// that no ingress keeps connections to all.
//
// The package does no I/O and uses no global randomness. Picking allocates
// nothing.
package balance
