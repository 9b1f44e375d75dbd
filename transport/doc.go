// Package transport carries requests between instances: HTTP/3 over QUIC with
// mutual TLS under the fleet's certificate authority, on one UDP port.
//
// The same connections carry forwarded requests of callers and the calls of the
// parts that act together (consensus, shard groups, configuration). A call is a
// POST with a CBOR body. Connections are opened on demand and closed when idle,
// so that no instance keeps a connection to every other one.
package transport
