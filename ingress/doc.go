// Package ingress is the part of the proxy that accepts requests from callers. Every
// instance accepts requests from every caller.
//
// A request passes a chain of filters, each of which handles one concern:
//
//   - limit rejects headers and bodies that exceed the configured sizes.
//   - identify removes hop-by-hop headers and headers that only the fleet may set.
//   - route matches the route and selects the service.
//   - currency rejects requests with a key while the configuration is not confirmed
//     as current.
//   - authenticate checks the key and removes it before anything is forwarded.
//   - The configured admission filters follow: quota enforces the rate and burst of
//     the client account, and idempotency runs an order with an idempotency key at
//     most once.
//   - forward selects a backend server and sends the request to the backend proxy of
//     its instance.
//
// When the chain has ended, the recorder records the exchange. A refused request
// receives a problem document (RFC 9457) at once, with the outcome, the remedy and
// Retry-After.
package ingress
