// Package idempotency decides whether an order request with an Idempotency-Key
// may run, so that each order runs at most once within the retention period.
//
// Orders are divided among shards by the digest of their keys. A shard map
// assigns replicas to each shard, normally five instances, or fewer in a smaller
// fleet. Each version of the shard map has an epoch number. The replicas of a
// shard hold its records in memory.
//
// To run an order, an ingress creates a Claim and requests a vote on the order's
// record from every Replica. Each replica votes for the first claim that it
// receives and keeps the vote until the claim is released or the retention
// period ends. A replica that has voted for a claim, or has recovered it, holds
// the claim; the claim holds the record. Any two majorities have a replica in
// common, so at most one claim gets a majority. A claim must get its majority
// and dispatch the order within the claim timeout, which starts before the first
// vote request is sent. Otherwise the claim never dispatches the order and
// releases its votes.
//
// A replica that restarts without its records may have voted for a claim that
// it no longer knows. It first waits for the claim timeout and a margin for
// differences in clock rate; after that, every claim that counted the lost vote
// has either got its majority or failed. The replica then reads the records of
// other replicas until every majority to which it could have belonged contains
// at least one replica that it has read. Only then does it vote again. The
// reasoning follows the recovery protocol of viewstamped replication (Liskov and
// Cowling, 2012), with the claim timeout in place of the nonce exchange and one
// record per key in place of a log.
//
// A new epoch adds or removes at most one replica of a shard; see CheckStep. A
// new replica reads the records of other replicas before it votes.
//
// The safety invariant: for each claim that got a majority, the number of ready
// replicas that do not hold the claim is at most the group size minus the
// majority, and that number never grows while the record is retained.
//
// The package does no I/O. Package orders sends the messages, stores the
// journal and provides the clock.
package idempotency
