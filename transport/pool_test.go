package transport

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A connection that was looked up for a request must not be closed as idle before
// the request starts.
func TestPoolKeepsConnectionInUse(t *testing.T) {
	pool := newPool(nil, nil)
	peer := &peerConn{ready: make(chan struct{})}
	pool.peers["peer"] = peer

	found, isNew, err := pool.lookup("peer")
	must.NoError(t, err)
	must.False(t, isNew)
	must.True(t, found == peer)
	pool.closeUnusedSince(time.Now().Add(time.Hour))
	must.MapContainsKey(t, pool.peers, "peer")

	peer.release()
	pool.closeUnusedSince(time.Now().Add(time.Hour))
	must.MapEmpty(t, pool.peers)
	close(peer.ready)
}

// A request that is canceled while its connection is being opened must release the
// connection.
func TestPoolReleasesConnectionOfCanceledRequest(t *testing.T) {
	pool := newPool(nil, nil)
	peer := &peerConn{ready: make(chan struct{})}
	pool.peers["peer"] = peer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := pool.connection(ctx, "peer")
	must.ErrorIs(t, err, context.Canceled)
	must.Zero(t, peer.activeRequests.Load())
	close(peer.ready)
}
