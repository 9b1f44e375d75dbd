// Package backendproxy is the part of the proxy that runs beside the backend servers of
// an instance. Ingresses forward every request for a backend server to it.
//
// It limits the requests that run on a backend server to its slots and queues the
// others, so a request refused as busy has certainly not run. It refuses new requests
// as soon as the backend server drains or the instance stops, checks the key of each
// request again after the ingress has checked it, and sends each request to the backend
// server at most once. Its filters are, in this order, verify, drain, doubt (the server's
// health), queue and run.
//
// Backend servers register over HTTP on the instance's local address:
//
//	PUT /v1/servers/{id}     announce the server, or renew its announcement
//	DELETE /v1/servers/{id}  remove the server
//
// A backend server that does not renew its announcement within the announced lifetime is
// removed.
package backendproxy
