// Package idempotency decides whether an order request with an Idempotency-Key
// may run, so that each order runs at most once within the retention period.
//
// The records of a shard are held in memory by its replicas: five instances, or
// fewer in a smaller fleet. To run an order, an ingress creates a Claim and
// requests a vote on the order's record from every Replica. Each replica votes
// for the first claim that it receives and keeps the vote until the retention
// period ends. Any two majorities have a replica in common, so at most one
// claim gets a majority. A claim must get its majority within the claim
// timeout, which is measured from before the first vote request is sent.
// Otherwise the claim never dispatches the order and releases its votes.
//
// A replica that restarts without its records may have voted for a claim that
// it no longer knows. It first waits for the claim timeout; after that, every
// claim that counted the lost vote has either got its majority or failed. The
// replica then reads the records of enough other replicas to include a member
// of every majority that it could have been part of, and only then votes again.
// The reasoning follows the recovery protocol of viewstamped replication
// (Liskov and Cowling, 2012), with the claim timeout in place of the nonce
// exchange and one record per key in place of a log.
//
// A shard map change adds or removes one replica, each in an epoch of its own
// (see CheckStep). A new replica reads the records of others before it votes.
//
// The safety invariant: for each claim that got a majority, at most group size
// minus majority ready replicas do not hold the claim, and that number never
// grows while the record is retained.
//
// The package does no I/O. Package orders sends the messages, stores the
// journal and provides the clock.
package idempotency
