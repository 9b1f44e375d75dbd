package metrics

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// The number of label values is bounded, however many accounts there are.
func TestAccountsWithoutOwnHistogramShareClassLabels(t *testing.T) {
	document := &fleetconfig.Document{}
	for i := range 1000 {
		document.Accounts = append(document.Accounts, fleetconfig.Account{
			ID:            fleetconfig.AccountID(fmt.Sprintf("account-%d", i)),
			RatePerSecond: float64(i),
		})
	}
	view := fleetconfig.NewView(document)
	var labels accountLabels
	distinct := make(map[string]bool)
	for _, account := range document.Accounts {
		distinct[labels.label(view, account.ID)] = true
	}
	must.Eq(t, MaxNamedAccounts+3, len(distinct))
	must.Eq(t, "account-999", labels.label(view, "account-999"))
	must.Eq(t, classSmall, labels.label(view, "account-1"))
}

func TestHandlerServesLatencyByServiceAndAccount(t *testing.T) {
	metrics := New("instance-1", "a")
	defer func() { _ = metrics.Close() }()
	metrics.Record(&pipeline.Exchange{
		Route:   &fleetconfig.Route{Service: "catalogue"},
		Outcome: pipeline.OutcomeAnswered,
		Status:  200,
	}, time.Millisecond)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		recorder := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		body := recorder.Body.String()
		return strings.Contains(body, `hemlock_request_seconds_bucket{account="class:open"`) && strings.Contains(body, `service="catalogue"`)
	}), wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond)))
}

func TestCountersHaveLabels(t *testing.T) {
	metrics := New("instance-1", "a")
	defer func() { _ = metrics.Close() }()
	metrics.RegisterCounters("bytes", "Help.", []string{"kind", "far"}, func(add func(value uint64, labels ...string)) {
		add(3, "request", "true")
		add(4, "request", "false")
	})
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	must.StrContains(t, recorder.Body.String(), `hemlock_bytes{far="true",kind="request"} 3`)
	must.StrContains(t, recorder.Body.String(), `hemlock_bytes{far="false",kind="request"} 4`)
}
