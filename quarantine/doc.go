// Package quarantine finds requests that crash the backend servers that run them, and
// decides which requests to refuse. Such a request is known as a query of death: it comes
// again with the same content at any instance, and takes a server down each time.
//
// Requests are identified by a Fingerprint of their content. A Table holds the crashes that
// each fingerprint was under way in, merges what other instances have witnessed, and forgets
// crashes of requests that are known to complete.
//
// The package does no I/O. Its state is bounded.
package quarantine
