// Package shard divides client accounts and services into shards, places each
// shard on a group of instances, and lets one instance at a time own a shard by
// a lease that a majority of the group has voted for.
//
// The package decides and does no I/O. A Group holds the shards of one
// instance; its driver steps messages in, calls Tick and sends what comes out.
//
// # Lease
//
// A Replica votes for at most one Holder at a time. Its vote counts for
// Timing.Lease from the moment it answered. The holder counts a slightly shorter
// time from the moment it asked, so that its lease ends before any vote behind it
// ends (Gray and Cheriton, Leases, SOSP 1989). Two majorities share a replica,
// so at most one instance owns a shard at any instant.
//
// A replica that has lost its memory may have voted before. It therefore votes
// for no one during one lease time, and reads the newest epoch of the map from
// enough other replicas first.
//
// # Clocks
//
// Each instance's monotonic clock may start anywhere. Its rate is assumed to stay
// within MaxClockDrift of true time, and it must go on while the process is
// stopped. Durations that one clock measures for another are shortened by
// HolderTime.
//
// # Change of the map
//
// A step adds one replica to a shard or removes one, never both: majorities of
// two consecutive placements then always share a replica. A replica confirms a
// placement one lease time after it has taken it, when no vote that it gave under
// an older placement is left. The Planner makes the next step of a shard only
// once a majority of its replicas has confirmed the present map.
package shard
