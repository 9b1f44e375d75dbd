// Package shard divides client accounts and services into shards, places the replicas
// of each shard on a set of instances, and lets at most one instance at a time own a
// shard. Ownership is a lease that a majority of the replicas has voted for.
//
// The package performs no I/O. A Manager holds the state of all shards of one
// instance; the caller passes received messages to it, calls Tick regularly and sends
// the messages that it returns.
//
// # Lease
//
// A Replica votes for at most one Holder at a time. Its vote is valid for Timing.Lease
// from the moment of its reply. The holder counts a slightly shorter time from the
// moment of its request, so that the lease expires before any of the votes that the
// lease is based on (Gray and Cheriton, Leases, SOSP 1989). Two majorities have at
// least one replica in common, so at most one instance owns a shard at any time.
//
// A replica that has lost its state, by a restart for example, may have voted before.
// It therefore does not vote for the duration of one lease, nor before it has read the
// latest epoch of the shard map (fleetconfig.ShardMap): from a majority of the
// configuration holders, or from enough other replicas to include at least one member
// of every majority in which the replica may have voted.
//
// # Clocks
//
// The monotonic clocks of the instances may start at any value. Their rate is assumed
// to stay within MaxClockDrift of true time, and they must continue while the process
// is suspended. A duration that one clock measures on behalf of another is shortened
// by SubtractClockDrift.
//
// # Changes of the map
//
// A step of the map is the change from one epoch to the next. For each shard it adds
// at most one replica or removes at most one, never both. Majorities of two
// consecutive placements then always have a replica in common. A replica confirms a
// placement one lease duration after adopting it, when none of the votes that it gave
// under an older placement is valid any more. The Planner makes the next step of a
// shard only after a majority of its replicas has confirmed the current map.
package shard
