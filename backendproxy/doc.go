// Package backendproxy is the part of the proxy that runs beside the backend servers of
// an instance. Ingresses forward every request for one of these backend servers to this
// part of the proxy.
//
// It runs no more requests on a backend server at once than the server has slots, and
// queues the rest, so a request refused as busy has certainly not run. It refuses new
// requests as soon as the backend server drains or the instance stops, checks the key of
// each request again after the ingress has checked it, and sends each request to the
// backend server at most once. Its filters are, in this order, verify, drain, doubt (the
// server's health), queue and run.
//
// Backend servers register over HTTP on the instance's local address:
//
//	PUT /v1/servers/{id}     announce the server, or renew its announcement
//	DELETE /v1/servers/{id}  remove the server
//
// A backend server that does not renew its announcement within the announced lifetime is
// removed.
package backendproxy
