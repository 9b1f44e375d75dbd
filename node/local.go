package node

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strconv"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/selection"
)

// readiness is the body of the reply to GET /readyz.
type readiness struct {
	Ready                bool   `json:"ready"`
	ConfigurationVersion uint64 `json:"configuration_version"`
	// ConfigurationCurrent reports whether the configuration is current, as package
	// currency defines it.
	ConfigurationCurrent bool   `json:"configuration_current"`
	Members              int    `json:"members"`
	Reason               string `json:"reason,omitempty"`
	ShardEpoch           uint64 `json:"shard_epoch"`
	Shards               int    `json:"shards"`
	// OwnedShards is the number of shards that this instance owns now.
	OwnedShards    int `json:"held_shards"`
	BackendServers int `json:"backend_servers"`
	Ejected        int `json:"ejected"`
	// LimitedServers is the number of known backend servers that advertise a rate.
	LimitedServers  int    `json:"limited_servers"`
	SentBytes       uint64 `json:"fleet_sent_bytes"`
	SentPackets     uint64 `json:"fleet_sent_packets"`
	ReceivedBytes   uint64 `json:"fleet_received_bytes"`
	ReceivedPackets uint64 `json:"fleet_received_packets"`
	// Quarantined is the number of requests that are refused because they have crashed
	// backend servers.
	Quarantined int `json:"quarantined"`
	// Retries and RepeatedCalls count the repeats that the backend servers beside this
	// instance received since it started, RepeatRefusals those that were refused.
	Retries        uint64 `json:"retries"`
	RepeatedCalls  uint64 `json:"repeated_calls"`
	RepeatRefusals uint64 `json:"repeat_refusals"`
	// RepeatCredit is how many repeats they may receive now.
	RepeatCredit float64 `json:"repeat_credit"`
	// IndirectOnly is the number of members that this instance reaches only through
	// other members.
	IndirectOnly int `json:"indirect_only"`
	// IsLeader reports whether this instance is the leader of the control instances.
	IsLeader bool `json:"leads"`
}

// localHandler returns the handler of the local port: announcements of backend servers,
// metrics, health checks and profiles.
func (n *Node) localHandler() http.Handler {
	mux := http.NewServeMux()
	n.registry.RegisterHandlers(mux)
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", n.handleReady)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

// registerBackendMetrics registers the metrics of the backend servers beside this
// instance.
func (n *Node) registerBackendMetrics() {
	n.metrics.RegisterCounter("backend_requests_sent", "Requests for which a slot of a backend server was assigned.", func() uint64 {
		return n.backendProxy.Statistics().Sent
	})
	n.metrics.RegisterCounter("backend_rate_refusals", "Requests refused because a backend server advertises a rate.", func() uint64 {
		return n.backendProxy.Statistics().RateRefusals
	})
	n.metrics.RegisterCounter("backend_invalid_rates", "Responses of backend servers that advertise a rate that can not be read.", func() uint64 {
		return n.backendProxy.Statistics().InvalidRates
	})
	n.metrics.RegisterCounter("backend_leaving_servers", "Backend servers whose responses stated that they are leaving.", func() uint64 {
		return n.backendProxy.Statistics().LeavingServers
	})
	n.metrics.RegisterCounter("backend_retries", "Further attempts of requests, sent to backend servers beside this instance.", func() uint64 {
		return n.backendProxy.Statistics().Retries
	})
	n.metrics.RegisterCounter("backend_repeated_calls", "Requests of repeated runs, sent to backend servers beside this instance.", func() uint64 {
		return n.backendProxy.Statistics().RepeatedCalls
	})
	n.metrics.RegisterCounter("backend_repeat_refusals", "Requests refused because a backend server may receive no more repeats now.", func() uint64 {
		return n.backendProxy.Statistics().RepeatRefusals
	})
	n.metrics.RegisterGauge("backend_repeat_credit", "Repeats that the backend servers beside this instance may receive now.", n.registry.RepeatCredit)
	n.metrics.RegisterCounter("backend_evacuation_refusals", "Requests refused because the failure domain of this instance is evacuated.", func() uint64 {
		return n.backendProxy.Statistics().EvacuationRefusals
	})
	n.metrics.RegisterCounter("backend_call_room_refusals", "Requests refused because a service that their run would call has no room.", func() uint64 {
		return n.backendProxy.Statistics().CallRefusals
	})
	n.metrics.RegisterGauge("evacuated", "1 while the failure domain of this instance is evacuated, otherwise 0.", func() float64 {
		if n.configuration.View().Evacuated(n.settings.Instance.FailureDomain) {
			return 1
		}
		return 0
	})
	n.metrics.RegisterGauge("evacuated_domains", "Failure domains that are evacuated according to the configuration of this instance.", func() float64 {
		return float64(len(n.configuration.View().Document().EvacuatedDomains))
	})
	n.metrics.RegisterGauge("backend_advertised_rate", "Sum of the rates that backend servers advertise, in requests per second.", func() float64 {
		sum, _ := n.registry.AdvertisedRate()
		return sum
	})
	n.metrics.RegisterGauge("backend_limited_servers", "Backend servers that advertise a rate.", func() float64 {
		_, limited := n.registry.AdvertisedRate()
		return float64(limited)
	})
	n.metrics.RegisterGauge("backend_cold_servers", "Backend servers that are cold and limited to the cold rate of their service.", func() float64 {
		return float64(n.registry.ColdServers())
	})
}

// registerRetryMetrics registers the metrics of the ingress's retry budgets.
func (n *Node) registerRetryMetrics(retries *selection.RetryBudgets) {
	n.metrics.RegisterCounter("ingress_retries", "Retries that the retry budgets of this ingress allowed.", func() uint64 {
		allowed, _ := retries.Statistics()
		return allowed
	})
	n.metrics.RegisterCounter("ingress_retries_refused", "Retries refused for want of budget, at this ingress or by backend proxies.", func() uint64 {
		_, refused := retries.Statistics()
		return refused
	})
}

// registerTrafficMetrics registers the byte counters of the fleet port.
func (n *Node) registerTrafficMetrics() {
	n.metrics.RegisterCounter("fleet_sent_bytes", "UDP payload bytes sent on the fleet port.", func() uint64 {
		return n.endpoint.Traffic().SentBytes
	})
	n.metrics.RegisterCounter("fleet_received_bytes", "UDP payload bytes received on the fleet port.", func() uint64 {
		return n.endpoint.Traffic().ReceivedBytes
	})
	n.metrics.RegisterCounters("fleet_kind_bytes", "Bytes of bodies and datagrams exchanged with other instances at the initiative of this one, by kind: request, datagram or the path of a call.",
		[]string{"kind", "direction", "far"}, func(add func(value uint64, labels ...string)) {
			for kind, traffic := range n.endpoint.TrafficByKind() {
				far := strconv.FormatBool(kind.Far)
				add(traffic.SentBytes, kind.Name, "sent", far)
				add(traffic.ReceivedBytes, kind.Name, "received", far)
			}
		})
}

// isFar reports whether the instance at an address is known to be in another failure domain.
func (n *Node) isFar(address string) bool {
	snapshot := n.members.Snapshot()
	for i := range snapshot.Members {
		if record := &snapshot.Members[i].Record; record.Address == address {
			return record.FailureDomain != n.settings.Instance.FailureDomain
		}
	}
	return false
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	snapshot := n.members.Snapshot()
	current, _ := n.configuration.Current(clock.Now())
	state := readiness{
		ConfigurationVersion: n.configuration.View().Version(),
		ConfigurationCurrent: current,
		Members:              len(snapshot.Members),
	}
	shards := &n.configuration.View().Document().Shards
	state.ShardEpoch = shards.Epoch
	state.Shards = len(shards.Shards)
	state.OwnedShards = n.quota.OwnedShards()
	state.BackendServers, state.Ejected, state.LimitedServers = snapshot.CountServers()
	traffic := n.endpoint.Traffic()
	state.SentBytes, state.SentPackets = traffic.SentBytes, traffic.SentPackets
	state.ReceivedBytes, state.ReceivedPackets = traffic.ReceivedBytes, traffic.ReceivedPackets
	state.Quarantined = n.quarantine.Statistics().Quarantined
	repeats := n.backendProxy.Statistics()
	state.Retries, state.RepeatedCalls, state.RepeatRefusals = repeats.Retries, repeats.RepeatedCalls, repeats.RepeatRefusals
	state.RepeatCredit = n.registry.RepeatCredit()
	state.IndirectOnly = snapshot.CountIndirectOnly()
	state.IsLeader = n.control != nil && n.control.IsLeader()
	switch {
	case n.stopping.Load():
		state.Reason = "the instance is stopping"
	case state.ConfigurationVersion == 0:
		state.Reason = "the instance has no configuration yet"
	default:
		state.Ready = true
	}
	w.Header().Set("Content-Type", "application/json")
	if !state.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(state)
}
