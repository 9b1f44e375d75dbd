// Package e2e holds the tests with whole fleets of separate processes under kill,
// freeze, cut and lost disks. The test executable itself is the daemon and the
// backend server that it starts.
package e2e
