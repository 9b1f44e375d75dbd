// Package metrics counts and times the requests and events of an instance with tally, and
// serves the metrics in the Prometheus text format.
//
// Latency histograms are kept per service and client account. Their number is bounded: the
// MaxNamedAccounts accounts with the highest rate limits in the configuration have
// histograms of their own. For each service, all others share one histogram per class of
// rate limits, and the requests without an account share another one.
package metrics
