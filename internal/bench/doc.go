// Package bench is the load and experiment tool behind the hemlockbench command:
// it brings up small fleets of real processes on loopback addresses with
// emulated backend servers, sends load and prints what it measured.
package bench
