package backendproxy

import (
	"net/http"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// keyCheck judges the key id of a request by this instance's own configuration. It
// is asked when the request arrives and again right before it is dispatched, so
// that no wait in between lengthens the life of a withdrawn key. An instance that
// is cut off and does not know of the withdrawal is bounded by the time until which
// the ingress vouches for the key, see Exchange.DispatchBy.
type keyCheck struct {
	view func() *fleetconfig.View
}

// check returns a refusal when the request's key is withdrawn. An instance whose
// configuration is older than the ingress's leaves the judgement to the ingress: the
// key may be new.
func (c *keyCheck) check(exchange *pipeline.Exchange) error {
	view := c.view()
	if exchange.KeyID == "" || view.Version() < exchange.ConfigurationVersion {
		return nil
	}
	key := view.KeyByID(exchange.KeyID)
	if key == nil || key.Account != exchange.Account {
		return pipeline.NewNotRunRefusal(pipeline.KindKeyRejected, http.StatusUnauthorized,
			"the key was withdrawn", "ask the operator for a new key", retryElsewhere)
	}
	return nil
}
