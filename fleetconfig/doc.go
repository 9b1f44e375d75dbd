// Package fleetconfig holds the configuration that operators share over the
// whole fleet: client accounts, keys, routes, services, presets and the shard
// map. It is one versioned Document. Every instance serves from an immutable
// View of it, which is the Document with its lookup tables.
//
// The package decides and does no I/O.
package fleetconfig
