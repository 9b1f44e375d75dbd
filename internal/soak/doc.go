// Package soak runs a fleet of real processes under random faults and checks the
// fleet's promises from what callers, operators and backend servers see.
//
// A seed decides the faults: which, when, where and for how long. They come from
// outside the processes: signals, a relay between the instances, another one before
// the callers' ports, damage to files of processes that are down, faults of backend
// servers, and changes of operators. They come in series and overlap. Callers keep
// their connections until the other end is gone.
//
// What is checked while it runs: an order runs at most once, what was said to be not
// run has not run, no key reaches a backend server, an account stays within its rate
// and burst in every window, a withdrawn key stops working in time, an answer is whole
// or visibly broken off, an accepted change stays, one of two racing changes loses, a
// planned stop cuts no request off, and no process ends by itself. After the last
// fault the fleet must serve again within a bound.
package soak
