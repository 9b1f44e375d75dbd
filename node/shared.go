package node

import (
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/orders"
	"github.com/hemlockring/hemlockring/quotadriver"
	"github.com/hemlockring/hemlockring/settings"
	"github.com/hemlockring/hemlockring/shard"
	"github.com/hemlockring/hemlockring/storage"
)

// maxOrderBytes is the maximum size of the order records of an instance.
const maxOrderBytes = 32 << 20

// buildSharedState creates the services for the state that is divided into shards and
// replicated among instances: quota and order records.
func (n *Node) buildSharedState() error {
	latch := &currencyLatch{configuration: n.configuration}
	var err error
	n.quota, err = quotadriver.New(quotadriver.Config{
		Self:         n.selfAddress(),
		Caller:       n.endpoint,
		View:         n.configuration.View,
		MapRead:      latch.hasBeenCurrent,
		Timing:       n.leaseTiming(),
		ControlOwner: n.quotaControl(),
		Logger:       n.logger,
	})
	if err != nil {
		return err
	}
	n.quota.Register(n.fleetMux)
	config := orders.Config{
		Self:        n.settings.Instance.ID,
		Idempotency: idempotency.DefaultConfig(),
		MaxBytes:    maxOrderBytes,
		ShardMap:    latch.shardMap,
		Logger:      n.logger,
	}
	if n.settings.Instance.HasRole(settings.RoleControl) {
		config.Journal, err = storage.OpenJournal(storage.OSFS{}, filepath.Join(n.settings.Instance.DataFolder, ordersFolder))
		if err != nil {
			return err
		}
	}
	n.orders, err = orders.New(config, n.endpoint, n.fleetMux)
	return err
}

// quotaControl returns the quota owner for a control group that forms itself, where the
// leader of the control instances owns all quota. It returns nil if the proxies own the
// quota.
func (n *Node) quotaControl() *quotadriver.ControlOwner {
	if !n.settings.Control.SelfForming() {
		return nil
	}
	controlOwner := &quotadriver.ControlOwner{Instances: n.controlHosts}
	if n.control != nil {
		controlOwner.Leadership = controlLeader{n.control}
	}
	return controlOwner
}

// controlHosts returns the control instances that are not known to be dead or to have
// left.
func (n *Node) controlHosts() []fleetconfig.InstanceAddress {
	return n.members.Snapshot().ControlInstances
}

// controlLeader adapts control.Node to quotadriver.Leadership.
type controlLeader struct{ node *control.Node }

// LeaderTerm implements quotadriver.Leadership.
func (l controlLeader) LeaderTerm() (term uint64, certain bool) { return l.node.LeaderTerm() }

// KnownLeader implements quotadriver.Leadership.
func (l controlLeader) KnownLeader() fleetconfig.InstanceAddress {
	id, address, _ := l.node.Leader()
	return fleetconfig.InstanceAddress{ID: id, Address: address}
}

// leaseTiming returns the timing of shard leases: that of the options, or else the one
// derived from the setting shard_lease.
func (n *Node) leaseTiming() shard.Timing {
	if n.options.LeaseTiming != (shard.Timing{}) {
		return n.options.LeaseTiming
	}
	return shard.TimingOf(n.settings.Control.ShardLease)
}

func (n *Node) selfAddress() fleetconfig.InstanceAddress {
	return fleetconfig.InstanceAddress{
		ID:            n.settings.Instance.ID,
		Address:       n.settings.Fleet.Address,
		FailureDomain: n.settings.Instance.FailureDomain,
	}
}

// configurationCurrency is the part of the configuration that currencyLatch uses.
type configurationCurrency interface {
	View() *fleetconfig.View
	Current(now time.Time) (current bool, retryAfter time.Duration)
}

// currencyLatch records whether the configuration has been current at any time since
// the process started. Before that, an outdated shard map could be mistaken for the
// latest one.
type currencyLatch struct {
	configuration configurationCurrency
	wasCurrent    atomic.Bool
}

// hasBeenCurrent reports whether the configuration is current or has been before.
func (l *currencyLatch) hasBeenCurrent() bool {
	if l.wasCurrent.Load() {
		return true
	}
	current, _ := l.configuration.Current(clock.Now())
	if current && l.configuration.View().Version() > 0 {
		l.wasCurrent.Store(true)
	}
	return l.wasCurrent.Load()
}

// shardMap returns the shard map, or an empty map if the configuration has not been
// current yet.
func (l *currencyLatch) shardMap() fleetconfig.ShardMap {
	if !l.hasBeenCurrent() {
		return fleetconfig.ShardMap{}
	}
	return l.configuration.View().Document().Shards
}
