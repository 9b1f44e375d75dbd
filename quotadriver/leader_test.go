package quotadriver

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/quota"
	"github.com/hemlockring/hemlockring/transport"
)

// controlGroup is a control group with at most one leader, which the test elects.
type controlGroup struct {
	instances []fleetconfig.InstanceAddress
	leader    atomic.Value // fleetconfig.InstanceAddress
	term      atomic.Uint64
}

func (g *controlGroup) elect(leader fleetconfig.InstanceID) {
	elected := fleetconfig.InstanceAddress{ID: leader}
	for _, instance := range g.instances {
		if instance.ID == leader {
			elected = instance
		}
	}
	g.leader.Store(elected)
	g.term.Add(1)
}

// groupMember implements Leadership for one instance of a controlGroup.
type groupMember struct {
	*controlGroup
	self fleetconfig.InstanceID
}

func (m groupMember) LeaderTerm() (uint64, bool) {
	return m.term.Load(), m.KnownLeader().ID == m.self
}

func (m groupMember) KnownLeader() fleetconfig.InstanceAddress {
	leader, _ := m.leader.Load().(fleetconfig.InstanceAddress)
	return leader
}

// newControlOwnedFleet starts three control instances and, as the last service, one
// ingress. The leader of control owns all accounts.
func newControlOwnedFleet(t *testing.T, gracePeriod time.Duration) (*controlGroup, *fleet) {
	return newFleetWithControlAlive(t, gracePeriod, 3)
}

// newFleetWithControlAlive is like newControlOwnedFleet, but the ingress takes all control
// instances from the given one on for dead.
func newFleetWithControlAlive(t *testing.T, gracePeriod time.Duration, alive int) (*controlGroup, *fleet) {
	t.Helper()
	f := &fleet{network: &fakeNetwork{muxes: make(map[string]*http.ServeMux), down: make(map[string]bool)}}
	group := &controlGroup{}
	var controlInstances []fleetconfig.InstanceAddress
	for i := range 3 {
		controlInstances = append(controlInstances, fleetconfig.InstanceAddress{ID: fleetconfig.InstanceID(fmt.Sprintf("control-%d", i)), Address: fmt.Sprintf("192.0.2.%d:7000", i+1)})
	}
	group.instances = controlInstances
	document := fleetconfig.NewDocument()
	document.Version = 1
	document.Accounts = []fleetconfig.Account{{ID: "acme", RatePerSecond: 1000, Burst: 1000}}
	for i := range document.Presets {
		document.Presets[i].QuotaGracePeriod = gracePeriod
	}
	view := fleetconfig.NewView(document)
	for i, self := range append(controlInstances, fleetconfig.InstanceAddress{ID: "ingress", Address: "192.0.2.9:7000"}) {
		config := Config{
			Self:         self,
			Caller:       &fakeCaller{network: f.network, self: self},
			View:         func() *fleetconfig.View { return view },
			ControlOwner: &ControlOwner{Instances: func() []fleetconfig.InstanceAddress { return controlInstances }},
			Logger:       slog.New(slog.DiscardHandler),
		}
		if i == len(controlInstances) {
			config.ControlOwner.Instances = func() []fleetconfig.InstanceAddress { return controlInstances[:alive] }
		} else {
			config.ControlOwner.Leadership = groupMember{controlGroup: group, self: self.ID}
		}
		service, err := New(config)
		must.NoError(t, err)
		mux := http.NewServeMux()
		service.Register(mux)
		f.network.muxes[self.Address] = mux
		f.services = append(f.services, service)
		ctx, cancel := context.WithCancel(context.Background())
		f.done.Go(func() { _ = service.Serve(ctx) })
		f.stops = append(f.stops, cancel)
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		f.done.Wait()
	})
	return group, f
}

// waitForToken waits until the ingress gets a token.
func waitForToken(t *testing.T, ingress *Service) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		_, err := ingress.Acquire(context.Background(), "acme")
		return err == nil
	})))
}

// The leader of control lends tokens, also after another leader is elected. While there is
// no leader, requests are refused with CauseOwnerUnknown. Once the ingress knows that there
// is no leader, they are refused in less than quota.AttemptTimeout.
func TestControlLeaderLendsTokens(t *testing.T) {
	group, f := newControlOwnedFleet(t, 0)
	ingress := f.services[3]
	group.elect("control-1")
	waitForToken(t, ingress)
	group.elect("")
	var refusal *quota.Refusal
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		_, err := ingress.Acquire(context.Background(), "acme")
		return errors.As(err, &refusal)
	})))
	must.Eq(t, quota.CauseOwnerUnknown, refusal.Cause)
	began := time.Now()
	_, err := ingress.Acquire(context.Background(), "acme")
	must.Error(t, err)
	must.Less(t, quota.AttemptTimeout, time.Since(began))
	group.elect("control-2")
	waitForToken(t, ingress)
}

// Guards against requests that are refused while control names a quota owner that membership still takes for dead.
func TestOwnerThatMembershipTakesForDeadIsAsked(t *testing.T) {
	group, f := newFleetWithControlAlive(t, 0, 2)
	group.elect("control-2")
	waitForToken(t, f.services[3])
}

// Guards against waits for a dead owner that control still names: requests are refused as soon as the owner has not responded once.
func TestDeadOwnerThatControlNamesIsAvoided(t *testing.T) {
	group, f := newFleetWithControlAlive(t, 0, 2)
	group.elect("control-2")
	f.kill(2)
	var refusal *quota.Refusal
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		began := time.Now()
		_, err := f.services[3].Acquire(context.Background(), "acme")
		return errors.As(err, &refusal) && refusal.Cause == quota.CauseOwnerUnreachable && time.Since(began) < quota.AttemptTimeout
	})))
	group.elect("control-1")
	waitForToken(t, f.services[3])
}

// With a grace period, the ingress continues to grant tokens while there is no leader, and
// also after all control instances have stopped.
func TestFallbackAllowsRequestsWithoutLeader(t *testing.T) {
	group, f := newControlOwnedFleet(t, time.Minute)
	ingress := f.services[3]
	group.elect("control-0")
	for range 200 {
		waitForToken(t, ingress)
	}
	group.elect("")
	waitForToken(t, ingress)
	for i := range 3 {
		f.kill(i)
	}
	// The fallback limiter allows the recent rate of about 200 requests per second, so the
	// test retries for some time until fifty are granted.
	granted := 0
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(time.Millisecond), wait.BoolFunc(func() bool {
		if _, err := ingress.Acquire(context.Background(), "acme"); err == nil {
			granted++
		}
		return granted >= 50
	})))
}

// An ingress that has used tokens sends keep-alives to the leader, and one more with Idle
// set when it stops.
func TestIngressSendsKeepAlivesWhileItUsesTokens(t *testing.T) {
	group, f := newControlOwnedFleet(t, time.Minute)
	ingress := f.services[3]
	group.elect("control-0")
	waitForToken(t, ingress)
	calls := make(chan bool, 1000)
	mux := http.NewServeMux()
	transport.HandleCall(mux, pathBorrow, func(_ context.Context, _ fleetconfig.InstanceID, batch *BorrowBatch) (*BorrowReplies, error) {
		for i := range batch.Requests {
			calls <- batch.Requests[i].Idle
		}
		return f.services[0].lend("ingress", batch), nil
	})
	f.network.mu.Lock()
	f.network.muxes[f.services[0].config.Self.Address] = mux
	f.network.mu.Unlock()
	for range 3 {
		must.False(t, <-calls) // There is no Acquire meanwhile, so these are keep-alives.
	}
	must.NoError(t, ingress.HandOver(context.Background()))
	for idle := false; !idle; {
		idle = <-calls
	}
}

// Control hands the leadership over only in a later step of the stop.
func TestHandOverOnLeaderDoesNotWaitForItsSuccessor(t *testing.T) {
	group, f := newControlOwnedFleet(t, time.Minute)
	group.elect("control-0")
	waitForToken(t, f.services[3])
	must.Positive(t, f.services[0].OwnedShards())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	must.NoError(t, f.services[0].HandOver(ctx))
}
