// Package metrics counts and times the requests and events of an instance with tally, and
// serves the metrics in the Prometheus text format.
//
// Latency histograms are kept per service and client account. Their number is bounded: the
// MaxNamedAccounts accounts with the highest rates have histograms of their own, and all
// others share one histogram per rate class.
package metrics
