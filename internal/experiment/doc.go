// Package experiment simulates the decision packages health, balance, retry and queue
// in one process and in virtual time. Fake backend servers generate request outcomes for
// several seeds. Simpler baseline policies see the same outcomes for comparison.
//
// The simulation has no network model and instances never fail. Its figures compare
// policies; they do not predict the performance of a fleet.
package experiment
