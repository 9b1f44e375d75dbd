package node

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hemlockring/hemlockring/transport"
)

const (
	// maxHandoverTimeout bounds how long leases, order records and the leadership of the
	// replicated log may take to be handed over, and how long the last answers may
	// take to arrive at the other instances.
	maxHandoverTimeout = 3 * time.Second
	// handoverDivisor is the part of the stop timeout that each of these steps may take: a
	// quarter of what requests in flight leave of it.
	handoverDivisor = 24
)

// handoverTimeout returns how long each of the last steps of a stop may take.
func (n *Node) handoverTimeout() time.Duration {
	return min(maxHandoverTimeout, n.settings.Limits.StopTimeout/handoverDivisor)
}

// shutDownFleetPort lets the last answers arrive at the other instances. Closing
// the port at once would lose what the handlers have written but nobody has
// received yet.
func (n *Node) shutDownFleetPort() {
	ctx, cancel := context.WithTimeout(context.Background(), n.handoverTimeout())
	defer cancel()
	if err := n.endpoint.Shutdown(ctx); err != nil {
		n.logger.Warn("fleet port did not shut down in time", "error", err)
	}
}

// stop is the planned stop. The order matters: first whoever sends callers hears that
// this instance takes no new ones. Those who have not heard of it, and the backend
// servers beside it, are served on meanwhile: what arrives then ends no later than the
// callers' requests, which the stop waits for anyway. Then the fleet hears that the
// instance takes no new work, and the callers' port closes and waits for its
// requests, which need leases, order records and the fleet port; then what this
// instance holds for others is handed over; the fleet port closes last.
func (n *Node) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Limits.DrainTimeout())
	defer cancel()
	n.logger.Info("instance stops, requests in flight go on")
	n.stopping.Store(true)
	n.waitStopDelay(ctx)
	n.members.SetDraining()
	var group errgroup.Group
	group.Go(func() error { return n.backendProxy.Drain(ctx) })
	if n.callerPort != nil {
		group.Go(func() error { return n.callerPort.shutdown(ctx) })
	}
	err := group.Wait()
	n.handOver()
	n.members.Leave()
	n.shutDownFleetPort()
	if err != nil {
		return errors.Wrap(err, "stop")
	}
	n.logger.Info("instance stopped, no request was cut off", "traffic", trafficByPath(n.endpoint.CallTraffic()))
	return nil
}

// trafficByPath lists the calls to other instances by path, and their bytes.
type trafficByPath map[string]transport.CallTraffic

// LogValue implements slog.LogValuer.
func (t trafficByPath) LogValue() slog.Value {
	attrs := make([]slog.Attr, 0, len(t))
	for _, path := range slices.Sorted(maps.Keys(t)) {
		traffic := t[path]
		attrs = append(attrs, slog.Group(path,
			"calls", traffic.Calls, "sent_bytes", traffic.SentBytes, "received_bytes", traffic.ReceivedBytes))
	}
	return slog.GroupValue(attrs...)
}

// waitStopDelay waits until whoever sends callers has heard of the stop.
func (n *Node) waitStopDelay(ctx context.Context) {
	timer := time.NewTimer(n.settings.Limits.StopDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// handOver gives to others what this instance holds for the fleet. What does not
// succeed in time is recovered by the others as after a crash.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), n.handoverTimeout())
	defer cancel()
	if err := n.orders.Drain(ctx); err != nil {
		n.logger.Warn("order records", "error", err)
	}
	if err := n.quota.HandOver(ctx); err != nil {
		n.logger.Warn("leases", "error", err)
	}
	if err := n.supervisor.RemoveAndWait(n.reportSenderToken, n.handoverTimeout()); err == nil {
		n.reportSender.SendFinal(ctx)
	}
	if n.control == nil {
		return
	}
	if err := n.supervisor.RemoveAndWait(n.controlToken, n.handoverTimeout()); err != nil {
		n.logger.Warn("leadership of the replicated log", "error", err)
	}
}
