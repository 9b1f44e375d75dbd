// Package gossip is the driver of membership.State. It calls Tick on the state, sends and
// receives its messages as encrypted datagrams, runs digest exchanges as calls over the
// fleet transport, and publishes an immutable Snapshot of the members, which the request
// path reads without a lock.
package gossip
