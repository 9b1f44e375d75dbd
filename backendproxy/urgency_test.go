package backendproxy

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// A missing or invalid urgency header results in the lowest urgency.
func TestParseUrgencyDefaultsToLeastUrgent(t *testing.T) {
	header := make(http.Header)
	must.Eq(t, fleetconfig.LeastUrgent, parseUrgency(header))
	for text, expected := range map[string]fleetconfig.Urgency{
		"17": 17, "": fleetconfig.LeastUrgent, "-1": fleetconfig.LeastUrgent, "18446744073709551616": fleetconfig.LeastUrgent,
	} {
		header.Set(pipeline.HeaderUrgency, text)
		must.Eq(t, expected, parseUrgency(header))
	}
}
