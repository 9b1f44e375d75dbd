// Package fleetconfig defines the configuration that operators share across the whole
// fleet: client accounts, keys, routes, services, presets and the shard map. It is
// kept as one versioned Document. Every instance serves requests from an immutable
// View, which adds lookup tables to the Document.
//
// Changes reach a Document as Commands, which the StateMachine applies in log order.
// A Delta carries the difference between two versions.
//
// The package performs no I/O.
package fleetconfig
