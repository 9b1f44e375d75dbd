package backendproxy

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// An instance that does not tell the urgency, or garbles it, gets the least one.
func TestUnreadableUrgencyIsTheLeast(t *testing.T) {
	header := make(http.Header)
	must.Eq(t, fleetconfig.LeastUrgent, readUrgency(header))
	for text, expected := range map[string]fleetconfig.Urgency{
		"17": 17, "": fleetconfig.LeastUrgent, "-1": fleetconfig.LeastUrgent, "18446744073709551616": fleetconfig.LeastUrgent,
	} {
		header.Set(pipeline.HeaderUrgency, text)
		must.Eq(t, expected, readUrgency(header))
	}
}
