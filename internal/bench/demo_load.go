package bench

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/emulator"
	"github.com/hemlockring/hemlockring/internal/testbed"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// demoRequestInterval is the time between two requests of one caller.
	demoRequestInterval = 20 * time.Millisecond
	// callersPerAccount is the number of callers of each account.
	callersPerAccount = 4
	// requestsPerOrder makes one in this many requests an order.
	requestsPerOrder = 3
	// maxOrderAttempts is the maximum number of times that a caller sends an order.
	maxOrderAttempts = 40
	// orderRetryDelay is the time between two attempts of an order.
	orderRetryDelay = 300 * time.Millisecond
)

// demoAccount is a client account of the demonstration.
type demoAccount struct {
	id    fleetconfig.AccountID
	rate  float64
	burst uint32
}

// demoAccounts are the accounts of the demonstration. The callers of each account send
// 200 requests per second in total. The second account's rate is a fifth of that; the
// last account's key is withdrawn.
var demoAccounts = []demoAccount{
	{id: "orchard-hrabina", rate: 400, burst: 100},
	{id: "greedy-nursery", rate: 40, burst: 20},
	{id: "park-crews", rate: 400, burst: 100},
	{id: "leaving-account", rate: 400, burst: 100},
}

func (a *demoAccount) key() string { return "demo-key-of-" + string(a.id) }

// demoChanges returns the configuration of the demonstration.
func demoChanges() []fleetconfig.Change {
	service := &fleetconfig.Service{Name: demoService, FloorPercent: 50}
	route := &fleetconfig.Route{ID: "all", PathPrefix: "/", Service: demoService, Timeout: 5 * time.Second}
	changes := []fleetconfig.Change{
		{Kind: fleetconfig.CreateService, Service: service},
		{Kind: fleetconfig.CreateRoute, Route: route},
	}
	for _, account := range demoAccounts {
		key := &fleetconfig.Key{Hash: fleetconfig.HashKey(account.key()), Account: account.id, Label: "demonstration"}
		changes = append(changes,
			fleetconfig.Change{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: account.id, RatePerSecond: account.rate, Burst: account.burst}},
			fleetconfig.Change{Kind: fleetconfig.GiveKey, Key: key})
	}
	return changes
}

// accountCounts counts the responses to the callers of an account.
type accountCounts struct {
	served   int
	overRate int
	// refused counts the responses with another status than the other fields.
	refused int
	// rejected counts the requests whose key was rejected, with status 401.
	rejected   int
	lastServed time.Time
}

// demoLoad runs the callers of the demonstration and records their observations.
type demoLoad struct {
	fleet   *testbed.Fleet
	client  *http.Client
	cancel  context.CancelFunc
	group   sync.WaitGroup
	started time.Time

	mu       sync.Mutex
	accounts map[fleetconfig.AccountID]*accountCounts
	// interrupted counts the requests to each instance that got no complete response.
	interrupted map[int]int
	// notRun holds the ids of requests that were reported as not run.
	notRun map[string]bool
	// answered holds the orders that were answered with status 200.
	answered map[string]bool
	// ordersSent counts the orders sent.
	ordersSent int
}

func startDemoLoad(ctx context.Context, fleet *testbed.Fleet) *demoLoad {
	ctx, cancel := context.WithCancel(ctx)
	load := &demoLoad{
		fleet:       fleet,
		client:      newLoadClient(len(demoAccounts) * callersPerAccount),
		cancel:      cancel,
		started:     time.Now(),
		accounts:    make(map[fleetconfig.AccountID]*accountCounts),
		interrupted: make(map[int]int),
		notRun:      make(map[string]bool),
		answered:    make(map[string]bool),
	}
	for i := range demoAccounts {
		account := &demoAccounts[i]
		load.accounts[account.id] = &accountCounts{}
		for caller := range callersPerAccount {
			load.group.Go(func() { load.runCaller(ctx, account, caller) })
		}
	}
	return load
}

// stop stops the load. Orders that have been started are completed.
func (l *demoLoad) stop() {
	l.cancel()
	l.group.Wait()
	l.client.CloseIdleConnections()
}

// runCaller sends lookups and orders until ctx ends, each request through the next
// instance.
func (l *demoLoad) runCaller(ctx context.Context, account *demoAccount, caller int) {
	next := time.Now()
	for sequence := caller; sleepUntil(ctx, next); sequence++ {
		next = next.Add(demoRequestInterval)
		if now := time.Now(); next.Before(now) {
			next = now
		}
		if sequence%requestsPerOrder == 0 {
			l.placeOrder(account, sequence)
			continue
		}
		l.send(account, sequence, http.MethodGet, "")
	}
}

// placeOrder sends an order with an Idempotency-Key and retries it through other
// instances until it is served, its key is rejected or the account is over its rate.
func (l *demoLoad) placeOrder(account *demoAccount, sequence int) {
	order := uuid.NewString()
	l.mu.Lock()
	l.ordersSent++
	l.mu.Unlock()
	for attempt := range maxOrderAttempts {
		status := l.send(account, sequence+attempt, http.MethodPost, order)
		if status == http.StatusOK {
			l.mu.Lock()
			l.answered[order] = true
			l.mu.Unlock()
			return
		}
		if status == http.StatusUnauthorized || status == http.StatusTooManyRequests {
			return
		}
		time.Sleep(orderRetryDelay)
	}
}

// send sends one request and returns the status, or 0 if there is no complete
// response.
func (l *demoLoad) send(account *demoAccount, sequence int, method, order string) int {
	instance := sequence % len(l.fleet.Layout.Instances)
	url := "http://" + l.fleet.Layout.Instances[instance].CallerAddress + "/lookup"
	request, err := http.NewRequest(method, url, strings.NewReader(order))
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+account.key())
	if order != "" {
		request.Header.Set(pipeline.HeaderIdempotencyKey, order)
		request.Header.Set(emulator.HeaderOrder, order)
	}
	response, err := l.client.Do(request)
	if err != nil {
		l.recordInterrupted(instance, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		l.recordInterrupted(instance, err)
		return 0
	}
	l.recordResponse(account, response)
	return response.StatusCode
}

// recordInterrupted counts a request that got no complete response. A refused connection
// does not count, because the request was not sent.
func (l *demoLoad) recordInterrupted(instance int, err error) {
	if strings.Contains(err.Error(), "connection refused") {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interrupted[instance]++
}

func (l *demoLoad) recordResponse(account *demoAccount, response *http.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.accounts[account.id]
	if response.Header.Get(pipeline.HeaderOutcome) == pipeline.OutcomeNotRun.String() {
		l.notRun[response.Header.Get(pipeline.HeaderRequestID)] = true
	}
	switch response.StatusCode {
	case http.StatusOK:
		counts.served++
		counts.lastServed = time.Now()
	case http.StatusUnauthorized:
		counts.rejected++
	case http.StatusTooManyRequests:
		counts.overRate++
	default:
		counts.refused++
	}
}

func (l *demoLoad) lastServed(account fleetconfig.AccountID) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accounts[account].lastServed
}

func (l *demoLoad) rejected(account fleetconfig.AccountID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accounts[account].rejected
}

func (l *demoLoad) interruptedRequests(instance int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interrupted[instance]
}
