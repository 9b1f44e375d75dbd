// Package throttle limits the rate at which one backend server is sent requests to the rate
// that the server advertises in its responses.
//
// The proxy beside the server holds one Throttle for it. Every request to the server passes
// this proxy, so the limit covers all ingresses. The limit is a token bucket that starts
// empty and holds at most MaxBurst tokens.
//
// A lower rate applies as soon as a response names it. A higher rate, or the end of the
// limit, must come in the response to a request that was sent after the current rate was
// learned: the response to an earlier request may be older than the current rate. A proxy
// that has restarted adopts the rate that ingresses remember, until the first response.
//
// A second limit holds while the server is cold: a token bucket with the rate that a cold
// server tolerates, and a count of the requests of the last second, so that requests that were
// sent before it was known to be cold count too.
//
// The package does no I/O.
package throttle
