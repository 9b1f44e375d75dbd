// Package ingress is the part of the proxy that accepts requests from callers. Every
// instance accepts requests from every caller.
//
// A request passes a chain of filters, each of which handles one concern:
//
//   - limit rejects headers and bodies that exceed the configured sizes.
//   - identify takes the key from the header, and removes hop-by-hop headers and
//     headers that only the fleet may set.
//   - route matches the route and selects the service.
//   - currency rejects requests to routes that require a key while the configuration
//     is not confirmed as current.
//   - authenticate checks the key and clears it, so that it is never forwarded.
//   - The configured admission filters follow: quota enforces the rate and burst of
//     the client account, and idempotency runs an order with an idempotency key at
//     most once.
//   - forward selects a backend server and sends the request to the backend proxy of
//     its instance.
//
// When the chain has ended, the recorder records the exchange. By default, the
// response to a refused request is a problem document (RFC 9457) with the outcome,
// the remedy and Retry-After.
package ingress
