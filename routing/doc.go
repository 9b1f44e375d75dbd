// Package routing finds the route of a request by host and path prefix.
//
// A prefix matches whole path segments: "/orders" matches "/orders" and "/orders/7", but
// not "/orders-old". The longest matching prefix among the routes of the request's host
// wins. Routes that apply to every host are used if none of the host's routes matches.
//
// Prefixes are compared with the decoded path, or with the path as the caller wrote it if the
// route demands that.
package routing
