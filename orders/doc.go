// Package orders drives package idempotency: it keeps the replicas of this
// instance's shards, answers other instances' calls, recovers lost memory and
// runs claims for the ingress.
//
// The ingress uses it through Filter, or directly: Begin returns a Claim, a
// stored Answer, or a refusal; the claim is asked with MayDispatch immediately
// before each attempt and ends with Finish or Release.
//
// Records live in memory. An instance with a disk may keep them in a Journal as
// well; its replicas then do not need the others to recover.
package orders
