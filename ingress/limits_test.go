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

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct {
	Configuration
	view *fleetconfig.View
}

func (c fixedConfiguration) View() *fleetconfig.View { return c.view }

func newLimitFilter(limits fleetconfig.CallerLimits) *limitFilter {
	return &limitFilter{configuration: fixedConfiguration{view: fleetconfig.NewView(&fleetconfig.Document{Version: 1, CallerLimits: limits})}}
}

// refusalStatus passes a request through the filter and returns the status of the
// refusal, or 0 if there is none.
func refusalStatus(filter *limitFilter, request *http.Request) int {
	exchange := &pipeline.Exchange{Request: request, Writer: httptest.NewRecorder()}
	err := filter.Request(exchange)
	var refusal *pipeline.Refusal
	if errors.As(err, &refusal) {
		return refusal.Status
	}
	return 0
}

func TestLimitFilterRejectsOversizedRequests(t *testing.T) {
	const maxHeaderBytes = 300
	filter := newLimitFilter(fleetconfig.CallerLimits{HeaderBytes: maxHeaderBytes, BodyBytes: 10})
	request := func(header, body string) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "http://a.example/x", strings.NewReader(body))
		r.Header.Set("X", header)
		return r
	}
	must.Zero(t, refusalStatus(filter, request("", "0123456789")))
	must.Eq(t, http.StatusRequestEntityTooLarge, refusalStatus(filter, request("", "0123456789a")))
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, refusalStatus(filter, request(strings.Repeat("x", maxHeaderBytes), "")))
	must.Zero(t, refusalStatus(newLimitFilter(fleetconfig.CallerLimits{}), request(strings.Repeat("x", maxHeaderBytes), "0123456789a")))
}

func TestLimitFilterBoundsBodyOfUnknownLength(t *testing.T) {
	filter := newLimitFilter(fleetconfig.CallerLimits{BodyBytes: 10})
	request := httptest.NewRequest(http.MethodPost, "http://a.example/x", io.MultiReader(strings.NewReader("0123456789abc")))
	request.ContentLength = -1
	must.Zero(t, refusalStatus(filter, request))
	read, err := io.ReadAll(request.Body)
	must.Error(t, err)
	must.Eq(t, "0123456789", string(read))
}
