// Package experiment runs the packages health, balance, retry and queue, which make the
// decisions of an instance, in a simulation in one process and in virtual time. Fake backend
// servers generate request outcomes for several seeds. Simpler baseline policies are run
// for comparison; those for detection see the same outcomes as package health.
//
// The simulation has no network model and instances never fail. Its figures compare
// policies; they do not predict the performance of a fleet.
package experiment
