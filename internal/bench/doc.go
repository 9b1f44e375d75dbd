// Package bench implements the hemlockbench command. It runs small fleets of real
// processes on loopback addresses with emulated backend servers, sends load to them
// and prints the measurements.
package bench
