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
	// maxHandoverTimeout is the maximum duration of each of the last steps of a stop: the
	// handover of order outcomes and leases, the end of the summary sender, the
	// handover of the leadership of the replicated log, and the delivery of the last
	// replies on the fleet port.
	maxHandoverTimeout = 3 * time.Second
	// handoverDivisor gives each of these four steps at most 1/24 of the stop timeout.
	// Together they take at most one sixth of it. The other five sixths are for requests
	// in flight; see settings.Limits.DrainTimeout.
	handoverDivisor = 24
)

// handoverTimeout returns the maximum duration of each of the last steps of a stop.
func (n *Node) handoverTimeout() time.Duration {
	return min(maxHandoverTimeout, n.settings.Limits.StopTimeout/handoverDivisor)
}

// shutDownFleetPort shuts the fleet port down gracefully. Closing it at once would lose
// replies that handlers have written but the other instances have not received yet.
func (n *Node) shutDownFleetPort() {
	ctx, cancel := context.WithTimeout(context.Background(), n.handoverTimeout())
	defer cancel()
	if err := n.endpoint.Shutdown(ctx); err != nil {
		n.logger.Warn("graceful shutdown of the fleet port failed", "error", err)
	}
}

// stop performs a planned stop in this order:
//
//  1. The instance reports that it is not ready. During the stop delay it still accepts
//     requests, since load balancers may not know yet, and its backend servers still
//     serve the whole fleet. The requests that they receive do not prolong the stop: they
//     end no later than the requests of callers, for which the stop waits anyway.
//  2. The instance announces to the fleet that it is draining. The backend proxy refuses
//     new requests, the port for callers closes, and both wait for their requests in
//     flight. These need leases, order records and the fleet port, which therefore remain
//     in use.
//  3. The instance hands over order outcomes, shard leases, the last summary for the
//     report and, on the leader, the leadership of the replicated log; see handOver.
//  4. The instance leaves the membership and closes the fleet port.
func (n *Node) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Limits.DrainTimeout())
	defer cancel()
	n.logger.Info("instance stopping, waiting for requests in flight")
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
		return errors.Wrap(err, "stop the instance")
	}
	n.logger.Info("instance stopped, all requests in flight completed", "traffic", trafficByPath(n.endpoint.CallTraffic()))
	return nil
}

// trafficByPath holds the number and the size of the calls to other instances by path.
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

// waitStopDelay waits for the stop delay, in which load balancers learn that the instance
// is not ready. It returns early if ctx ends.
func (n *Node) waitStopDelay(ctx context.Context) {
	timer := time.NewTimer(n.settings.Limits.StopDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// handOver sends the outcomes of orders to their replicas, hands the shard leases over,
// sends the last summary for the report and, on the leader, hands over the leadership
// of the replicated log. The fleet recovers from a step that fails or times out as it
// does from a crash.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), n.handoverTimeout())
	defer cancel()
	if err := n.orders.Drain(ctx); err != nil {
		n.logger.Warn("sending order outcomes to their replicas failed", "error", err)
	}
	if err := n.quota.HandOver(ctx); err != nil {
		n.logger.Warn("handing over shard leases failed", "error", err)
	}
	if err := n.supervisor.RemoveAndWait(n.reportSenderToken, n.handoverTimeout()); err == nil {
		n.reportSender.SendFinal(ctx)
	}
	if n.control == nil {
		return
	}
	if err := n.supervisor.RemoveAndWait(n.controlToken, n.handoverTimeout()); err != nil {
		n.logger.Warn("handing over the leadership of the replicated log failed", "error", err)
	}
}
