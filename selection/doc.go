// Package selection selects the backend server of each request at this ingress. It tracks
// the state of each backend server (requests in flight, reported load, failure
// probability, path failures) and leaves the decisions to the packages balance, health
// and retry.
package selection
