// Package node puts the parts of an instance together: it opens the ports, wires
// the two filter chains to their drivers, supervises the services and stops them
// in an order that cuts off no request in flight.
package node
