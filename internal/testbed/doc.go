// Package testbed lays out small fleets on loopback addresses for tests,
// demonstrations and measurements: authority, certificates, settings files and
// the processes. It is no part of the product's daemons.
package testbed
