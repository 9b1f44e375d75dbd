package pki

import "crypto/sha256"

// TrustedNetworkGossipKey is the datagram key of fleets that trust their network. It
// keeps datagrams of other programs out and no secret.
func TrustedNetworkGossipKey() []byte {
	key := sha256.Sum256([]byte("hemlockring trusted network"))
	return key[:GossipKeyBytes]
}
