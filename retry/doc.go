// Package retry decides whether a request gets another attempt.
//
// A retry is allowed only after an attempt that is proved not to have run, or for an
// idempotent request. A hedge, that is, a second attempt while the first is still running,
// is allowed only for an idempotent request, after a delay based on the service's own
// latencies (J. Dean and L. A. Barroso, "The Tail at Scale", CACM 56, 2013). Retries and
// hedges share one budget for each service and account, a percentage of the requests, so
// that retries do not amplify an overload. Under a preset with limits for the whole fleet, the
// proxy beside each backend server limits the repeats that the server receives (RepeatBudget),
// and the ingress only what each account takes.
//
// The package does no I/O. Its state is bounded.
package retry
