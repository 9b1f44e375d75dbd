package quotadriver

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/quota"
	"github.com/hemlockring/hemlockring/shard"
)

// fakeNetwork delivers calls between services in one process, encoded as on the wire.
type fakeNetwork struct {
	mu    sync.Mutex
	muxes map[string]*http.ServeMux
	down  map[string]bool
	calls atomic.Int64
	bytes atomic.Int64
}

// fakeCaller makes the calls of one instance over the fake network.
type fakeCaller struct {
	network *fakeNetwork
	self    fleetconfig.InstanceAddress
}

func (c *fakeCaller) Call(ctx context.Context, address, path string, request, reply any) error {
	c.network.mu.Lock()
	mux := c.network.muxes[address]
	down := c.network.down[address] || c.network.down[c.self.Address]
	c.network.mu.Unlock()
	if down {
		<-ctx.Done() // A disconnected instance does not answer.
		return ctx.Err()
	}
	data, err := codec.Marshal(request)
	if err != nil {
		return err
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(data))
	certificate := &x509.Certificate{Subject: pkix.Name{CommonName: string(c.self.ID)}}
	r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{certificate}}
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	c.network.calls.Add(1)
	c.network.bytes.Add(int64(len(data) + w.Body.Len()))
	if w.Code != http.StatusOK {
		return errors.Newf("status %d: %s", w.Code, w.Body)
	}
	return codec.Unmarshal(w.Body.Bytes(), reply)
}

// fleet is a number of running services on a fake network.
type fleet struct {
	network  *fakeNetwork
	services []*Service
	stops    []context.CancelFunc
	done     sync.WaitGroup
}

func fastTiming() shard.Timing {
	return shard.Timing{
		Lease:         600 * time.Millisecond,
		RenewInterval: 150 * time.Millisecond,
		RankDelay:     50 * time.Millisecond,
		RoundTimeout:  150 * time.Millisecond,
	}
}

func newFleet(tb testing.TB, count, shards int, timing shard.Timing, accounts ...fleetconfig.Account) *fleet {
	f := &fleet{network: &fakeNetwork{muxes: make(map[string]*http.ServeMux), down: make(map[string]bool)}}
	var addresses []fleetconfig.InstanceAddress
	for i := range count {
		addresses = append(addresses, fleetconfig.InstanceAddress{
			ID:            fleetconfig.InstanceID(fmt.Sprintf("instance-%d", i)),
			Address:       fmt.Sprintf("192.0.2.%d:7000", i+1),
			FailureDomain: fleetconfig.FailureDomain(fmt.Sprintf("domain-%d", i%8)),
		})
	}
	document := &fleetconfig.Document{Version: 1, Accounts: accounts, Shards: shard.InitialMap(shards, addresses)}
	view := fleetconfig.NewView(document)
	for _, address := range addresses {
		service, err := New(Config{
			Self:    address,
			Caller:  &fakeCaller{network: f.network, self: address},
			View:    func() *fleetconfig.View { return view },
			MapRead: func() bool { return true },
			Timing:  timing,
			Logger:  slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		must.NoError(tb, err)
		mux := http.NewServeMux()
		service.Register(mux)
		f.network.muxes[address.Address] = mux
		f.services = append(f.services, service)
	}
	for _, service := range f.services {
		ctx, cancel := context.WithCancel(context.Background())
		f.stops = append(f.stops, cancel)
		f.done.Go(func() { _ = service.Serve(ctx) })
	}
	tb.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		f.done.Wait()
	})
	return f
}

// kill simulates a crash: it disconnects an instance from the network, then stops it.
func (f *fleet) kill(i int) {
	f.network.mu.Lock()
	f.network.down[f.services[i].config.Self.Address] = true
	f.network.mu.Unlock()
	f.stops[i]()
}

// owner returns the index of an instance that owns exactly this number of shards, or -1.
func (f *fleet) owner(shards int) int {
	for i, service := range f.services {
		if service.OwnedShards() == shards {
			return i
		}
	}
	return -1
}

// waitFor waits until a condition is met, and fails the test after 30 seconds.
func waitFor(tb testing.TB, condition func() bool) {
	tb.Helper()
	must.Wait(tb, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond)))
}

func TestTokensOfAllInstancesStayWithinRateAndBurst(t *testing.T) {
	accounts := []fleetconfig.Account{
		{ID: "small", RatePerSecond: 50, Burst: 1},
		{ID: "large", RatePerSecond: 500, Burst: 40},
	}
	f := newFleet(t, 5, 4, fastTiming(), accounts...)
	for _, account := range accounts {
		waitFor(t, func() bool { return canAcquire(f.services[0], account.ID) })
	}
	var takers sync.WaitGroup
	for _, account := range accounts {
		count := &tokenCount{account: account, started: time.Now()}
		for _, service := range f.services {
			for range 4 {
				takers.Go(func() { count.take(t, service) })
			}
		}
	}
	takers.Wait()
}

// tokenCount checks the number of spent tokens of one account against its rate and burst.
type tokenCount struct {
	account fleetconfig.Account
	started time.Time
	spent   atomic.Int64
}

// take acquires tokens as fast as it can until all goroutines together have spent 100. It
// returns every third token.
func (c *tokenCount) take(t *testing.T, service *Service) {
	for i := 0; c.spent.Load() < 100; i++ {
		token, err := service.Acquire(context.Background(), c.account.ID)
		var refusal *quota.Refusal
		switch {
		case errors.As(err, &refusal):
			continue
		case err != nil:
			t.Errorf("acquire: %v", err)
			return
		case i%3 == 2:
			service.Return(token)
			continue
		}
		spent := c.spent.Add(1)
		service.MarkSpent(token, 0)
		bound := c.account.RatePerSecond*time.Since(c.started).Seconds() + float64(c.account.Burst)
		if float64(spent) > bound {
			t.Errorf("account %s: %d tokens spent, bound %.2f", c.account.ID, spent, bound)
			return
		}
	}
}

func TestOwnershipMovesAfterOwnerFailure(t *testing.T) {
	f := newFleet(t, 3, 1, fastTiming(), fleetconfig.Account{ID: "a", RatePerSecond: 100, Burst: 5})
	waitFor(t, func() bool { return f.owner(1) >= 0 })
	first := f.owner(1)
	other := f.services[(first+1)%3]
	waitFor(t, func() bool { return canAcquire(other, "a") })
	f.kill(first)
	causes := make(map[quota.Cause]bool)
	waitFor(t, func() bool {
		token, err := other.Acquire(context.Background(), "a")
		var refusal *quota.Refusal
		if errors.As(err, &refusal) {
			causes[refusal.Cause] = true
			must.Positive(t, refusal.RetryAfter)
		}
		second := f.owner(1)
		if err == nil {
			other.MarkSpent(token, 0)
		}
		return err == nil && second >= 0 && second != first
	})
	must.False(t, causes[quota.CauseIngressFull])
}

// canAcquire reports whether the service grants a token, which it spends.
func canAcquire(service *Service, account fleetconfig.AccountID) bool {
	token, err := service.Acquire(context.Background(), account)
	if err == nil {
		service.MarkSpent(token, 0)
	}
	return err == nil
}

func TestHandOverTransfersEveryLease(t *testing.T) {
	f := newFleet(t, 3, 6, shard.DefaultTiming(), fleetconfig.Account{ID: "a", RatePerSecond: 100, Burst: 5})
	held := func() (sum int) {
		for _, service := range f.services {
			sum += service.OwnedShards()
		}
		return sum
	}
	waitFor(t, func() bool { return held() == 6 })
	leaving := 0
	for i, service := range f.services {
		if service.OwnedShards() > 0 {
			leaving = i
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	must.NoError(t, f.services[leaving].HandOver(ctx))
	must.Zero(t, f.services[leaving].OwnedShards())
	waitFor(t, func() bool { return held() == 6 })
}

func TestAcquireReturnsWhenContextEnds(t *testing.T) {
	f := newFleet(t, 3, 1, fastTiming())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := f.services[0].Acquire(ctx, "a")
	var refusal *quota.Refusal
	must.True(t, errors.Is(err, context.Canceled) || errors.As(err, &refusal))
	for i := range f.services[0].stripes {
		must.MapEmpty(t, f.services[0].stripes[i].waiters)
	}
}
