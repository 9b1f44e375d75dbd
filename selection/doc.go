// Package selection drives the choice of a backend server: it keeps what this
// ingress knows of each one (requests in flight, reported load, path failures)
// and asks the decision packages which one to take.
package selection
