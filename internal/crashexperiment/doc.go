// Package crashexperiment simulates requests that crash the backend servers of a fleet, in one
// process and in virtual time. It compares the tables of package quarantine, shared by messages
// that take time and may be lost, with no protection and with a table that each instance
// keeps for itself.
//
// Instances never fail, and each request meets a random backend server with a free slot. The
// figures compare policies; they do not predict the performance of a fleet.
package crashexperiment
