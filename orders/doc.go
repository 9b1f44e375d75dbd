// Package orders runs the protocol of package idempotency. It holds the
// replicas of this instance's shards, handles calls of other instances,
// recovers lost records and runs claims for the ingress.
//
// The ingress uses this package through Filter, or calls Service.Begin, which
// returns a Claim, a StoredResponse or a refusal. The ingress calls MayDispatch
// of the claim immediately before each attempt and ends the claim with Finish or
// Release.
//
// Records are held in memory. An instance with a disk may also store them in a
// Journal, so that the replicas on the instance recover without reading from
// other replicas.
package orders
