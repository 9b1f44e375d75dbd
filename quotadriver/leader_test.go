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

// election is a control group of which at most one instance leads.
type election struct {
	leader atomic.Value // fleetconfig.InstanceID
	term   atomic.Uint64
}

func (e *election) elect(leader fleetconfig.InstanceID) {
	e.leader.Store(leader)
	e.term.Add(1)
}

// electedLeader is the election as one instance sees it.
type electedLeader struct {
	*election
	self fleetconfig.InstanceID
}

func (l electedLeader) LeaderTerm() (uint64, bool) { return l.term.Load(), l.KnownLeader() == l.self }

func (l electedLeader) KnownLeader() fleetconfig.InstanceID {
	id, _ := l.leader.Load().(fleetconfig.InstanceID)
	return id
}

// newLedFleet starts three control instances and one ingress.
func newLedFleet(t *testing.T, bridge time.Duration) (*election, *fleet) {
	t.Helper()
	f := &fleet{network: &fakeNetwork{muxes: make(map[string]*http.ServeMux), down: make(map[string]bool)}}
	votes := &election{}
	var hosts []fleetconfig.InstanceAddress
	for i := range 3 {
		hosts = append(hosts, fleetconfig.InstanceAddress{ID: fleetconfig.InstanceID(fmt.Sprintf("control-%d", i)), Address: fmt.Sprintf("192.0.2.%d:7000", i+1)})
	}
	document := fleetconfig.NewDocument()
	document.Version = 1
	document.Accounts = []fleetconfig.Account{{ID: "acme", RatePerSecond: 1000, Burst: 1000}}
	for i := range document.Presets {
		document.Presets[i].QuotaGracePeriod = bridge
	}
	view := fleetconfig.NewView(document)
	for i, self := range append(hosts, fleetconfig.InstanceAddress{ID: "ingress", Address: "192.0.2.9:7000"}) {
		config := Config{
			Self:         self,
			Caller:       &fakeCaller{network: f.network, self: self},
			View:         func() *fleetconfig.View { return view },
			ControlOwner: &ControlOwner{Instances: func() []fleetconfig.InstanceAddress { return hosts }},
			Logger:       slog.New(slog.DiscardHandler),
		}
		if i < len(hosts) {
			config.ControlOwner.Leadership = electedLeader{election: votes, self: self.ID}
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
	return votes, f
}

// untilGranted waits until the ingress gets a token.
func untilGranted(t *testing.T, ingress *Service) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		_, err := ingress.Acquire(context.Background(), "acme")
		return err == nil
	})))
}

// Whoever leads control lends, and the next leader takes over. Meanwhile requests
// are refused at once once the loss is known, and never as over their rate.
func TestTheLeaderOfControlLends(t *testing.T) {
	votes, f := newLedFleet(t, 0)
	ingress := f.services[3]
	votes.elect("control-1")
	untilGranted(t, ingress)
	votes.elect("")
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
	votes.elect("control-2")
	untilGranted(t, ingress)
}

// With a bridge, an ingress goes on while nobody leads, and also after every control
// instance has fallen silent.
func TestRequestsAreBridgedWhileNobodyLeads(t *testing.T) {
	votes, f := newLedFleet(t, time.Minute)
	ingress := f.services[3]
	votes.elect("control-0")
	for range 200 {
		untilGranted(t, ingress)
	}
	votes.elect("")
	untilGranted(t, ingress)
	for i := range 3 {
		f.kill(i)
	}
	// The ingress goes on at its recent rate, about 200 a second here, so that it takes
	// some time and not some requests until fifty have passed.
	passed := 0
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(time.Millisecond), wait.BoolFunc(func() bool {
		if _, err := ingress.Acquire(context.Background(), "acme"); err == nil {
			passed++
		}
		return passed >= 50
	})))
}

// The leader hears of an ingress while that uses tokens and once more, as idle, when it
// stops.
func TestTheLeaderHearsOfIngressesThatUseTokens(t *testing.T) {
	votes, f := newLedFleet(t, time.Minute)
	ingress := f.services[3]
	votes.elect("control-0")
	untilGranted(t, ingress)
	calls := make(chan bool, 1000)
	mux := http.NewServeMux()
	transport.HandleCall(mux, pathBorrow, func(_ context.Context, _ fleetconfig.InstanceID, batch *BorrowBatch) (*BorrowReplies, error) {
		for i := range batch.Requests {
			calls <- batch.Requests[i].Idle
		}
		return f.services[0].borrow("ingress", batch), nil
	})
	f.network.mu.Lock()
	f.network.muxes[f.services[0].config.Self.Address] = mux
	f.network.mu.Unlock()
	for range 3 {
		must.False(t, <-calls) // Nobody acquires: these keep contact.
	}
	must.NoError(t, ingress.HandOver(context.Background()))
	for idle := false; !idle; {
		idle = <-calls
	}
}
