package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

var testBaseline = Baseline{
	SlowThreshold: 80 * time.Millisecond,
	SlowShare:     minSlowShare,
	ErrorShare:    minErrorShare,
	RequestRate:   20,
}

func newTestDetector(now time.Time) *Detector {
	detector := NewDetector(DefaultServerDaysPerFalseEjection, 0, now)
	detector.SetBaseline(testBaseline)
	return detector
}

func accountName(i int) fleetconfig.AccountID {
	return fleetconfig.AccountID(fmt.Sprintf("a%d", i))
}

// TestFalseAlarmsKeepTheTarget feeds independent outcomes at the usual shares and
// compares the rate of alarms with a bound that is lowered so far that alarms can
// be counted: exp(bound) is still below the mean time between alarms.
func TestFalseAlarmsKeepTheTarget(t *testing.T) {
	const requests = 1_000_000
	rng := rand.New(rand.NewPCG(1, 2))
	bound := math.Log(20_000)
	alarms := 0
	var sum evidenceSum
	for i := range requests {
		if rng.Float64() < minErrorShare {
			sum.add(accountName(i%5), badNats(minErrorShare), badNats(minErrorShare), sumLimitFactor*bound)
		} else {
			sum.credit(goodNats(minErrorShare))
		}
		if sum.crossed(bound) {
			alarms++
			sum.reset()
		}
	}
	must.LessEq(t, requests/20_000, alarms)
}

// TestNoEvidence holds that shedding, cancels, short deadlines, and an account
// that fails everywhere never make a server suspect.
func TestNoEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		baseline := testBaseline
		baseline.FailingAccounts = []fleetconfig.AccountID{"failing"}
		detector := newTestDetector(now)
		detector.SetBaseline(baseline)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(10 * time.Millisecond)
			account := accountName(rapid.IntRange(0, 3).Draw(t, "account"))
			deadline := now.Add(time.Minute)
			ends := now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "ms")) * time.Millisecond)
			result := ResultShed
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				result = ResultCanceled
			case 1:
				result, deadline = ResultTimedOut, ends
			case 2:
				account, result = "failing", ResultFailed
			case 3:
				account, result, ends = "failing", ResultOK, now.Add(time.Hour)
			}
			token := detector.Begin(account, deadline, now)
			detector.Tick(ends)
			detector.End(token, result, ends)
			must.False(t, detector.Suspect())
		}
	})
}

// TestOpenRequestsConvict holds that a server that accepts and never answers is
// convicted before any request ends, that a stall of a second does not convict it
// however many requests it holds, and one stuck request never does.
func TestOpenRequestsConvict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector := newTestDetector(epoch)
		open := rapid.IntRange(1, 50).Draw(t, "open")
		for i := range open {
			detector.Begin(accountName(i), epoch.Add(time.Hour), epoch)
		}
		for age := time.Duration(0); age <= time.Second; age += 10 * time.Millisecond {
			detector.Tick(epoch.Add(age))
			must.False(t, detector.Alarm())
		}
		for age := time.Second; age < 5*time.Second/2; age += 10 * time.Millisecond {
			detector.Tick(epoch.Add(age))
		}
		must.Eq(t, open >= 2, detector.Alarm(), must.Sprintf("%d open", open))
	})
}

// TestStallEndsWhenTheBoundRises holds that a stall is over when its request ends
// below a bound that has risen meanwhile; else every later slow request would
// count as part of one ever longer stall.
func TestStallEndsWhenTheBoundRises(t *testing.T) {
	detector := newTestDetector(epoch)
	token := detector.Begin("a", epoch.Add(time.Hour), epoch)
	detector.Tick(epoch.Add(testBaseline.SlowThreshold + 1))
	higher := testBaseline
	higher.SlowThreshold *= 2
	detector.SetBaseline(higher)
	detector.End(token, ResultOK, epoch.Add(testBaseline.SlowThreshold+2))
	must.False(t, detector.stall.firstEnd.IsZero())
}

// TestAskAgainstAFormerBaselineIsRefused holds that evidence from before a slow
// day ejects no server.
func TestAskAgainstAFormerBaselineIsRefused(t *testing.T) {
	owner := NewPermitOwner(Floor{Slots: 1}, DefaultPermitTTL, 1, epoch)
	now := epoch.Add(DefaultPermitTTL)
	number := uint64(0)
	report := func(latency time.Duration) {
		now = now.Add(baselineInterval)
		number++
		summary := Summary{Window: 10 * time.Second}
		for range 300 {
			summary.Latencies.Record(latency)
		}
		for _, name := range []fleetconfig.BackendServerID{"a", "b", "c"} {
			owner.HandleReport(Report{Server: name, Sequence: number, Slots: 1, Status: StatusHealthy,
				Echo: OwnerTimestamp{OwnerIncarnation: 1, SinceStart: now.Sub(epoch)}, Summary: summary}, now)
		}
		owner.Tick(now)
	}
	report(20 * time.Millisecond)
	before := owner.Baseline().Generation
	report(200 * time.Millisecond)
	report(200 * time.Millisecond)
	must.Eq(t, ReasonCommonCause, owner.RequestPermit(PermitRequest{ID: PermitRequestID{0, 1}, Server: "a", BaselineGeneration: before}, now))
	must.Eq(t, ReasonCommonCause, owner.RequestPermit(PermitRequest{ID: PermitRequestID{0, 2}, Server: "a", BaselineGeneration: owner.Baseline().Generation}, now))
	for range baselineSettles / baselineInterval {
		report(200 * time.Millisecond)
	}
	must.Eq(t, ReasonCommonCause, owner.RequestPermit(PermitRequest{ID: PermitRequestID{0, 3}, Server: "a", BaselineGeneration: before}, now))
	must.Eq(t, ReasonNone, owner.RequestPermit(PermitRequest{ID: PermitRequestID{0, 4}, Server: "a", BaselineGeneration: owner.Baseline().Generation}, now))
}

// TestOneAccountNeedsTwiceTheEvidence holds that the failures of one account
// beside good requests of others convict no server before twice the bound.
func TestOneAccountNeedsTwiceTheEvidence(t *testing.T) {
	detector := newTestDetector(epoch)
	run := func(account fleetconfig.AccountID, result Result) {
		detector.End(detector.Begin(account, epoch.Add(time.Minute), epoch), result, epoch.Add(time.Millisecond))
	}
	failures := int(math.Ceil(detector.Threshold() / badNats(minErrorShare)))
	for range failures + 1 {
		run("one", ResultFailed)
	}
	must.False(t, detector.Alarm())
	run("two", ResultFailed)
	run("two", ResultFailed)
	must.True(t, detector.Alarm())
}

// TestBaselineFollowsASlowDay holds that one bad server does not move the
// baseline, and that a day that is slow for all does.
func TestBaselineFollowsASlowDay(t *testing.T) {
	summary := func(latency time.Duration) ServerSummary {
		s := ServerSummary{Status: StatusHealthy, Summary: Summary{Window: 10 * time.Second}}
		for range 100 {
			s.Summary.Latencies.Record(latency)
		}
		return s
	}
	usual := make([]ServerSummary, 8)
	for i := range usual {
		usual[i] = summary(20 * time.Millisecond)
	}
	before := MergeBaseline(DefaultBaseline(), usual)
	usual[3] = summary(time.Second)
	must.Eq(t, before.SlowThreshold, MergeBaseline(before, usual).SlowThreshold)
	for i := range usual {
		usual[i] = summary(200 * time.Millisecond)
		usual[i].Status = StatusSuspect
	}
	must.Greater(t, 5*before.SlowThreshold, MergeBaseline(before, usual).SlowThreshold)
}

// TestPathVerdict holds that a path is avoided after a few losses in a row, names
// the direction, and is used again after a good trial.
func TestPathVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var path PathMonitor
		now := epoch
		for range rapid.IntRange(0, 100).Draw(t, "answers") {
			path.RecordResponse(now)
		}
		losses := 0
		for !path.ShouldAvoid() {
			path.RecordLoss(now)
			losses++
		}
		must.Between(t, 3, losses, 4)
		path.Avoid(now)
		must.False(t, path.Usable(now))
		must.Eq(t, PathUnresponsive, path.Status(now.Add(heardLife)))
		path.RecordMessage(now.Add(heardLife))
		must.Eq(t, PathOutboundFailed, path.Status(now.Add(heardLife)))
		now = now.Add(pathFirstHold)
		must.True(t, path.Usable(now))
		path.BeginProbe(now)
		must.False(t, path.Usable(now))
		path.RecordLoss(now)
		must.False(t, path.Usable(now.Add(pathFirstHold)), must.Sprint("the hold must grow"))
		now = now.Add(2 * pathFirstHold)
		must.True(t, path.Usable(now))
		path.RecordResponse(now)
		must.Eq(t, PathUsable, path.Status(now))
	})
}
