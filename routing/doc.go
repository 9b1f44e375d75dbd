// Package routing finds the route of a request by host and path prefix.
//
// A prefix matches whole path segments: "/orders" serves "/orders" and
// "/orders/7", not "/orders-old". The longest prefix of the request's host wins;
// routes for every host are tried when the host has none that matches.
package routing
