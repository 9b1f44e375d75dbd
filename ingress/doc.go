// Package ingress is the half of the proxy that callers talk to. Any instance
// serves any caller.
//
// Its chain of filters is identify, route, currency, authenticate, quota,
// idempotency, forward and record. Each filter is one promise: identify cleans
// forged and connection headers, authenticate takes the key away before anything
// is forwarded, quota keeps the account within its rate and burst, idempotency
// runs a keyed order at most once, forward chooses a backend server and sends
// the request to the proxy beside it.
//
// A request that is given up gets a problem document (RFC 9457) at once, with
// the outcome, the remedy and Retry-After.
package ingress
