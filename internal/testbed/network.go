package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// claimPort is the port that claims a loopback network on its first address.
	claimPort     = 7399
	claimHostByte = 1
	// maxClaimAttempts bounds the search for a network that no fleet has claimed.
	maxClaimAttempts = 1000
	// networksPerByte is the range of the second and of the third byte of a network.
	networksPerByte = 250
)

// claims holds the sockets that claim networks. They stay open until the process ends,
// because the processes of a fleet may outlive its layout.
var claims struct {
	mu      sync.Mutex
	sockets []net.PacketConn
}

func randomNetwork() string {
	return fmt.Sprintf("127.%d.%d", 1+rand.IntN(networksPerByte), rand.IntN(networksPerByte))
}

// claimNetwork returns the first three bytes of a loopback network that no other fleet on
// this machine has claimed. It takes the candidates from draw.
func claimNetwork(draw func() string) (string, error) {
	for range maxClaimAttempts {
		network := draw()
		socket, err := net.ListenPacket("udp", fmt.Sprintf("%s.%d:%d", network, claimHostByte, claimPort))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", errors.Wrapf(err, "claim the loopback network %s", network)
		}
		claims.mu.Lock()
		defer claims.mu.Unlock()
		claims.sockets = append(claims.sockets, socket)
		return network, nil
	}
	return "", errors.Newf("no unclaimed loopback network found in %d attempts", maxClaimAttempts)
}
