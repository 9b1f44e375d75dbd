// Package gossip drives a membership.State: it ticks it, carries its messages as
// sealed datagrams, runs the digest exchange over calls, and publishes an
// immutable Snapshot of the members for the request path to read.
package gossip
