// Package idempotency decides whether an order placement with an
// Idempotency-Key may run, so that it runs at most once within the retention.
//
// The records of a shard live in the memory of its replicas (five instances
// where the fleet has that many). An ingress that wants to run an order makes a
// Claim: it asks every Replica for its vote on the order's record. Each replica
// votes for the first claim that it hears of and keeps the vote for the whole
// retention. Two majorities share a replica, so at most one claim can have a
// majority. The claim must gather it within the claim time, counted from before
// the first request for a vote was sent; otherwise it never dispatches and
// releases its votes.
//
// A replica that has lost its memory may have voted for a claim that it no
// longer knows. It first waits out the claim time, after which every claim that
// counted the lost vote has either its majority or has given up. It then reads
// the records of so many other replicas that every majority it could have been
// part of is covered, and votes only after that. The argument is that of
// viewstamped replication's recovery (Liskov and Cowling, 2012), with the claim
// time in place of the nonce exchange and with a record per key in place of a
// log.
//
// A map change adds a replica or removes one, each in an epoch of its own
// (CheckStep). A new replica reads before it votes.
//
// The invariant behind all of it: for each claim that got its majority, the
// ready replicas that do not hold it number at most group size less majority,
// and that number never grows while the record is retained.
//
// The package decides and does no I/O; package orders drives it.
package idempotency
