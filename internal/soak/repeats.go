package soak

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/internal/testbed"
)

const (
	// meanRetryPressureInterval is the mean time between the ends of two RetryPressure events,
	// and minRetryPressure and maxRetryPressure bound how long one lasts.
	meanRetryPressureInterval = 3 * time.Second
	minRetryPressure          = 4 * time.Second
	maxRetryPressure          = 8 * time.Second
	// retryPressureShare is the share of the requests that fail meanwhile.
	retryPressureShare = 0.5
)

// The limits on repeats in the soak's configuration: in each window, a percentage of the
// requests, and a number of repeats for each backend server.
const (
	repeatPercent   = 20
	repeatWindow    = 4 * time.Second
	repeatsByServer = 3
)

// soakPreset returns the preset of the soak: the ordinary one, with limits for the whole fleet.
func soakPreset(instances int) *fleetconfig.Preset {
	preset := fleetconfig.NewDocument().Presets[0]
	preset.Name = "soak"
	preset.EjectionEnabled = false
	preset.RetryBudgetPercent = repeatPercent
	preset.RetryWindow = repeatWindow
	preset.ColdOverage, preset.ColdSlack = emulator.ColdTolerance, emulator.ColdAllowance
	preset.RetryFloorPerSecond = float64(repeatsByServer*instances) / repeatWindow.Seconds()
	return &preset
}

// planRetryPressure returns the RetryPressure events.
func planRetryPressure(seed uint64, duration time.Duration, instances int) []Event {
	shape := eventSeries{kind: RetryPressure, stream: 3, minDuration: minRetryPressure, maxDuration: maxRetryPressure, meanInterval: meanRetryPressureInterval}
	return shape.plan(seed, duration, instances)
}

// pressRetries makes all backend servers fail requests. With a sound server left, the others would
// be suspected and avoided instead.
func (r *run) pressRetries(ctx context.Context, event Event) error {
	err := r.setBackgroundErrors(retryPressureShare)
	testbed.Sleep(ctx, event.Duration)
	return errors.CombineErrors(err, r.setBackgroundErrors(0))
}

func (r *run) setBackgroundErrors(share float64) error {
	var err error
	for i := range r.layout.Instances {
		err = errors.CombineErrors(err, r.fleet.SetFault(i, emulator.Fault{Kind: emulator.FaultBackgroundErrors, Share: share}))
	}
	return err
}

// checkRepeats checks that the repeats that all backend servers received stayed within the bound in
// every window.
func (r *run) checkRepeats() error {
	var arrivals []emulator.Arrival
	for i := range r.fleet.BackendAddresses {
		part, err := r.fleet.BackendArrivals(i)
		if err != nil {
			return err
		}
		arrivals = append(arrivals, part...)
	}
	bound := repeatBound{slack: float64(repeatsByServer * len(r.layout.Instances))}
	bound.record(arrivals)
	worst := bound.worstWindow()
	r.findings.printf("repeats: %d for %d requests; in the worst %s, from %s, %d for %d", len(bound.repeats), len(bound.firsts), repeatWindow,
		time.UnixMilli(worst.from).Sub(r.findings.started).Round(time.Millisecond), worst.repeats, worst.firsts)
	if worst.excess > 0 {
		r.findings.violated("the backend servers received %d repeats for %d requests in %s, %.1f more than the bound", worst.repeats, worst.firsts, repeatWindow, worst.excess)
	}
	return nil
}

// repeatBound compares arrivals with the bound on repeats. Times are in Unix milliseconds.
type repeatBound struct {
	slack           float64
	firsts, repeats []int64
}

// record divides the arrivals into the first of each request and all others.
func (b *repeatBound) record(arrivals []emulator.Arrival) {
	slices.SortStableFunc(arrivals, func(x, y emulator.Arrival) int { return cmp.Compare(x.UnixMilli, y.UnixMilli) })
	known := make(map[string]bool)
	for _, arrival := range arrivals {
		if known[arrival.Request] {
			b.repeats = append(b.repeats, arrival.UnixMilli)
		} else {
			known[arrival.Request] = true
			b.firsts = append(b.firsts, arrival.UnixMilli)
		}
	}
}

// repeatCount is what arrived in one window.
type repeatCount struct {
	from            int64
	firsts, repeats int
	// excess is by how much the repeats exceed the bound; it is negative if they do not.
	excess float64
}

// worstWindow returns the window in which the repeats exceed the bound the most. Its requests are those in the
// window, the one before or the one half a window before, whichever are most.
func (b *repeatBound) worstWindow() repeatCount {
	worst := repeatCount{excess: -b.slack}
	window := repeatWindow.Milliseconds()
	for _, from := range b.repeats {
		count := repeatCount{from: from, repeats: countBetween(b.repeats, from, from+window)}
		for _, shift := range []int64{0, window / 2, window} {
			count.firsts = max(count.firsts, countBetween(b.firsts, from-shift, from+window-shift))
		}
		count.excess = float64(count.repeats) - repeatPercent/100.0*float64(count.firsts) - b.slack
		if worst.from == 0 || count.excess > worst.excess {
			worst = count
		}
	}
	return worst
}

// countBetween returns how many of the ordered times lie in [from, to].
func countBetween(times []int64, from, to int64) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, to+1)
	return end - first
}
