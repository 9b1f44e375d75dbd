// Package configsync spreads the configuration over the fleet. It drives the
// decisions of packages currency and fleetconfig: it polls, fetches, pushes and
// publishes, and decides nothing itself.
//
// The leader of control offers each committed version to the holders. Once a
// majority holds it, it is accepted; the holders serve from it and offer it to
// their children in a tree of bounded fan-out, which offer it on. Offers are for
// speed only. What carries the promise is polling: each instance polls its parent
// in the tree twice a second, holders and control the leader five times. The
// answer has the age of the parent's attestation and the delta to what it serves.
// A poller that is too far behind for a delta fetches a snapshot.
//
// A parent helps as long as its news are no older than its level in the tree
// explains. Once they are older, or it does not answer for 400 ms, two control
// instances and a neighbour of the parent are asked at once, three in each round
// until one helps; that one stands in, and the parent is tried beside it every two
// seconds.
//
// Calls go to /fleet/config/poll, /fleet/config/offer and /fleet/config/snapshot.
package configsync
