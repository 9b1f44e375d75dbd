// Package e2e contains the end-to-end tests. They run fleets of separate processes in which
// daemons are killed or suspended, lose their disks or are partitioned. The daemons and
// backend servers are run by the test executable itself.
package e2e
