// Package configsync spreads the configuration over the fleet. It drives the
// decisions of packages currency and fleetconfig: it polls, fetches, pushes and
// publishes, and decides nothing itself.
//
// The leader of control offers each committed version to the holders. Once a
// majority holds it, it is accepted; the holders serve from it and offer it to
// their children in a tree of bounded fan-out, which offer it on. Offers are for
// speed only. What carries the promise is polling: each instance polls one
// neighbour twice a second, which is its parent in the tree as long as that
// answers with fresh news. The answer has the age of the neighbour's attestation
// and the delta to what it serves. A poller that is too far behind for a delta
// fetches a snapshot from that neighbour. Control is asked by its own instances
// and the holders, and by others only when no other neighbour helps.
//
// Calls go to /fleet/config/poll, /fleet/config/offer and /fleet/config/snapshot.
package configsync
