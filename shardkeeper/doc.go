// Package shardkeeper runs on the control instances. While its instance leads
// control, it names the holders of the configuration, places the shards of a new
// fleet, opens them once every replica has confirmed the founding epoch, and then
// moves replicas away from instances that are gone, one replica at a time, each
// step only after the last one has been confirmed.
package shardkeeper
