package ingress

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// fixedConfiguration is a configuration that stays as it is.
type fixedConfiguration struct {
	Configuration
	view *fleetconfig.View
}

func (c fixedConfiguration) View() *fleetconfig.View { return c.view }

func limited(limits fleetconfig.CallerLimits) *limitFilter {
	return &limitFilter{configuration: fixedConfiguration{view: fleetconfig.NewView(&fleetconfig.Document{Version: 1, CallerLimits: limits})}}
}

// filtered passes a request through the filter and returns the status of its refusal,
// or 0.
func filtered(filter *limitFilter, request *http.Request) int {
	exchange := &pipeline.Exchange{Request: request, Writer: httptest.NewRecorder()}
	err := filter.Request(exchange)
	var refusal *pipeline.Refusal
	if errors.As(err, &refusal) {
		return refusal.Status
	}
	return 0
}

func TestCallersAreKeptWithinTheSizesInForce(t *testing.T) {
	const most = 300
	filter := limited(fleetconfig.CallerLimits{HeaderBytes: most, BodyBytes: 10})
	request := func(header, body string) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "http://a.example/x", strings.NewReader(body))
		r.Header.Set("X", header)
		return r
	}
	must.Zero(t, filtered(filter, request("", "0123456789")))
	must.Eq(t, http.StatusRequestEntityTooLarge, filtered(filter, request("", "0123456789a")))
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, filtered(filter, request(strings.Repeat("x", most), "")))
	must.Zero(t, filtered(limited(fleetconfig.CallerLimits{}), request(strings.Repeat("x", most), "0123456789a")))
}

func TestABodyOfUnknownLengthEndsAtTheLimit(t *testing.T) {
	filter := limited(fleetconfig.CallerLimits{BodyBytes: 10})
	request := httptest.NewRequest(http.MethodPost, "http://a.example/x", io.MultiReader(strings.NewReader("0123456789abc")))
	request.ContentLength = -1
	must.Zero(t, filtered(filter, request))
	read, err := io.ReadAll(request.Body)
	must.Error(t, err)
	must.Eq(t, "0123456789", string(read))
}
