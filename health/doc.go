// Package health decides which backend servers are suspect, which of them may be ejected,
// and when they return.
//
// The proxy that runs beside a backend server feeds a Monitor with every request to that
// server. The Monitor's Detector keeps two cumulative sums (CUSUM; E. S. Page,
// "Continuous Inspection Schemes", Biometrika 41, 1954) of log-likelihood ratios against
// the Baseline of the whole service, one for latency and one for errors. A sum that
// reaches a share of the alarm threshold makes the server suspect. A sum that reaches the
// threshold with evidence from several client accounts, or a multiple of it with evidence
// from one, raises an alarm: the monitor then requests an ejection permit. The threshold
// follows G. Lorden, "Procedures for Reacting to a Change in Distribution", Ann. Math.
// Stat. 42, 1971: for independent outcomes the mean number of healthy requests between
// two false alarms is at least exp(threshold).
//
// A server is ejected only under a permit from the PermitOwner of its service, which
// checks the capacity floor with MayEject. Permits expire, so no server stays ejected if
// the owner is lost, and a new owner grants no permit until one permit TTL has passed.
//
// Path failures are kept apart from server failures (PathMonitor, one per path at each
// ingress): an ingress that cannot reach an instance avoids the path to it, and does not
// report the backend servers of that instance as bad.
//
// The package does no I/O. Callers pass in the current time, and every data structure is
// bounded, except that a Breaker keeps an entry for each open request.
package health
