package crashexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Policy is a protection against requests that crash backend servers.
type Policy string

// The policies.
const (
	PolicyNone     Policy = "none"
	PolicyInstance Policy = "per instance"
	PolicyFleet    Policy = "fleet"
)

// Case is one simulated situation.
type Case struct {
	// Name describes it.
	Name string
	// Instances is the number of instances, each with one backend server of Slots slots.
	Instances, Slots int
	// ServiceTime is the mean service time; times are uniform from half to one and a half of it.
	ServiceTime time.Duration
	// Innocent is the rate of other requests, per second. Half of them are the same word for
	// word, spread over Popular different requests; all others are unique.
	Innocent float64
	Popular  int
	// Deadly is the rate of requests that crash servers, per second, spread over
	// DeadlyRequests different ones. Callers of them all send at once at the beginning.
	Deadly         float64
	DeadlyRequests int
	Callers        int
	// Crashes is the rate at which each server crashes for no reason, per second.
	Crashes float64
	// Duration is the simulated time.
	Duration time.Duration
}

// cases returns the situations that are compared.
func cases() []Case {
	base := Case{Instances: 9, Slots: 4, ServiceTime: 30 * time.Millisecond, Innocent: 200, Popular: 1, Deadly: 12, DeadlyRequests: 2, Duration: 30 * time.Second}
	with := func(name string, change func(*Case)) Case {
		changed := base
		changed.Name = name
		change(&changed)
		return changed
	}
	return []Case{
		with("9 servers, 2 requests, 12/s", func(*Case) {}),
		with("30 servers, 1 request, 2/s", func(c *Case) { c.Instances, c.Deadly, c.DeadlyRequests, c.Innocent = 30, 2, 1, 600 }),
		with("30 servers of 3 slots, 200 ms", func(c *Case) { c.Instances, c.Slots, c.ServiceTime, c.Innocent = 30, 3, 200*time.Millisecond, 300 }),
		with("91 servers of 11 slots, 800 ms", func(c *Case) { c.Instances, c.Slots, c.ServiceTime, c.Innocent = 91, 11, 800*time.Millisecond, 600 }),
		with("350 servers, 5 requests, 50/s", func(c *Case) { c.Instances, c.Deadly, c.DeadlyRequests, c.Innocent = 350, 50, 5, 3000 }),
		with("1098 servers, 5 requests, 50/s", func(c *Case) {
			c.Instances, c.Deadly, c.DeadlyRequests, c.Innocent, c.Duration = 1098, 50, 5, 6000, 10*time.Second
		}),
		with("30 servers, 1 caller at once", func(c *Case) { c.Instances, c.Deadly, c.DeadlyRequests, c.Callers = 30, 1, 1, 1 }),
		with("30 servers, 10 callers at once", func(c *Case) { c.Instances, c.Deadly, c.DeadlyRequests, c.Callers = 30, 1, 1, 10 }),
		with("30 servers, 100 callers at once", func(c *Case) { c.Instances, c.Deadly, c.DeadlyRequests, c.Callers = 30, 1, 1, 100 }),
		with("no such request, crashes 0.1/s", func(c *Case) { c.Deadly, c.Crashes, c.Duration = 0, 0.1, 10*time.Minute }),
		with("no such request, crashes 0.1/s, 1 s, 500 repeated", func(c *Case) {
			c.Deadly, c.Crashes, c.ServiceTime, c.Innocent, c.Popular, c.Duration = 0, 0.1, time.Second, 20, 500, 10*time.Minute
		}),
	}
}

// Arguments is the command line of the experiment.
type Arguments struct {
	// Seeds is the number of runs of each case.
	Seeds int `arg:"--seeds" default:"5" help:"number of runs of each case"`
	// Seed is the seed of the first run.
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the first run"`
}

// Run runs all cases with all policies and prints their means over the seeds to out.
func Run(arguments Arguments, out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "case\tpolicy\tservers lost\tothers answered %\tothers refused\tof\tlate runs\tlast instance knows after ms")
	for _, situation := range cases() {
		for _, policy := range []Policy{PolicyNone, PolicyInstance, PolicyFleet} {
			var total Result
			for i := range arguments.Seeds {
				total.add(Simulate(situation, policy, arguments.Seed+uint64(i)))
			}
			seeds := float64(max(1, arguments.Seeds))
			_, _ = fmt.Fprintf(writer, "%s\t%s\t%.1f\t%.2f\t%.1f\t%.0f\t%.1f\t%s\n", situation.Name, policy,
				float64(total.ServersLost)/seeds, 100*float64(total.Answered)/float64(max(1, total.Innocent)),
				float64(total.InnocentRefused)/seeds, float64(total.Innocent)/seeds, float64(total.LateRuns)/seeds, total.knownAfter())
		}
	}
	return writer.Flush()
}

// Result counts what happened in a run.
type Result struct {
	// ServersLost counts the crashes.
	ServersLost int
	// Innocent counts the requests that crash no server, Answered and InnocentRefused those of
	// them that were answered, and that were refused as quarantined.
	Innocent, Answered, InnocentRefused int
	// LateRuns counts the runs of requests that crash servers later than lateAfter after their
	// third crash.
	LateRuns int
	// KnownAfter is the longest time from the third crash under a request until all instances
	// refuse it. It is negative if that has not happened.
	KnownAfter time.Duration
}

func (r *Result) add(other Result) {
	r.ServersLost += other.ServersLost
	r.Innocent += other.Innocent
	r.Answered += other.Answered
	r.InnocentRefused += other.InnocentRefused
	r.LateRuns += other.LateRuns
	if r.KnownAfter < 0 || other.KnownAfter < 0 {
		r.KnownAfter = -1
		return
	}
	r.KnownAfter = max(r.KnownAfter, other.KnownAfter)
}

func (r *Result) knownAfter() string {
	if r.KnownAfter < 0 {
		return "never"
	}
	return fmt.Sprint(r.KnownAfter.Milliseconds())
}
