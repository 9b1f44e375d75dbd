package transport

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A connection that somebody is about to use is never closed as idle.
func TestAConnectionBetweenLookupAndRequestIsNotIdle(t *testing.T) {
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

// A caller that gives up while the connection is being opened leaves it unused.
func TestACallerThatGivesUpReleasesTheConnection(t *testing.T) {
	pool := newPool(nil, nil)
	peer := &peerConn{ready: make(chan struct{})}
	pool.peers["peer"] = peer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := pool.connection(ctx, "peer")
	must.ErrorIs(t, err, context.Canceled)
	must.Zero(t, peer.inUse.Load())
	close(peer.ready)
}
