// Package orders runs the protocol of package idempotency. It holds the
// replicas of this instance's shards, handles calls of other instances,
// recovers lost records and runs claims for the ingress.
//
// The ingress uses it through Filter, or directly: Begin returns a Claim, a
// StoredResponse or a refusal. The ingress calls the claim's MayDispatch
// immediately before each attempt and ends the claim with Finish or Release.
//
// Records are held in memory. An instance with a disk may also store them in a
// Journal, so that its replicas recover without reading from others.
package orders
