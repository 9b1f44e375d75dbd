// Package node assembles one instance of the fleet from the other packages. It opens
// the ports, connects the filter chains of the ingress and of the backend proxy to the
// services that they use, runs the services under a supervisor, and stops them in an
// order that lets requests in flight complete.
package node
