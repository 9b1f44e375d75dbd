// Package shardkeeper places the configuration holders and the shards. It runs on the
// control instances and acts only on the leader of control.
//
// A [Reconciler] assigns the holders of the configuration and places the shards of a new
// fleet. It opens the shards once all their replicas have confirmed the initial epoch.
// After that it moves replicas away from instances that are gone. A shard changes by one
// replica at a time, and only after the previous change has been confirmed.
package shardkeeper
