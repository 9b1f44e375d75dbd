// Package transport carries requests between instances: HTTP/3 over QUIC with mutual
// TLS under the certificate authority of the fleet, on one UDP port. In a trusted
// network it uses HTTP/2 over TCP without TLS instead, on the TCP port of the same
// number.
//
// The same connections carry the forwarded requests of callers and the calls between
// the components of the instances (such as consensus, shard groups, configuration,
// gossip and reports). In a trusted network, requests with large responses use
// connections of their own; see [ConnectionClass]. A call is a POST with a CBOR body.
// Connections are opened on demand and closed when idle, so that an instance does not
// need a connection to every other one.
package transport
