// Package metrics counts and times what an instance does, by tally, and serves
// the result in the Prometheus text format.
//
// Latency histograms are kept for each service and client account. Their number
// is bounded: the MaxNamedAccounts accounts with the highest rate have
// histograms of their own, all others share one for each class of rate.
package metrics
