package backendproxy

import (
	"net/http"
	"sync/atomic"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// evacuationFilter refuses requests while the failure domain of this instance is evacuated, so
// that an ingress with an older configuration sends them elsewhere. It is called when the
// request arrives and again right before it is dispatched. A request from an ingress with a
// newer configuration is accepted: that ingress does not send it if the domain is still
// evacuated.
type evacuationFilter struct {
	view   func() *fleetconfig.View
	domain fleetconfig.FailureDomain
	// refusals counts the refused requests.
	refusals atomic.Uint64
}

func (*evacuationFilter) Name() string { return "evacuation" }

func (f *evacuationFilter) Request(exchange *pipeline.Exchange) error {
	view := f.view()
	if !view.Evacuated(f.domain) || view.Version() < exchange.ConfigurationVersion {
		return nil
	}
	f.refusals.Add(1)
	return pipeline.NewNotRunRefusal(pipeline.KindEvacuated, http.StatusServiceUnavailable,
		"the failure domain of the backend server is evacuated", "retry the request; a backend server in another failure domain can run it",
		retryElsewhere)
}
