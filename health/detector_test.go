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

// TestEvidenceSumFalseAlarmRate feeds independent outcomes at the normal error share and
// counts alarms. The threshold is lowered so far that alarms occur; the mean number of
// outcomes between alarms must still be at least exp(threshold).
func TestEvidenceSumFalseAlarmRate(t *testing.T) {
	const requests = 1_000_000
	rng := rand.New(rand.NewPCG(1, 2))
	threshold := math.Log(20_000)
	alarms := 0
	var sum evidenceSum
	for i := range requests {
		if rng.Float64() < minErrorShare {
			sum.add(accountName(i%5), badOutcomeNats(minErrorShare), badOutcomeNats(minErrorShare), maxSumFactor*threshold)
		} else {
			sum.subtract(goodOutcomeNats(minErrorShare))
		}
		if sum.exceeds(threshold) {
			alarms++
			sum.reset()
		}
	}
	must.LessEq(t, requests/20_000, alarms)
}

// TestDetectorIgnoresOutcomesThatAreNoEvidence checks that shed and canceled requests,
// short deadlines, and an account that fails on every server never make a server suspect.
func TestDetectorIgnoresOutcomesThatAreNoEvidence(t *testing.T) {
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
			end := now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "ms")) * time.Millisecond)
			result := ResultShed
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				result = ResultCanceled
			case 1:
				result, deadline = ResultTimedOut, end
			case 2:
				account, result = "failing", ResultFailed
			case 3:
				account, result, end = "failing", ResultOK, now.Add(time.Hour)
			}
			token := detector.Begin(account, deadline, now)
			detector.Tick(end)
			detector.End(token, result, end)
			must.False(t, detector.Suspect())
		}
	})
}

// TestDetectorAlarmsOnOpenRequests checks that a server that accepts requests and never
// responds raises an alarm before any request ends. A stall of one second must not raise
// an alarm, however many requests it holds up, and neither must a single stuck request.
func TestDetectorAlarmsOnOpenRequests(t *testing.T) {
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
		must.Eq(t, open >= 2, detector.Alarm(), must.Sprintf("%d open requests", open))
	})
}

// TestStallEndsWhenSlowThresholdRises checks that a stall ends when one of its requests
// ends below a threshold that has risen in the meantime. Otherwise every later slow
// request would extend the same stall.
func TestStallEndsWhenSlowThresholdRises(t *testing.T) {
	detector := newTestDetector(epoch)
	token := detector.Begin("a", epoch.Add(time.Hour), epoch)
	detector.Tick(epoch.Add(testBaseline.SlowThreshold + 1))
	higher := testBaseline
	higher.SlowThreshold *= 2
	detector.SetBaseline(higher)
	detector.End(token, ResultOK, epoch.Add(testBaseline.SlowThreshold+2))
	must.False(t, detector.stall.firstEnd.IsZero())
}

// TestPermitOwnerDeniesPermitAfterBaselineRise checks that evidence from before a
// slowdown of the whole service ejects no server.
func TestPermitOwnerDeniesPermitAfterBaselineRise(t *testing.T) {
	owner := NewPermitOwner(Floor{Slots: 1}, DefaultPermitTTL, 1, epoch)
	now := epoch.Add(DefaultPermitTTL)
	sequence := uint64(0)
	report := func(latency time.Duration) {
		now = now.Add(baselineInterval)
		sequence++
		summary := Summary{Window: 10 * time.Second}
		for range 300 {
			summary.Latencies.Record(latency)
		}
		for _, name := range []fleetconfig.BackendServerID{"a", "b", "c"} {
			owner.HandleReport(Report{Server: name, Sequence: sequence, Slots: 1, Status: StatusHealthy,
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
	for range baselineSettleTime / baselineInterval {
		report(200 * time.Millisecond)
	}
	must.Eq(t, ReasonCommonCause, owner.RequestPermit(PermitRequest{ID: PermitRequestID{0, 3}, Server: "a", BaselineGeneration: before}, now))
	must.Eq(t, ReasonNone, owner.RequestPermit(PermitRequest{ID: PermitRequestID{0, 4}, Server: "a", BaselineGeneration: owner.Baseline().Generation}, now))
}

// TestDetectorRaisesNoAlarmAtThresholdForSingleAccount checks that failures of a single
// account raise no alarm at the threshold, but do together with failures of a second
// account.
func TestDetectorRaisesNoAlarmAtThresholdForSingleAccount(t *testing.T) {
	detector := newTestDetector(epoch)
	run := func(account fleetconfig.AccountID, result Result) {
		detector.End(detector.Begin(account, epoch.Add(time.Minute), epoch), result, epoch.Add(time.Millisecond))
	}
	failures := int(math.Ceil(detector.Threshold() / badOutcomeNats(minErrorShare)))
	for range failures + 1 {
		run("one", ResultFailed)
	}
	must.False(t, detector.Alarm())
	run("two", ResultFailed)
	run("two", ResultFailed)
	must.True(t, detector.Alarm())
}

// TestMergeBaselineFollowsServiceWideSlowdown checks that one bad server does not move
// the baseline, and that a slowdown of all servers does.
func TestMergeBaselineFollowsServiceWideSlowdown(t *testing.T) {
	summary := func(latency time.Duration) ServerSummary {
		s := ServerSummary{Status: StatusHealthy, Summary: Summary{Window: 10 * time.Second}}
		for range 100 {
			s.Summary.Latencies.Record(latency)
		}
		return s
	}
	summaries := make([]ServerSummary, 8)
	for i := range summaries {
		summaries[i] = summary(20 * time.Millisecond)
	}
	before := MergeBaseline(DefaultBaseline(), summaries)
	summaries[3] = summary(time.Second)
	must.Eq(t, before.SlowThreshold, MergeBaseline(before, summaries).SlowThreshold)
	for i := range summaries {
		summaries[i] = summary(200 * time.Millisecond)
		summaries[i].Status = StatusSuspect
	}
	must.Greater(t, 5*before.SlowThreshold, MergeBaseline(before, summaries).SlowThreshold)
}

// TestPathMonitorAvoidsAndProbesPath checks that a path is avoided after a few losses in
// a row, that the failing direction is reported, and that the path is used again after a
// successful probe.
func TestPathMonitorAvoidsAndProbesPath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var path PathMonitor
		now := epoch
		for range rapid.IntRange(0, 100).Draw(t, "responses") {
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
		must.Eq(t, PathUnresponsive, path.Status(now.Add(messageTTL)))
		path.RecordMessage(now.Add(messageTTL))
		must.Eq(t, PathOutboundFailed, path.Status(now.Add(messageTTL)))
		now = now.Add(pathBaseAvoidTime)
		must.True(t, path.Usable(now))
		path.BeginProbe(now)
		must.False(t, path.Usable(now))
		path.RecordLoss(now)
		must.False(t, path.Usable(now.Add(pathBaseAvoidTime)), must.Sprint("the avoid time must double"))
		now = now.Add(2 * pathBaseAvoidTime)
		must.True(t, path.Usable(now))
		path.RecordResponse(now)
		must.Eq(t, PathUsable, path.Status(now))
	})
}
