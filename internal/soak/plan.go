package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The faults of a plan.
const (
	// Kill ends a daemon at once and starts it again at the end.
	Kill Kind = "kill"
	// Tear is Kill with the end of the daemon's files torn, as by a write that the
	// loss of power cut short.
	Tear Kind = "tear"
	// Stop stops a daemon as planned and starts it again at the end.
	Stop Kind = "stop"
	// Pause stops a daemon's process for the time.
	Pause Kind = "pause"
	// Reload makes a daemon read its settings anew.
	Reload Kind = "reload"
	// Isolate cuts an instance off from all others.
	Isolate Kind = "isolate"
	// OneWay drops what an instance sends to another one.
	OneWay Kind = "one-way"
	// Delay holds back what reaches an instance.
	Delay Kind = "delay"
	// Loss drops a part of what reaches an instance.
	Loss Kind = "loss"
	// ResetCallers resets the callers' connections to an instance at the start.
	ResetCallers Kind = "reset-callers"
	// SilenceCallers passes nothing on between an instance and its callers.
	SilenceCallers Kind = "silence-callers"
	// Gray makes a backend server fail while it looks healthy.
	Gray Kind = "gray"
	// Change sends changes of the configuration, two of them on the same version.
	Change Kind = "change"
	// Withdraw withdraws a key that is in use.
	Withdraw Kind = "withdraw"
)

// Event is one fault of a plan.
type Event struct {
	// At is when it begins, from the start of the load.
	At time.Duration
	// Kind says what it is.
	Kind Kind
	// Instance is where, by number.
	Instance int
	// Other is the second instance of OneWay.
	Other int
	// For is how long it lasts.
	For time.Duration
	// Variant chooses between variants of the kind.
	Variant int
}

// String returns the event as a line of the output.
func (e Event) String() string {
	return fmt.Sprintf("%s at instance %d for %s (other %d, variant %d)", e.Kind, e.Instance, e.For.Round(time.Millisecond), e.Other, e.Variant)
}

// Limits of plans.
const (
	// meanGap is the mean time between the starts of two faults.
	meanGap = 900 * time.Millisecond
	// minLength and maxLength bound how long a fault lasts.
	minLength = 300 * time.Millisecond
	maxLength = 6 * time.Second
	// variants is the number of variants of a kind.
	variants = 6
	// maxWithdrawals is how many keys can be withdrawn.
	maxWithdrawals = 3
	// settle is the time before the first fault.
	settle = time.Second
)

// weights say how often each kind comes.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4}, {Tear, 2}, {Stop, 3}, {Pause, 3}, {Reload, 2}, {Isolate, 3}, {OneWay, 2}, {Delay, 2},
	{Loss, 2}, {ResetCallers, 2}, {SilenceCallers, 1}, {Gray, 3}, {Change, 5}, {Withdraw, 1},
}

// Plan returns the faults of a seed, in the order of their start. All end before the
// duration. An instance has at most one fault of its process at a time; everything else
// overlaps freely.
func Plan(seed uint64, duration time.Duration, instances int) []Event {
	random := rand.New(rand.NewPCG(seed, uint64(instances)))
	total := 0
	for _, entry := range weights {
		total += entry.weight
	}
	processFree := make([]time.Duration, instances)
	withdrawals := 0
	var events []Event
	for at := settle; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
		length := minLength + time.Duration(random.Int64N(int64(maxLength-minLength)))
		if at+length >= duration {
			return events
		}
		event := Event{At: at, Kind: draw(random.IntN(total)), Instance: random.IntN(instances), For: length, Variant: random.IntN(variants)}
		event.Other = (event.Instance + 1 + random.IntN(instances-1)) % instances
		if event.Kind.ofProcess() {
			if at < processFree[event.Instance] {
				continue
			}
			processFree[event.Instance] = at + length + settle
		}
		if event.Kind == Withdraw {
			if withdrawals == maxWithdrawals {
				continue
			}
			event.Variant = withdrawals
			withdrawals++
		}
		events = append(events, event)
	}
}

func draw(number int) Kind {
	for _, entry := range weights {
		if number < entry.weight {
			return entry.kind
		}
		number -= entry.weight
	}
	return Reload
}

// ofProcess reports whether the fault is one of the daemon's process.
func (k Kind) ofProcess() bool {
	return slices.Contains([]Kind{Kill, Tear, Stop, Pause, Reload}, k)
}
