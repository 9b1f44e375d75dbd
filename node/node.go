package node

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/configsync"
	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/ejection"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/internal/processpause"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/metrics"
	"github.com/hemlockring/hemlockring/orders"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/pki"
	"github.com/hemlockring/hemlockring/quarantine"
	"github.com/hemlockring/hemlockring/quarantinedriver"
	"github.com/hemlockring/hemlockring/quota"
	"github.com/hemlockring/hemlockring/quotadriver"
	"github.com/hemlockring/hemlockring/report"
	"github.com/hemlockring/hemlockring/retry"
	"github.com/hemlockring/hemlockring/selection"
	"github.com/hemlockring/hemlockring/serverexit"
	"github.com/hemlockring/hemlockring/settings"
	"github.com/hemlockring/hemlockring/shard"
	"github.com/hemlockring/hemlockring/shardkeeper"
	"github.com/hemlockring/hemlockring/throttle"
	"github.com/hemlockring/hemlockring/transport"
)

// Node is one instance of the fleet. Fields for control stay nil on instances without
// the role control.
type Node struct {
	settings          *settings.Settings
	options           Options
	logger            *slog.Logger
	metrics           *metrics.Metrics
	pauseDetector     *processpause.Detector
	endpoint          *transport.Endpoint
	fleetMux          *http.ServeMux
	fingerprintKey    quarantine.Key
	members           *gossip.Service
	registry          *backendproxy.Registry
	exits             *serverexit.Keeper
	ejection          *ejection.Service
	quarantine        *quarantinedriver.Service
	control           *control.Node
	replica           *configsync.Replica
	configSync        *configsync.Service
	forwarder         *configsync.Forwarder
	sourceReader      *configsync.SourceReader
	shardReconciler   *shardkeeper.Reconciler
	collector         *report.Collector
	reportSender      *report.Sender
	report            *report.Service
	controlToken      suture.ServiceToken
	reportSenderToken suture.ServiceToken
	quota             *quotadriver.Service
	orders            *orders.Service
	backendProxy      *backendproxy.Proxy
	ingress           *ingress.Proxy
	configuration     ingress.Configuration
	supervisor        *suture.Supervisor
	callerPort        *httpPort
	localPort         *httpPort
	adminPort         *httpPort
	extraPorts        []*httpPort
	// incarnation tells this process from earlier ones of the instance; it started at startedAt.
	incarnation uint64
	startedAt   time.Time
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
}

// Options replace or add parts of a node. The zero value changes nothing.
type Options struct {
	// Configuration replaces the configuration that the fleet shares.
	Configuration ingress.Configuration
	// LeaseTiming replaces the lease timing that follows from the setting shard_lease.
	LeaseTiming shard.Timing
	// Presentation determines the headers and error bodies that callers see. The
	// default is ingress.ProblemDocuments.
	Presentation ingress.Presentation
	// Dialect determines the headers that are exchanged with backend servers. The
	// default is backendproxy.DefaultDialect.
	Dialect backendproxy.Dialect
	// Ports are opened in addition to those of the settings.
	Ports []Port
}

// Port is an additional TCP port on which a platform adapter serves HTTP. A platform
// adapter adds the interfaces that a hosting platform expects; see package platform.
type Port struct {
	// Address is the IP address and TCP port to listen on.
	Address string
	// Handler returns the handler of the port. It is called once, by New.
	Handler func(node *Node) http.Handler
}

// New creates an instance and opens its ports. It serves nothing until Run.
func New(settings *settings.Settings, options Options, logger *slog.Logger) (*Node, error) {
	startedAt := clock.Now()
	node := &Node{
		incarnation:   uint64(startedAt.UnixMicro()),
		startedAt:     startedAt,
		options:       options,
		settings:      settings,
		logger:        logger.With("instance", string(settings.Instance.ID)),
		pauseDetector: processpause.NewDetector(),
		fleetMux:      http.NewServeMux(),
		configuration: options.Configuration,
		metrics:       metrics.New(settings.Instance.ID, settings.Instance.FailureDomain),
	}
	node.supervisor = newSupervisor(node.logger)
	if err := node.openFleetPort(); err != nil {
		return nil, err
	}
	if err := node.buildConfiguration(); err != nil {
		node.endpoint.Close()
		return nil, err
	}
	if err := node.buildReport(); err != nil {
		node.endpoint.Close()
		return nil, err
	}
	if err := node.buildSharedState(); err != nil {
		node.endpoint.Close()
		return nil, err
	}
	node.buildChains()
	node.buildShardReconciler()
	if err := node.openHTTPPorts(); err != nil {
		node.endpoint.Close()
		return nil, err
	}
	node.addServices()
	return node, nil
}

func (n *Node) openFleetPort() error {
	identity, gossipKey, err := n.fleetIdentity()
	if err != nil {
		return err
	}
	n.fingerprintKey = quarantine.DeriveKey(gossipKey)
	n.endpoint, err = transport.Listen(transport.EndpointConfig{
		Address:  cmp.Or(n.settings.Fleet.Listen, n.settings.Fleet.Address),
		ID:       n.settings.Instance.ID,
		Identity: identity,
		IsFar:    n.isFar,
		Handler:  http.HandlerFunc(n.serveFleet),
		Logger:   n.logger,
	})
	if err != nil {
		return err
	}
	datagrams, err := transport.NewDatagrams(n.endpoint, gossipKey)
	if err != nil {
		return err
	}
	n.members = gossip.New(n.newMembership(), datagrams, n.endpoint, n.fleetMux, n.logger)
	n.registerTrafficMetrics()
	return nil
}

// fleetIdentity returns the certificates of the fleet port and the key of the gossip
// datagrams. The identity is nil with TrustNetwork.
func (n *Node) fleetIdentity() (identity *pki.Identity, gossipKey []byte, err error) {
	fleet := &n.settings.Fleet
	if fleet.Trust == settings.TrustNetwork {
		return nil, pki.TrustedNetworkGossipKey(), nil
	}
	identity, err = pki.LoadIdentity(fleet.Certificate, fleet.Key, fleet.Authority)
	if err != nil {
		return nil, nil, err
	}
	gossipKey, err = pki.LoadGossipKey(fleet.GossipKey)
	return identity, gossipKey, err
}

func (n *Node) newMembership() *membership.State {
	self := membership.Record{
		ID:            n.settings.Instance.ID,
		Incarnation:   n.incarnation,
		Address:       n.settings.Fleet.Address,
		FailureDomain: n.settings.Instance.FailureDomain,
		Region:        n.settings.Instance.Region,
		Control:       n.settings.Instance.HasRole(settings.RoleControl),
		Proxy:         n.settings.Instance.HasRole(settings.RoleProxy),
		LinkMbps:      n.settings.Fleet.LinkMbps,
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return membership.New(membership.Config{}, self, n.settings.Fleet.Join, random, n.startedAt)
}

// serveFleet distinguishes requests that an ingress forwards from the fleet's internal
// calls by the header HeaderBackendServer. The header can be trusted: only ingresses set
// it, and only instances of the fleet can reach this port.
func (n *Node) serveFleet(w http.ResponseWriter, request *http.Request) {
	if request.Header.Get(pipeline.HeaderBackendServer) != "" {
		n.backendProxy.ServeHTTP(w, request)
		return
	}
	n.fleetMux.ServeHTTP(w, request)
}

// buildChains creates the backend proxy and the ingress with their filter chains and the
// services that these use.
func (n *Node) buildChains() {
	n.ejection = ejection.New(ejection.Config{
		Self:          n.settings.Instance.ID,
		Shards:        n.quota,
		Caller:        n.endpoint,
		View:          n.configuration.View,
		FailureDomain: n.settings.Instance.FailureDomain,
		OnStateChange: n.handleServerStateChange,
		OnDetect:      n.recordDetection,
		Logger:        n.logger,
	}, n.fleetMux)
	n.registry = backendproxy.NewRegistry(func(servers []backendproxy.LocalServer) {
		n.ejection.SetServers(servers)
		n.members.SetServers(backendproxy.MembershipServers(servers))
	}, serverLimits{n.configuration, n.members})
	n.keepExits()
	n.quarantine = quarantinedriver.New(quarantinedriver.Config{
		Members:      n.members.Snapshot,
		Send:         n.members.SendPayload,
		OnQuarantine: n.recordQuarantine,
		Logger:       n.logger,
	})
	n.members.HandlePayloads(n.quarantine.HandleMessage)
	runs := backendproxy.NewRunTracker()
	selector := selection.New(selection.Config{Members: n.members.Snapshot, View: n.configuration.View})
	n.backendProxy = backendproxy.New(backendproxy.Config{
		Registry:       n.registry,
		View:           n.configuration.View,
		FailureDomain:  n.settings.Instance.FailureDomain,
		PauseDetector:  n.pauseDetector,
		HealthMonitor:  n.ejection,
		Clock:          quota.NewDispatchClock(n.incarnation, n.startedAt),
		Dialect:        n.options.Dialect,
		FingerprintKey: n.fingerprintKey,
		Quarantine:     n.quarantine,
		Runs:           runs,
		CallRoom:       selector.CallRoom,
		Logger:         n.logger,
	})
	n.registerBackendMetrics()
	n.registerQuarantineMetrics()
	quotaFilter := ingress.NewQuotaFilter(n.quota)
	quarantineFilter := ingress.NewQuarantineFilter(n.fingerprintKey, n.quarantine)
	orderFilter := &orders.Filter{Service: n.orders, MaxBodyBytes: orders.DefaultMaxBodyBytes}
	n.members.EnableLoadReports(n.loadsForReport(selector), selector.HandleLoadReports)
	watch := &membership.LoadWatch{}
	n.members.AnnounceLoads(func(loads []membership.ServerLoad) bool {
		return n.configuration.View().ActivePreset().AdmissionByRoom && watch.Observe(loads, clock.Now())
	})
	n.metrics.RegisterCounter("room_refusals", "Requests refused at once because no backend server was known to have room.", selector.RoomRefusals)
	retries := selection.NewRetryBudgets(n.logger)
	n.registerRetryMetrics(retries)
	n.ingress = ingress.New(ingress.Config{
		KeyHeader:        n.settings.Callers.KeyHeader,
		Configuration:    n.configuration,
		PauseDetector:    n.pauseDetector,
		AdmissionFilters: []pipeline.Filter{n.collector, quarantineFilter, quotaFilter, orderFilter},
		Guards:           []ingress.AttemptGuard{quarantineFilter, quotaFilter, orderFilter},
		Quarantine:       n.quarantine,
		Runs:             runs,
		Remote:           n.endpoint,
		Local:            n.backendProxy,
		Selector:         selector,
		Retry:            retries,
		Presentation:     n.options.Presentation,
		CallerService:    n.settings.Callers.Service,
		PeerClock:        n.members.PeerClock,
		Recorder:         recorders{metrics: n.metrics, collector: n.collector, requestLog: newRequestLog(n.logger)},
		CallerConnection: callerConnection,
		Logger:           n.logger,
	})
}

// loadsForReport returns a function that returns the loads of the backend servers beside this
// instance. With admission by room it also tells the selector, to which no instance reports
// them.
func (n *Node) loadsForReport(selector *selection.Selector) func() []membership.ServerLoad {
	return func() []membership.ServerLoad {
		loads := n.backendProxy.Loads()
		if n.configuration.View().ActivePreset().AdmissionByRoom {
			selector.HandleLoadReports(n.members.Snapshot().Self, loads)
		}
		return loads
	}
}

// serverLimits implements backendproxy.Limits by the configuration in force.
type serverLimits struct {
	configuration ingress.Configuration
	members       *gossip.Service
}

// QueueLength implements backendproxy.Limits.
func (l serverLimits) QueueLength() int {
	return int(l.configuration.View().ActivePreset().QueueLength)
}

// RateOverage implements backendproxy.Limits.
func (l serverLimits) RateOverage() float64 {
	const percent = 100
	return float64(l.configuration.View().ActivePreset().RateOveragePercent) / percent
}

// toleratedBacklog is the backlog of a backend server that is left to be worked off: as much
// as a burst leaves in the time after which a queue may count as overloaded.
const toleratedBacklog = time.Second

// ToleratedBacklog implements backendproxy.Limits.
func (l serverLimits) ToleratedBacklog() time.Duration {
	if l.configuration.View().ActivePreset().AdmissionByRoom {
		return toleratedBacklog
	}
	return 0
}

// RepeatLimits implements backendproxy.Limits.
func (l serverLimits) RepeatLimits(service fleetconfig.ServiceName) (retry.RepeatLimits, bool) {
	return retry.RepeatLimitsOf(l.configuration.View().ActivePreset(), len(l.members.Snapshot().Servers(service)))
}

// ColdLimit implements backendproxy.Limits.
func (l serverLimits) ColdLimit(name fleetconfig.ServiceName) throttle.ColdLimit {
	view := l.configuration.View()
	service := view.Service(name)
	if service == nil {
		return throttle.ColdLimit{}
	}
	preset := view.ActivePreset()
	return throttle.ColdLimit{
		PerSecond: service.ColdRate,
		Bound:     service.ColdRate*max(1, preset.ColdOverage) + float64(preset.ColdSlack),
		Start:     service.ColdStart,
	}
}

// MaxConnections implements backendproxy.Limits.
func (l serverLimits) MaxConnections(name fleetconfig.ServiceName) uint32 {
	if service := l.configuration.View().Service(name); service != nil {
		return service.MaxConnections
	}
	return 0
}

// handleServerStateChange announces to the fleet whether a backend server is ejected,
// and adds the change to the report.
func (n *Node) handleServerStateChange(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, from, to health.EjectionState) {
	n.registry.SetEjected(server, to == health.StateEjected)
	n.recordServerStateChange(service, server, from, to)
}

func (n *Node) openHTTPPorts() error {
	var err error
	if n.settings.Instance.HasRole(settings.RoleProxy) {
		limits := func() fleetconfig.CallerLimits { return n.configuration.View().Document().CallerLimits }
		n.callerPort, err = openCallerPort(&n.settings.Callers, n.ingress, limits, n.logger)
		if err != nil {
			return err
		}
	}
	n.localPort, err = openPort(n.settings.Local.Address, n.localHandler(), n.logger)
	if err == nil && n.settings.Admin.Address != "" {
		err = n.openAdminPort(n.replica)
	}
	for _, port := range n.options.Ports {
		if err != nil {
			break
		}
		var opened *httpPort
		if opened, err = openPort(port.Address, port.Handler(n), n.logger); err == nil {
			n.extraPorts = append(n.extraPorts, opened)
		}
	}
	if err != nil {
		n.closePorts()
	}
	return err
}

func (n *Node) closePorts() {
	for _, port := range append([]*httpPort{n.callerPort, n.localPort, n.adminPort}, n.extraPorts...) {
		if port != nil {
			port.close()
		}
	}
}

// addServices hands the services to the supervisor, which runs each in a goroutine of
// its own and restarts it after a failure.
func (n *Node) addServices() {
	n.supervisor.Add(n.pauseDetector)
	n.supervisor.Add(n.endpoint)
	n.supervisor.Add(n.members)
	n.supervisor.Add(n.registry)
	n.supervisor.Add(n.exits)
	n.supervisor.Add(n.ejection)
	n.supervisor.Add(n.quarantine)
	if n.control != nil {
		n.controlToken = n.supervisor.Add(n.control)
	}
	if n.configSync != nil {
		n.supervisor.Add(n.configSync)
	}
	if n.shardReconciler != nil {
		n.supervisor.Add(n.shardReconciler)
	}
	n.reportSenderToken = n.supervisor.Add(n.reportSender)
	n.supervisor.Add(n.quota)
	n.supervisor.Add(n.orders)
	n.supervisor.Add(n.localPort)
	for _, port := range append([]*httpPort{n.callerPort, n.adminPort}, n.extraPorts...) {
		if port != nil {
			n.supervisor.Add(port)
		}
	}
}

// Run runs the services until ctx is cancelled, then stops the instance once the
// requests in flight are complete. It returns an error if requests were still running
// at the end of settings.Limits.DrainTimeout, or if a service ended the supervisor with
// an error that a restart cannot repair.
func (n *Node) Run(ctx context.Context) error {
	servicesCtx, stopServices := context.WithCancel(context.Background())
	defer stopServices()
	supervisorEnded := n.supervisor.ServeBackground(servicesCtx)
	n.logger.Info("instance started", "fleet", n.settings.Fleet.Address, "callers", n.settings.Callers.Address)
	var err error
	select {
	case <-ctx.Done():
		err = n.stop()
	case err = <-supervisorEnded:
		err = errors.Wrap(err, "a service failed and cannot be restarted; see the log for the service that failed")
	}
	stopServices()
	n.endpoint.Close()
	return errors.CombineErrors(err, n.metrics.Close())
}
