// Package backendproxy is the half of the proxy that runs beside the backend
// servers of an instance. Every request to a backend server passes it.
//
// It knows the slots in use, so it can say "busy, not run" truthfully; it refuses
// new work the moment a backend server drains; it checks the key id a second
// time; and it is the one place that hands a request to a backend server, at most
// once. Its chain of filters is verify, drain, queue, run.
//
// Backend servers announce themselves by HTTP on the instance's local address:
//
//	PUT /v1/servers/{id}     announce or renew
//	DELETE /v1/servers/{id}  leave
//
// A backend server that does not renew within its announced lifetime is gone.
package backendproxy
