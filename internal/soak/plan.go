package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// Kill kills a daemon and restarts it at the end.
	Kill FaultKind = "kill"
	// TornWrite is Kill, with an incomplete record appended to the daemon's logs as if a
	// power failure had interrupted a write.
	TornWrite FaultKind = "tear"
	// Stop stops a daemon gracefully and restarts it at the end.
	Stop FaultKind = "stop"
	// Pause suspends a daemon's process for the duration.
	Pause FaultKind = "pause"
	// Reload makes a daemon reload its settings.
	Reload FaultKind = "reload"
	// Isolate partitions an instance from all others.
	Isolate FaultKind = "isolate"
	// OneWayPartition drops the datagrams from an instance to its peer.
	OneWayPartition FaultKind = "one-way"
	// Delay delays the datagrams to an instance.
	Delay FaultKind = "delay"
	// Loss drops a share of the datagrams to an instance.
	Loss FaultKind = "loss"
	// ResetCallerConns resets the relayed caller connections to an instance, once, at the
	// start of the event.
	ResetCallerConns FaultKind = "reset-callers"
	// StallCallerConns holds back all bytes on the relayed caller connections to an
	// instance.
	StallCallerConns FaultKind = "silence-callers"
	// GrayFailure makes a backend server fail requests while its health endpoint reports
	// it healthy.
	GrayFailure FaultKind = "gray"
	// Statement makes a backend server advertise a rate or state its exit in its responses.
	Statement FaultKind = "state"
	// QueryOfDeath repeats a request that crashes the backend server that runs it.
	QueryOfDeath FaultKind = "query-of-death"
	// RetryPressure makes all backend servers fail requests, so that the fleet retries as often
	// as it may.
	RetryPressure FaultKind = "retry-pressure"
	// RaceChanges makes two concurrent configuration changes with the same base version.
	RaceChanges FaultKind = "change"
	// Evacuate evacuates the failure domain of the instance.
	Evacuate FaultKind = "evacuate"
	// WithdrawKey withdraws a key that is in use.
	WithdrawKey FaultKind = "withdraw"
)

// Event is one fault of a plan.
type Event struct {
	// Start is the time from the start of the plan to the start of the fault.
	Start time.Duration
	// Kind is the kind of the fault.
	Kind FaultKind
	// Instance is the index of the instance that the fault applies to.
	Instance int
	// Peer is the index of the receiving instance of OneWayPartition.
	Peer int
	// Duration is how long the fault lasts.
	Duration time.Duration
	// Variant selects a variant of the kind. For WithdrawKey it is the index of the
	// account.
	Variant int
}

// String returns the event as a line of the output.
func (e Event) String() string {
	return fmt.Sprintf("%s at instance %d for %s (peer %d, variant %d)", e.Kind, e.Instance, e.Duration.Round(time.Millisecond), e.Peer, e.Variant)
}

// Parameters of plans.
const (
	// meanFaultInterval is the mean time between the starts of two consecutive faults
	// that are drawn. Plan leaves out those that would overlap another fault of the same
	// process, and those beyond maxKeyWithdrawals.
	meanFaultInterval = 900 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	// variantCount is the number of variants of each kind.
	variantCount = 6
	// maxKeyWithdrawals is the maximum number of keys that are withdrawn.
	maxKeyWithdrawals = 3
	// settleTime is the minimum time before the first fault, and between two faults of
	// the same process.
	settleTime = time.Second
	// meanStatementInterval is the mean time between the starts of two consecutive
	// Statement events, and minStatementDuration their least duration: what the server gets
	// counts only some seconds after its first statement.
	meanStatementInterval = 6 * time.Second
	minStatementDuration  = 5 * time.Second
)

// weights are the relative frequencies of the kinds.
var weights = []struct {
	kind   FaultKind
	weight int
}{
	{Kill, 4}, {TornWrite, 2}, {Stop, 3}, {Pause, 3}, {Reload, 2}, {Isolate, 3}, {OneWayPartition, 2}, {Delay, 2},
	{Loss, 2}, {ResetCallerConns, 2}, {StallCallerConns, 1}, {GrayFailure, 3}, {RaceChanges, 5}, {WithdrawKey, 1},
}

// Plan returns the faults for a seed, ordered by start. All faults end before the
// duration. An instance has at most one fault of its process at a time, and a backend server
// one statement; all other faults may overlap.
func Plan(seed uint64, duration time.Duration, instances int) []Event {
	events := append(planFaults(seed, duration, instances), planStatements(seed, duration, instances)...)
	events = append(events, planCrashes(seed, duration, instances)...)
	events = append(events, planRetryPressure(seed, duration, instances)...)
	events = append(events, planEvacuations(seed, duration, instances)...)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.Start, b.Start) })
	return events
}

// planStatements returns the Statement events. They have a random sequence of their own, so
// that the other faults of a seed do not depend on them.
func planStatements(seed uint64, duration time.Duration, instances int) []Event {
	random := rand.New(rand.NewPCG(seed, 1<<32|uint64(instances)))
	freeAt := make([]time.Duration, instances)
	var events []Event
	for start := settleTime; ; {
		start += time.Duration(random.ExpFloat64() * float64(meanStatementInterval))
		event := Event{Start: start, Kind: Statement, Instance: random.IntN(instances), Variant: random.IntN(variantCount)}
		event.Duration = minStatementDuration + time.Duration(random.Int64N(int64(maxFaultDuration)))
		event.Peer = (event.Instance + 1) % instances
		if start+event.Duration >= duration {
			return events
		}
		if start >= freeAt[event.Instance] {
			freeAt[event.Instance] = start + event.Duration + settleTime
			events = append(events, event)
		}
	}
}

// eventSeries describes events of one kind that follow one another. They have a random sequence of
// their own, named by stream, so that the other faults of a seed do not depend on them.
type eventSeries struct {
	kind   FaultKind
	stream uint64
	// minDuration and maxDuration bound how long an event lasts, and meanInterval is the mean
	// time from its end to the start of the next.
	minDuration, maxDuration, meanInterval time.Duration
}

// plan returns the events of the series that end before the duration.
func (s *eventSeries) plan(seed uint64, duration time.Duration, instances int) []Event {
	random := rand.New(rand.NewPCG(seed, s.stream<<32|uint64(instances)))
	var events []Event
	for start := settleTime; ; {
		event := Event{Start: start, Kind: s.kind, Instance: random.IntN(instances), Variant: random.IntN(variantCount)}
		event.Duration = s.minDuration + time.Duration(random.Int64N(int64(s.maxDuration-s.minDuration)))
		event.Peer = (event.Instance + 1) % instances
		if start+event.Duration >= duration {
			return events
		}
		events = append(events, event)
		start += event.Duration + time.Duration(random.ExpFloat64()*float64(s.meanInterval))
	}
}

// planFaults returns the events of all other kinds.
func planFaults(seed uint64, duration time.Duration, instances int) []Event {
	random := rand.New(rand.NewPCG(seed, uint64(instances)))
	total := 0
	for _, entry := range weights {
		total += entry.weight
	}
	processFreeAt := make([]time.Duration, instances)
	withdrawals := 0
	var events []Event
	for start := settleTime; ; {
		start += time.Duration(random.ExpFloat64() * float64(meanFaultInterval))
		length := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		if start+length >= duration {
			return events
		}
		event := Event{Start: start, Kind: drawKind(random.IntN(total)), Instance: random.IntN(instances), Duration: length, Variant: random.IntN(variantCount)}
		event.Peer = (event.Instance + 1 + random.IntN(instances-1)) % instances
		if event.Kind.affectsProcess() {
			if start < processFreeAt[event.Instance] {
				continue
			}
			processFreeAt[event.Instance] = start + length + settleTime
		}
		if event.Kind == WithdrawKey {
			if withdrawals == maxKeyWithdrawals {
				continue
			}
			event.Variant = withdrawals
			withdrawals++
		}
		events = append(events, event)
	}
}

// drawKind maps a random number below the sum of the weights to a kind.
func drawKind(number int) FaultKind {
	for _, entry := range weights {
		if number < entry.weight {
			return entry.kind
		}
		number -= entry.weight
	}
	return Reload
}

// affectsProcess reports whether the fault acts on the daemon's process.
func (k FaultKind) affectsProcess() bool {
	return slices.Contains([]FaultKind{Kill, TornWrite, Stop, Pause, Reload}, k)
}

// affectsInstance reports whether the fault acts on the daemon's process or on the network of
// its instance.
func (k FaultKind) affectsInstance() bool {
	return k.affectsProcess() || slices.Contains([]FaultKind{Isolate, OneWayPartition, Delay, Loss}, k)
}
