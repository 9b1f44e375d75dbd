package backendproxy

import (
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// keyCheck judges the key id of a request by this instance's own configuration.
// It is asked when the request arrives and again right before it is dispatched, so
// that no wait in between lengthens the life of a withdrawn key.
type keyCheck struct {
	view    func() *fleetconfig.View
	current func(now time.Time) (current bool, retryAfter time.Duration)
}

// check returns a refusal when the request's key is withdrawn, or when nobody
// vouches that this instance would know.
func (c *keyCheck) check(exchange *pipeline.Exchange, now time.Time) error {
	if exchange.KeyID == "" {
		return nil
	}
	if current, retryAfter := c.current(now); !current {
		return pipeline.NotRun(pipeline.KindNotCurrent, http.StatusServiceUnavailable,
			"the instance beside the backend server is cut off and can not tell whether the key is still valid",
			"send the request again", retryAfter)
	}
	key := c.view().KeyByID(exchange.KeyID)
	if key == nil || key.Account != exchange.Account {
		return pipeline.NotRun(pipeline.KindKeyRejected, http.StatusUnauthorized,
			"the key was withdrawn", "ask the operator for a new key", retryElsewhere)
	}
	return nil
}
