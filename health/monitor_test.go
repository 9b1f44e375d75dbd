package health

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// TestBackoffDoublesAndDecays checks that each ejection soon after another doubles the
// ejection time up to its maximum, and that time without ejections undoes doublings.
func TestBackoffDoublesAndDecays(t *testing.T) {
	policy := PolicyForPreset(&fleetconfig.Preset{})
	var b backoff
	now := epoch
	for _, seconds := range []int{5, 10, 20, 40, 80, 160, 320, 600, 600} {
		must.Eq(t, time.Duration(seconds)*time.Second, b.nextDuration(&policy, now))
		now = now.Add(time.Minute)
	}
	must.Eq(t, 320*time.Second, b.nextDuration(&policy, now.Add(policy.BackoffDecayInterval)))
	must.Eq(t, policy.BaseEjectionTime, b.nextDuration(&policy, now.Add(24*time.Hour)))
}

func BenchmarkMonitorRequest(b *testing.B) {
	monitor := NewMonitor("instance", "server", 7, PolicyForPreset(&fleetconfig.Preset{EjectionEnabled: true}), 1, epoch)
	accounts := []fleetconfig.AccountID{"a", "b", "c", "d"}
	now := epoch
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		token := monitor.Begin(accounts[i%4], now.Add(time.Second), now)
		monitor.End(token, ResultOK, now.Add(20*time.Millisecond))
	}
}

// BenchmarkReport measures one report to the owner of a service with 22 servers: the
// encoding of the report, which contains a summary, and of the reply, the handling by the
// owner, and the report's share of the baseline updates. The metric B/report is the
// encoded size of report and reply in bytes.
func BenchmarkReport(b *testing.B) {
	owner := NewPermitOwner(Floor{Percent: 50}, DefaultPermitTTL, 1, epoch)
	detector := NewDetector(DefaultServerDaysPerFalseEjection, 0, epoch)
	now := epoch
	for i := range 200 {
		token := detector.Begin("a", now.Add(time.Second), now)
		detector.End(token, ResultOK, now.Add(time.Duration(i)*time.Millisecond/4))
	}
	const servers = 22
	summary := detector.Summary(now)
	size := 0
	i := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		now = now.Add(time.Second / servers)
		report := Report{
			Instance: "instance-00", Server: fleetconfig.BackendServerID(rune('a' + i%servers)),
			Incarnation: 1, Sequence: i, Slots: 7, Status: StatusHealthy, Summary: summary,
		}
		data, err := codec.Marshal(report)
		must.NoError(b, err)
		reply, err := codec.Marshal(owner.HandleReport(report, now))
		must.NoError(b, err)
		size = len(data) + len(reply)
	}
	b.ReportMetric(float64(size), "B/report")
}

// TestMonitorAcceptsGrantUntilTimeout checks that a grant is accepted until grantTimeout,
// and that the monitor sends no second request until then. A second request would
// invalidate the reply to the first.
func TestMonitorAcceptsGrantUntilTimeout(t *testing.T) {
	monitor := NewMonitor("instance", "server", 7, PolicyForPreset(&fleetconfig.Preset{EjectionEnabled: true}), 1, epoch)
	for i := range 20 {
		token := monitor.Begin(accountName(i%3), epoch.Add(time.Minute), epoch)
		monitor.End(token, ResultFailed, epoch)
	}
	var requests []PermitRequest
	now := epoch
	for ; now.Before(epoch.Add(grantTimeout)); now = now.Add(50 * time.Millisecond) {
		for _, action := range monitor.Tick(now) {
			if request, ok := action.(RequestPermit); ok {
				requests = append(requests, request.Request)
			}
		}
	}
	must.Len(t, 1, requests)
	monitor.HandleGrant(requests[0].ID, now)
	must.Eq(t, StateEjected, monitor.State())
}
