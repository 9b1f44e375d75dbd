package health

import (
	"slices"
	"time"
)

// recordSummary adds an outcome to the summary.
func (d *Detector) recordSummary(request *openRequest, result Result, now time.Time) {
	d.rotate(now)
	half := &d.halves[0]
	half.latencies.Record(now.Sub(request.began))
	half.accounts.record(request.account, result.failed())
}

// rotate starts a new half when the current one has covered summaryHalfWindow.
func (d *Detector) rotate(now time.Time) {
	if now.Sub(d.halves[0].began) < summaryHalfWindow {
		return
	}
	d.halves[1] = d.halves[0]
	d.halves[0] = summaryHalf{began: now}
}

// Summary returns the outcomes of the current half and the previous one. Together they
// cover the last 10 to 20 seconds, or less just after the start. They cover more if rotate
// was called too rarely. Window is the time that they cover, at least one second.
func (d *Detector) Summary(now time.Time) Summary {
	d.rotate(now)
	summary := Summary{Window: max(now.Sub(d.halves[1].began), time.Second)}
	for i := range d.halves {
		half := &d.halves[i]
		summary.Latencies.Merge(&half.latencies)
		summary.Failed += half.accounts.failed
		for _, failing := range half.accounts.failing() {
			listed := slices.Contains(summary.FailingAccounts, failing.account)
			if !listed && len(summary.FailingAccounts) < maxReportedAccounts {
				summary.FailingAccounts = append(summary.FailingAccounts, failing.account)
				listed = true
			}
			if listed {
				summary.Failed -= failing.failed
			}
		}
	}
	return summary
}
