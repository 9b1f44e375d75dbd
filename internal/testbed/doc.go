// Package testbed creates and runs small fleets on loopback addresses for tests,
// demonstrations and measurements. It writes the certificates and settings files,
// starts the processes and can disturb the network between them. The daemons do not
// use it.
package testbed
