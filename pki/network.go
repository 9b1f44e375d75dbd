package pki

import "crypto/sha256"

// TrustedNetworkGossipKey returns the datagram key of fleets that trust their network. The
// key is public: it only makes instances reject datagrams of other programs.
func TrustedNetworkGossipKey() []byte {
	key := sha256.Sum256([]byte("hemlockring trusted network"))
	return key[:GossipKeyBytes]
}
