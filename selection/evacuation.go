package selection

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
)

const (
	// learnedEvacuationRetention is how long an evacuation that a backend proxy has reported
	// holds without a newer configuration here. It bounds the attempts that an ingress with an
	// older configuration wastes, to one in this time for each service and domain.
	learnedEvacuationRetention = time.Second
	// returnWeight is the weight of a backend server of a domain whose evacuation has just
	// ended, until its proxy reports one. A slow start begins at the same weight.
	returnWeight = 0.1
)

// learnedEvacuations are evacuations that this ingress has learned of from a backend proxy
// with a newer configuration.
type learnedEvacuations struct {
	// version is the configuration version of this ingress at that time. A newer one decides
	// for itself.
	version uint64
	until   time.Time
	// domains are all domains that were evacuated then, in ascending order.
	domains []fleetconfig.FailureDomain
}

// evacuatedDomains returns the failure domains to which no request may be sent, in ascending
// order. The caller must not change the slice.
func (s *Selector) evacuatedDomains(now time.Time) []fleetconfig.FailureDomain {
	view := s.config.View()
	if learned := s.learned.Load(); learned != nil && learned.version == view.Version() && now.Before(learned.until) {
		return learned.domains
	}
	return view.Document().EvacuatedDomains
}

// learnEvacuation records that a backend proxy has refused a request because its failure domain
// is evacuated. The proxies of the domain's other servers would refuse it, too.
func (s *Selector) learnEvacuation(domain fleetconfig.FailureDomain, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	domains := s.evacuatedDomains(now)
	if at, found := slices.BinarySearch(domains, domain); !found {
		domains = slices.Insert(slices.Clone(domains), at, domain)
	}
	s.learned.Store(&learnedEvacuations{version: s.config.View().Version(), until: now.Add(learnedEvacuationRetention), domains: domains})
}

// inDomains reports whether a backend server is in one of the failure domains, which must be in
// ascending order.
func inDomains(hosted gossip.HostedServer, domains []fleetconfig.FailureDomain) bool {
	_, found := slices.BinarySearch(domains, hosted.Member.Record.FailureDomain)
	return found
}

// serversInService returns the backend servers of a service outside the evacuated domains.
func serversInService(snapshot *gossip.Snapshot, name fleetconfig.ServiceName, evacuated []fleetconfig.FailureDomain) []gossip.HostedServer {
	hosted := snapshot.Servers(name)
	if len(evacuated) == 0 {
		return hosted
	}
	var inService []gossip.HostedServer
	for _, server := range hosted {
		if !inDomains(server, evacuated) {
			inService = append(inService, server)
		}
	}
	return inService
}
