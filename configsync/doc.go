// Package configsync distributes the configuration in the fleet. It polls, fetches and
// offers versions and publishes the one that the instance serves from. It makes no
// decisions of its own: package currency decides which versions are accepted and
// current, package configtree decides which instances obtain them from which, and package
// fleetconfig applies changes.
//
// The leader of control offers each committed version to the holders, which are up to
// seven instances that keep it in memory. Once a majority of them holds it, the version
// is accepted. The holders then serve from it and offer it to their children in a tree
// of bounded fan-out, and the children offer it to their own. In a fleet without holders, a
// committed version is accepted; the leader offers it to the other control instances, which
// are the roots of the tree with it. Offers only make the distribution faster. The revocation bound, the maximum time until a withdrawn key is
// refused on every instance, relies on polling alone: each instance polls its parent in
// the tree twice a second, while holders and control instances poll the leader five
// times a second. The reply contains a delta from the poller's version and the age of
// the parent's attestation, which states that at a given time no version above a given
// one had been accepted (see package currency). If the poller is too far behind for a
// delta, it fetches a snapshot.
//
// Deltas and snapshots are encoded and compressed once and sent on as they were received. At
// most one offer to a child is under way. Meanwhile, replies to the child's polls have no
// delta. An offer has the delta from the version that the child holds according to its
// latest poll or reply.
//
// A parent is used as long as its attestation is no older than a maximum that grows
// with each level of the tree, as each level adds its poll interval. If the attestation
// is older, or if the parent does not reply within 400 ms, the instance polls two
// control instances and a neighbour of the parent at once, and then three further
// instances in each round, until one of them has a recent attestation. That instance is
// the fallback. Control instances and neighbours of the parent alternate in the order of
// these polls. The parent is polled in addition every two seconds, and replaces the
// fallback once it has a recent attestation again.
//
// The calls go to /fleet/config/poll, /fleet/config/offer, /fleet/config/snapshot,
// /fleet/config/propose and /fleet/config/source.
package configsync
