package backendproxy

import (
	"net/http"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// keyChecker checks the key of a request against this instance's own configuration. It
// is called when the request arrives and again right before it is dispatched, so that a
// key that is withdrawn while the request waits for a slot is rejected. A partitioned
// instance may not have learned of a withdrawal. Its keyChecker then accepts the key, but
// no later than Exchange.DispatchBy, and that is no later than the time until which the
// ingress has confirmed the key.
type keyChecker struct {
	view func() *fleetconfig.View
}

// check returns a refusal when the request's key has been withdrawn or belongs to another
// account. It accepts a request without a key. When this instance's configuration is older
// than the one that the ingress used, check accepts the key, since the key may have been
// added after the version that this instance has.
func (c *keyChecker) check(exchange *pipeline.Exchange) error {
	view := c.view()
	if exchange.KeyID == "" || view.Version() < exchange.ConfigurationVersion {
		return nil
	}
	key := view.KeyByID(exchange.KeyID)
	if key == nil || key.Account != exchange.Account {
		return pipeline.NewNotRunRefusal(pipeline.KindKeyRejected, http.StatusUnauthorized,
			"the key has been withdrawn", "ask the operator for a new key", retryElsewhere)
	}
	return nil
}
