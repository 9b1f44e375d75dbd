package node

import (
	"context"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/settings"
)

// Registry returns the registry of the backend servers on this instance's machine.
func (n *Node) Registry() *backendproxy.Registry { return n.registry }

// Ready reports whether the instance accepts callers' requests, and if not, the reason.
func (n *Node) Ready() (ready bool, reason string) {
	current, _ := n.configuration.Current(clock.Now())
	switch {
	case n.stopping.Load():
		return false, "the instance is stopping"
	case n.configuration.View().Version() == 0:
		return false, "the instance has no configuration yet"
	case !current:
		return false, "no attestation proves that the configuration is current"
	}
	return true, ""
}

// Reload applies the settings that can change while the instance is running, which are
// the addresses to join. It ignores all others.
func (n *Node) Reload(loaded *settings.Settings) {
	n.members.SetSeeds(loaded.Fleet.Join)
}

// Propose sends a command to the leader of the control instances; see
// configsync.Service.Propose. It must be called on control instances only.
func (n *Node) Propose(ctx context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error) {
	return n.forwarder.Propose(ctx, command)
}

// KnowsDomain reports whether an instance that this instance knows, dead ones included, is in
// the failure domain.
func (n *Node) KnowsDomain(domain fleetconfig.FailureDomain) bool {
	return slices.ContainsFunc(n.members.Snapshot().Members, func(member membership.Member) bool {
		return member.Record.FailureDomain == domain
	})
}

// Regions returns the regions of the instances that this instance knows, in ascending order.
func (n *Node) Regions() []string {
	var regions []string
	for _, member := range n.members.Snapshot().Members {
		regions = append(regions, member.Record.Region)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// MayBeDelayed reports whether a call that is handled now may have waited through a pause of
// the process.
func (n *Node) MayBeDelayed(now time.Time) bool { return n.pauseDetector.MayBeDelayed(now) }

// Source returns the text of the latest complete configuration that operators sent; see
// configsync.SourceReader. It must be called on control instances only.
func (n *Node) Source(ctx context.Context) ([]byte, error) {
	return n.sourceReader.Source(ctx)
}
