package node

import (
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/quarantine"
)

// registerQuarantineMetrics registers the metrics of requests that crash backend servers.
func (n *Node) registerQuarantineMetrics() {
	n.metrics.RegisterCounter("quarantine_crashes", "Crashes of backend servers beside this instance with requests under way.", func() uint64 {
		return n.quarantine.Statistics().Crashes
	})
	n.metrics.RegisterCounter("quarantine_refusals", "Requests refused because they have crashed backend servers.", func() uint64 {
		return n.quarantine.Statistics().Refusals
	})
	n.metrics.RegisterCounter("quarantine_trials", "Trial runs of quarantined requests.", func() uint64 {
		return n.quarantine.Statistics().Trials
	})
	n.metrics.RegisterGauge("quarantine_suspected", "Requests that were under way in crashes, too few to refuse them.", func() float64 {
		return float64(n.quarantine.Statistics().Suspected)
	})
	n.metrics.RegisterGauge("quarantine_entries", "Requests that are refused because they have crashed backend servers.", func() float64 {
		return float64(n.quarantine.Statistics().Quarantined)
	})
}

// quarantineView describes a request in the reply to GET /v1/quarantine.
type quarantineView struct {
	Fingerprint string `json:"fingerprint"`
	Account     string `json:"account,omitempty"`
	Service     string `json:"service"`
	State       string `json:"state"`
	Crashes     int    `json:"crashes"`
	Points      int    `json:"points"`
	// LastCrashSeconds is how long ago the last crash was.
	LastCrashSeconds float64 `json:"last_crash_seconds_ago"`
	// TrialInSeconds is the time until the request may run once as a trial, or nil if it is
	// not quarantined.
	TrialInSeconds *float64 `json:"trial_in_seconds,omitempty"`
}

// handleQuarantine returns the requests that were under way in crashes, as far as this
// instance knows them.
func (n *Node) handleQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := clock.Now()
	views := []quarantineView{}
	for _, entry := range n.quarantine.Entries() {
		if entry.State == quarantine.StateClear {
			continue
		}
		view := quarantineView{
			Fingerprint:      entry.Fingerprint.String(),
			Account:          string(entry.Account),
			Service:          string(entry.Service),
			State:            entry.State.String(),
			Crashes:          entry.Crashes,
			Points:           entry.Points,
			LastCrashSeconds: now.Sub(entry.LastCrash).Round(time.Millisecond).Seconds(),
		}
		if entry.State == quarantine.StateQuarantined {
			wait := max(0, entry.HeldUntil.Sub(now)).Round(time.Millisecond).Seconds()
			view.TrialInSeconds = &wait
		}
		views = append(views, view)
	}
	writeJSON(w, views)
}

// handleQuarantineRelease clears a request of all crashes, so that it runs again.
func (n *Node) handleQuarantineRelease(w http.ResponseWriter, request *http.Request) {
	fingerprint, ok := quarantine.ParseFingerprint(request.PathValue("fingerprint"))
	if !ok || !n.quarantine.Release(fingerprint) {
		problem := &api.Problem{
			Type:   api.TypePrefix + string(api.ProblemNotFound),
			Status: http.StatusNotFound,
			Detail: "no request with this fingerprint is suspected or quarantined at this control instance",
			Remedy: "list the requests with 'hemlockctl quarantine list'",
		}
		writeProblem(w, problem)
		return
	}
	n.logger.Info("operator released a request", "fingerprint", fingerprint.String())
	w.WriteHeader(http.StatusNoContent)
}
