// Package shardkeeper places the configuration holders and the shards. It runs on the
// control instances and acts only on the leader of control.
//
// Configuration holders are instances that keep the committed configuration in memory
// and, while control is unreachable, confirm which version is the latest (see
// fleetconfig.Document). An epoch is the number of a version of the shard map.
//
// A [Reconciler] assigns the holders of the configuration and places the shards of a new
// fleet. Once all replicas of the shards have confirmed the initial epoch, it opens the
// shards: it starts the next epoch, from which on the replicas vote (see
// fleetconfig.OpenShards). After that it moves replicas away from instances that have been
// absent for shard.PlannerTiming.GoneAfter. A shard changes by one replica at a time, and
// only after the previous change has been confirmed.
package shardkeeper
