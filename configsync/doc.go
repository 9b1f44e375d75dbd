// Package configsync distributes the configuration in the fleet. It polls, fetches and
// offers versions and publishes the one that the instance serves from. It makes no
// decisions of its own: package currency decides which versions are accepted and
// current, and package fleetconfig applies changes.
//
// The leader of control offers each committed version to the holders. Once a majority
// of them holds it, the version is accepted. The holders then serve from it and offer
// it to their children in a tree of bounded fan-out, and these offer it to theirs.
// Offers only make the distribution faster. The revocation bound relies on polling
// alone: each instance polls its parent in the tree twice a second, while holders and
// control instances poll the leader five times a second. The reply contains the age of
// the parent's attestation and a delta from the poller's version. If the poller is too
// far behind for a delta, it fetches a snapshot.
//
// A parent is used as long as its attestation is no older than the parent's level in
// the tree explains. If the attestation is older, or if the parent does not reply
// within 400 ms, the instance polls two control instances and a neighbour of the parent
// at once, and then the next three in each round, until one of them has a recent
// attestation. That one is the fallback. The parent is polled in addition every two
// seconds, and replaces the fallback once it has a recent attestation again.
//
// The calls go to /fleet/config/poll, /fleet/config/offer, /fleet/config/snapshot,
// /fleet/config/propose and /fleet/config/source.
package configsync
