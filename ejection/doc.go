// Package ejection runs the ejection logic of package health on this instance. It
// monitors the backend servers beside this instance and sends their reports and permit
// requests to the owner of the service's shard. For the services whose shard lease this
// instance holds, the package runs the permit owner.
//
// A backend server is ejected only under a permit, so that the capacity floor of a
// service holds across all instances. While a service's shard has no reachable owner, no
// new ejection starts.
//
// Messages to an owner are batched per service, with at most one batch in flight.
package ejection
