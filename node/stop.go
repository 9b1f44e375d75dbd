package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// fleetShutdownTimeout bounds how long the last answers may take to arrive at the
// other instances.
const fleetShutdownTimeout = 3 * time.Second

// shutDownFleetPort lets the last answers arrive at the other instances. Closing
// the port at once would lose what the handlers have written but nobody has
// received yet.
func (n *Node) shutDownFleetPort() {
	ctx, cancel := context.WithTimeout(context.Background(), fleetShutdownTimeout)
	defer cancel()
	if err := n.endpoint.Shutdown(ctx); err != nil {
		n.logger.Warn("fleet port did not shut down in time", "error", err)
	}
}

// stop is the planned stop. The order matters: first the fleet hears that this
// instance takes no new work, then the callers' port closes and waits for its
// requests, which may need the fleet port; the fleet port closes last.
func (n *Node) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Limits.StopTimeout)
	defer cancel()
	n.logger.Info("instance stops, requests in flight go on")
	n.members.SetDraining()
	var group errgroup.Group
	group.Go(func() error { return n.backendProxy.Drain(ctx) })
	if n.callers != nil {
		group.Go(func() error { return n.callers.shutdown(ctx) })
	}
	err := group.Wait()
	n.members.Leave()
	n.shutDownFleetPort()
	if err != nil {
		return errors.Wrap(err, "stop")
	}
	n.logger.Info("instance stopped, no request was cut off")
	return nil
}
