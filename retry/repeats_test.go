package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pipeline"
)

// Servers receive no more repeats in any period than the credit earned for it, although they restart.
func TestRepeatBudgetBoundsEveryPeriod(t *testing.T) {
	type event struct {
		at     time.Duration
		repeat bool
	}
	rapid.Check(t, func(t *rapid.T) {
		servers := make([]RepeatBudget, rapid.IntRange(1, 12).Draw(t, "servers"))
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 20, 100, 3000}).Draw(t, "ms")) * time.Millisecond
			at := epoch.Add(now)
			server := &servers[rapid.IntRange(0, len(servers)-1).Draw(t, "server")]
			limits, _ := RepeatLimitsOf(&simulatedPreset, rapid.IntRange(0, len(servers)).Draw(t, "known servers"))
			switch rapid.SampledFrom([]string{"first", "first", "repeat", "repeat", "repeat", "restart"}).Draw(t, "event") {
			case "first":
				server.RecordFirst(limits, at)
				events = append(events, event{at: now})
			case "repeat":
				urgency := fleetconfig.Urgency(rapid.IntRange(1, maxRanks+2).Draw(t, "urgency"))
				mayTake := server.Ask(limits, urgency, at)
				if taken := server.Take(limits, urgency, at); taken {
					must.True(t, mayTake)
					events = append(events, event{at: now, repeat: true})
				}
			case "restart":
				*server = RepeatBudget{}
			}
		}
		limits, _ := RepeatLimitsOf(&simulatedPreset, 1)
		for first := range events {
			repeats, firsts := 0, 0
			for _, e := range events {
				switch {
				case e.at > events[first].at+testWindow || e.at < events[first].at-limits.Lifetime:
				case !e.repeat:
					firsts++
				case e.at >= events[first].at:
					repeats++
				}
			}
			base := maxBaseCredit + maxBaseRate*(testWindow+2*limits.Lifetime).Seconds()
			must.LessEq(t, limits.Share*float64(firsts)+base*float64(len(servers))+1e-9, float64(repeats))
		}
	})
}

// With an even load, the limits of all servers add up to at most the limits of the preset.
func TestRepeatLimitsAddUpToPreset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "window in ms")) * time.Millisecond
		preset := fleetconfig.Preset{
			RetryBudgetPercent:  uint32(rapid.IntRange(0, 100).Draw(t, "percent")),
			RetryFloorPerSecond: float64(rapid.IntRange(0, 100).Draw(t, "floor")),
			RetryWindow:         window,
		}
		servers := rapid.IntRange(1, 300).Draw(t, "servers")
		limits, limited := RepeatLimitsOf(&preset, servers)
		must.True(t, limited)
		period := window + limits.Lifetime
		const perSecond = 100
		earned := limits.Share * perSecond * period.Seconds()
		base := float64(servers) * (limits.BaseCredit + limits.BaseRate*period.Seconds())
		idleBase := float64(servers) * (limits.BaseCredit + limits.BaseRate*(period+limits.Lifetime).Seconds())
		must.LessEq(t, float64(preset.RetryBudgetPercent)/percent*perSecond*window.Seconds()+1e-9, earned)
		must.LessEq(t, floorShare*preset.RetryFloorPerSecond*window.Seconds()+1e-9, base)
		must.LessEq(t, preset.RetryFloorPerSecond*window.Seconds()+1e-9, idleBase)
	})
}

// When two of fifteen runs fail during one second in ten, at most one retry in fifty is refused.
func TestRetriesOfFailureBurstsAreAllowed(t *testing.T) {
	fleet := newSimulatedFleet(30, 1)
	fleet.offer(0, 80)
	fleet.offer(1, 30)
	for second := 8; second < 300; second += 10 {
		fleet.at(time.Duration(second)*time.Second, func() { fleet.failing = 2.0 / 15 })
		fleet.at(time.Duration(second+1)*time.Second, func() { fleet.failing = 0 })
	}
	fleet.run(300 * time.Second)
	must.Greater(t, 300, fleet.asked)
	must.LessEq(t, fleet.asked/50, fleet.refused)
}

// Credit expires after its lifetime, apart from the base credit.
func TestRepeatCreditExpires(t *testing.T) {
	limits := RepeatLimits{Share: 0.5, Lifetime: 2 * time.Second, BaseCredit: 1}
	var budget RepeatBudget
	for range 20 {
		budget.RecordFirst(limits, epoch)
	}
	must.True(t, budget.Take(limits, 1, epoch.Add(time.Second)))
	must.Eq(t, 9, budget.Credit())
	later := epoch.Add(limits.Lifetime)
	must.True(t, budget.Take(limits, 1, later))
	must.False(t, budget.Take(limits, 1, later))
	must.False(t, budget.Take(limits, 1, later.Add(time.Hour)))
}

// Servers without credit stop the retries of an ingress for a moment.
func TestBudgetPausesAfterServersHadNoCredit(t *testing.T) {
	budget := NewBudget(&simulatedPreset)
	attempt := Attempt{Account: "a", Outcome: pipeline.OutcomeNotRun, Attempts: 1, Remaining: time.Second}
	for range 20 {
		budget.RecordRequest("a", epoch)
	}
	must.Eq(t, DecisionRetry, budget.Decide(attempt, epoch))
	budget.Exhausted(attempt.Urgency, epoch)
	must.Eq(t, DecisionBudgetExhausted, budget.Decide(attempt, epoch.Add(exhaustedPause-1)))
	must.Eq(t, DecisionRetry, budget.Decide(attempt, epoch.Add(exhaustedPause)))
}
