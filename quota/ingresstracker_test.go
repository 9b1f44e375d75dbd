package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/simnet"
	"github.com/hemlockring/hemlockring/shard"
)

// partitionedFleet is one owner and its ingresses, some of which are partitioned from it.
// Requests of one account arrive at random ingresses.
type partitionedFleet struct {
	random        *rand.Rand
	now           time.Time
	view          *fleetconfig.View
	lender        *Lender
	limiters      []*FallbackLimiter
	unreachable   int // this many ingresses, from the first one, cannot reach the owner
	nextGrant     GrantID
	lastKeepAlive time.Time
}

const maxFallback = 3 * time.Second

func newPartitionedFleet(ingresses int, limits Limits) *partitionedFleet {
	document := &fleetconfig.Document{
		Version:      1,
		Accounts:     []fleetconfig.Account{{ID: "acme", RatePerSecond: limits.RatePerSecond, Burst: limits.Burst}},
		Presets:      []fleetconfig.Preset{{Name: "bridged", QuotaGracePeriod: maxFallback, QuotaSlack: limits.Slack}},
		ActivePreset: "bridged",
	}
	f := &partitionedFleet{random: rand.New(rand.NewPCG(3, 4)), now: simnet.StartTime, view: fleetconfig.NewView(document), lender: NewLender()}
	f.lender.SingleShard = true
	f.lender.ApplyConfig(f.view, f.now)
	for range ingresses {
		f.limiters = append(f.limiters, NewFallbackLimiter())
	}
	return f
}

func (f *partitionedFleet) call(ingress int, request *BorrowRequest) *BorrowReply {
	lease := shard.Lease{Holder: shard.Holder{Instance: "owner", Term: 1}, ExpiresAt: f.now.Add(time.Hour)}
	return f.lender.Borrow(lease, fleetconfig.InstanceID(fmt.Sprint(ingress)), request, f.now)
}

// admit reports whether a request at an ingress may run.
func (f *partitionedFleet) admit(ingress int) bool {
	limits := LimitsOf(f.view, "acme")
	if ingress < f.unreachable {
		return f.limiters[ingress].Allow("acme", limits, maxFallback, f.now)
	}
	f.nextGrant++
	reply := f.call(ingress, &BorrowRequest{TokenRequests: []TokenRequest{{Account: "acme", Grant: f.nextGrant, Waiting: 1}}})
	if reply.Grants[0].Count == 0 {
		f.limiters[ingress].RecordRefused("acme", f.now)
		return false
	}
	f.limiters[ingress].RecordGranted("acme", limits, f.now)
	f.call(ingress, &BorrowRequest{Reports: []UsageReport{{Account: "acme", Grant: f.nextGrant, Spent: 1}}})
	return true
}

// run offers requests at the given rate and returns when the admitted ones ran.
func (f *partitionedFleet) run(perSecond float64, length time.Duration) []time.Time {
	var ran []time.Time
	end := f.now.Add(length)
	for f.now.Before(end) {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		if f.now.Sub(f.lastKeepAlive) >= KeepAliveInterval {
			f.lastKeepAlive = f.now
			for i := f.unreachable; i < len(f.limiters); i++ {
				f.call(i, &BorrowRequest{})
			}
		}
		if f.admit(f.random.IntN(len(f.limiters))) {
			ran = append(ran, f.now)
		}
	}
	return ran
}

// maxWithin returns the largest number of events in any interval of the given length.
func maxWithin(events []time.Time, length time.Duration) int {
	most, first := 0, 0
	for i, at := range events {
		for at.Sub(events[first]) > length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// An account that sends more than its rate on both sides of a partition stays within 1.1
// times its limit, plus twenty requests, over any five seconds.
func TestPartitionedAccountStaysWithinLimitUnderOverload(t *testing.T) {
	const window = 5 * time.Second
	for _, rate := range []float64{7, 34, 64, 100} {
		for _, unreachable := range []int{4, 10, 20, 30, 38} {
			limits := Limits{RatePerSecond: rate, Burst: uint32(rate), Slack: 8}
			fleet := newPartitionedFleet(40, limits)
			fleet.run(rate/1.6, 20*time.Second)
			ran := fleet.run(8*rate, 3*time.Second)
			fleet.unreachable = unreachable
			ran = append(ran, fleet.run(8*rate, 6*time.Second)...)
			allowed := 1.1*(rate*window.Seconds()+rate) + 20
			if most := maxWithin(ran, window); float64(most) > allowed {
				t.Errorf("rate %g, %d of 40 ingresses unreachable: %d requests ran in 5 s, allowed %.0f", rate, unreachable, most, allowed)
			}
		}
	}
}

// Nothing is reserved before any ingress has called, and a reservation ends when the
// fallback of the silent ingresses can no longer be active.
func TestReservedShareCountsSilentIngresses(t *testing.T) {
	now := simnet.StartTime
	tracker := newIngressTracker()
	must.Zero(t, tracker.reservedShare(maxFallback, now))
	for i := range 10 {
		tracker.recordCall(fleetconfig.InstanceID(fmt.Sprint(i)), now)
	}
	now = now.Add(ingressTimeout)
	must.Zero(t, tracker.reservedShare(maxFallback, now))
	tracker.recordCall("0", now)
	now = now.Add(ingressTimeout)
	must.Eq(t, maxReservedShare, tracker.reservedShare(maxFallback, now))
	for i := range 8 {
		tracker.recordCall(fleetconfig.InstanceID(fmt.Sprint(i)), now)
	}
	now = now.Add(reserveInterval)
	must.Eq(t, 0.2, tracker.reservedShare(maxFallback, now))
	for i := range 8 {
		tracker.recordCall(fleetconfig.InstanceID(fmt.Sprint(i)), now.Add(maxFallback))
	}
	must.Zero(t, tracker.reservedShare(maxFallback, now.Add(maxFallback)))
}

// An ingress that has announced that it is idle has no share reserved when it stops
// calling. It counts again once it calls without being idle.
func TestReservedShareIgnoresIdleIngresses(t *testing.T) {
	fleet := newPartitionedFleet(4, Limits{RatePerSecond: 10, Burst: 10})
	for i := range 4 {
		fleet.call(i, &BorrowRequest{Idle: i < 2})
	}
	fleet.now = fleet.now.Add(2 * ingressTimeout)
	fleet.call(3, &BorrowRequest{})
	must.Eq(t, 0.5, fleet.lender.reservedShare(fleet.now)) // Ingresses 0 and 1 are idle, 2 is silent, 3 has just called.
	fleet.call(0, &BorrowRequest{})
	fleet.call(2, &BorrowRequest{})
	fleet.now = fleet.now.Add(2 * ingressTimeout)
	fleet.call(2, &BorrowRequest{})
	fleet.call(3, &BorrowRequest{})
	fleet.now = fleet.now.Add(reserveInterval)
	must.Eq(t, 1.0/3, fleet.lender.reservedShare(fleet.now))
}
