package node

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/ejection"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/internal/freeze"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/metrics"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/pki"
	"github.com/hemlockring/hemlockring/selection"
	"github.com/hemlockring/hemlockring/settings"
	"github.com/hemlockring/hemlockring/transport"
)

// Node is one instance of the fleet.
type Node struct {
	settings      *settings.Settings
	logger        *slog.Logger
	metrics       *metrics.Metrics
	freeze        *freeze.Detector
	endpoint      *transport.Endpoint
	fleetMux      *http.ServeMux
	members       *gossip.Service
	registry      *backendproxy.Registry
	ejection      *ejection.Service
	backendProxy  *backendproxy.Proxy
	ingress       *ingress.Proxy
	configuration ingress.Configuration
	supervisor    *suture.Supervisor
	callers       *httpPort
	local         *httpPort
}

// New opens the ports of an instance. Nothing is served before Run.
func New(settings *settings.Settings, configuration ingress.Configuration, logger *slog.Logger) (*Node, error) {
	node := &Node{
		settings:      settings,
		logger:        logger.With("instance", string(settings.Instance.ID)),
		freeze:        freeze.NewDetector(),
		fleetMux:      http.NewServeMux(),
		configuration: configuration,
		metrics:       metrics.New(settings.Instance.ID, settings.Instance.FailureDomain),
	}
	node.supervisor = newSupervisor(node.logger)
	if err := node.openFleetPort(); err != nil {
		return nil, err
	}
	node.buildChains()
	if err := node.openHTTPPorts(); err != nil {
		node.endpoint.Close()
		return nil, err
	}
	node.addServices()
	return node, nil
}

func (n *Node) openFleetPort() error {
	identity, err := pki.LoadIdentity(n.settings.Fleet.Certificate, n.settings.Fleet.Key, n.settings.Fleet.Authority)
	if err != nil {
		return err
	}
	gossipKey, err := pki.LoadGossipKey(n.settings.Fleet.GossipKey)
	if err != nil {
		return err
	}
	n.endpoint, err = transport.Listen(transport.EndpointConfig{
		Address:  cmp.Or(n.settings.Fleet.Listen, n.settings.Fleet.Address),
		Identity: identity,
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
	return nil
}

func (n *Node) newMembership() *membership.State {
	now := time.Now()
	self := membership.Record{
		ID:            n.settings.Instance.ID,
		Incarnation:   uint64(now.UnixMicro()),
		Address:       n.settings.Fleet.Address,
		FailureDomain: n.settings.Instance.FailureDomain,
		Region:        n.settings.Instance.Region,
		Control:       n.settings.Instance.HasRole(settings.RoleControl),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return membership.New(membership.Config{}, self, n.settings.Fleet.Join, random, now)
}

// serveFleet tells forwarded requests of callers from the fleet's own calls. Only
// ingresses set the header, and only instances of the fleet reach this port.
func (n *Node) serveFleet(w http.ResponseWriter, request *http.Request) {
	if request.Header.Get(pipeline.HeaderBackendServer) != "" {
		n.backendProxy.ServeHTTP(w, request)
		return
	}
	n.fleetMux.ServeHTTP(w, request)
}

func (n *Node) buildChains() {
	n.ejection = ejection.New(ejection.Config{
		Self:          n.settings.Instance.ID,
		Shards:        noShards{},
		Caller:        n.endpoint,
		View:          n.configuration.View,
		OnStateChange: n.serverStateChanged,
		Logger:        n.logger,
	}, n.fleetMux)
	n.registry = backendproxy.NewRegistry(func(servers []membership.Server) {
		n.ejection.SetServers(servers)
		n.members.SetServers(servers)
	})
	n.backendProxy = backendproxy.New(backendproxy.Config{
		Registry: n.registry,
		View:     n.configuration.View,
		Freeze:   n.freeze,
		Watch:    n.ejection,
	})
	n.ingress = ingress.New(ingress.Config{
		KeyHeader:     n.settings.Callers.KeyHeader,
		Configuration: n.configuration,
		Freeze:        n.freeze,
		Remote:        n.endpoint,
		Local:         n.backendProxy,
		Selector:      selection.New(n.members.Snapshot),
		Retry:         unlimitedRetries{},
		Recorder:      n.metrics,
		Logger:        n.logger,
	})
}

// noShards stands in until the shard groups are there.
type noShards struct{}

// ServiceOwner implements ejection.Shards.
func (noShards) ServiceOwner(fleetconfig.ServiceName) string { return "" }

// HoldsService implements ejection.Shards.
func (noShards) HoldsService(fleetconfig.ServiceName, time.Time) (uint64, bool) { return 0, false }

// serverStateChanged tells the fleet which backend servers are ejected.
func (n *Node) serverStateChanged(server fleetconfig.BackendServerID, _, to health.State) {
	n.registry.SetEjected(server, to == health.StateEjected)
}

// unlimitedRetries permits every retry that the outcome permits.
type unlimitedRetries struct{}

// MayRetry implements ingress.RetryPolicy.
func (unlimitedRetries) MayRetry(*pipeline.Exchange) bool { return true }

func (n *Node) openHTTPPorts() error {
	var err error
	if n.settings.Instance.HasRole(settings.RoleProxy) {
		n.callers, err = openCallerPort(&n.settings.Callers, n.ingress, n.logger)
		if err != nil {
			return err
		}
	}
	n.local, err = openLocalPort(n.settings.Local.Address, n.localMux(), n.logger)
	if err != nil && n.callers != nil {
		n.callers.close()
	}
	return err
}

func (n *Node) addServices() {
	n.supervisor.Add(n.freeze)
	n.supervisor.Add(n.endpoint)
	n.supervisor.Add(n.members)
	n.supervisor.Add(n.registry)
	n.supervisor.Add(n.ejection)
	n.supervisor.Add(n.local)
	if n.callers != nil {
		n.supervisor.Add(n.callers)
	}
}

// Run serves until ctx ends, then stops without cutting off a request in flight.
// It returns an error when requests were still running after the stop timeout.
func (n *Node) Run(ctx context.Context) error {
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	ended := n.supervisor.ServeBackground(serving)
	n.logger.Info("instance serves", "fleet", n.settings.Fleet.Address, "callers", n.settings.Callers.Address)
	var err error
	select {
	case <-ctx.Done():
		err = n.stop()
	case err = <-ended:
		err = errors.Wrap(err, "the supervisor gave up; look at the log for the service that failed")
	}
	stopServing()
	n.endpoint.Close()
	return errors.CombineErrors(err, n.metrics.Close())
}
