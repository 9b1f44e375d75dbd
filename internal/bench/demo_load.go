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
	// demoPace is the time between two requests of one caller.
	demoPace = 20 * time.Millisecond
	// callersPerAccount is how many callers each account has.
	callersPerAccount = 4
	// orderEvery is one in how many requests that is an order.
	orderEvery = 3
	// maxOrderTries bounds how often a caller sends an order again.
	maxOrderTries = 40
	// orderPause is the longest pause before an order is sent again.
	orderPause = 300 * time.Millisecond
)

// demoAccount is a client account of the demonstration.
type demoAccount struct {
	id    fleetconfig.AccountID
	rate  float64
	burst uint32
}

// demoAccounts are the accounts. Together the callers of one send 200 requests a
// second; the second account's rate is a fifth of that.
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

// accountTally is what the callers of an account have heard.
type accountTally struct {
	served     int
	overRate   int
	refused    int
	rejected   int
	lastServed time.Time
}

// demoLoad is the callers of the demonstration and what they have heard.
type demoLoad struct {
	fleet  *testbed.Fleet
	client *http.Client
	cancel context.CancelFunc
	group  sync.WaitGroup
	began  time.Time

	mu       sync.Mutex
	accounts map[fleetconfig.AccountID]*accountTally
	// cut counts the connections to each instance that broke off.
	cut map[int]int
	// notRun holds the request ids of answers that said "not run".
	notRun map[string]bool
	// answered holds the orders that got an answer.
	answered map[string]bool
	// orders counts the orders sent.
	orders int
}

func startDemoLoad(ctx context.Context, fleet *testbed.Fleet) *demoLoad {
	ctx, cancel := context.WithCancel(ctx)
	load := &demoLoad{
		fleet:    fleet,
		client:   newLoadClient(len(demoAccounts) * callersPerAccount),
		cancel:   cancel,
		began:    time.Now(),
		accounts: make(map[fleetconfig.AccountID]*accountTally),
		cut:      make(map[int]int),
		notRun:   make(map[string]bool),
		answered: make(map[string]bool),
	}
	for i := range demoAccounts {
		account := &demoAccounts[i]
		load.accounts[account.id] = &accountTally{}
		for caller := range callersPerAccount {
			load.group.Go(func() { load.caller(ctx, account, caller) })
		}
	}
	return load
}

// stop ends the load. Callers finish the orders that they have begun.
func (l *demoLoad) stop() {
	l.cancel()
	l.group.Wait()
	l.client.CloseIdleConnections()
}

// caller sends lookups and orders, each through the next instance.
func (l *demoLoad) caller(ctx context.Context, account *demoAccount, number int) {
	next := time.Now()
	for turn := number; sleepUntil(ctx, next); turn++ {
		next = next.Add(demoPace)
		if now := time.Now(); next.Before(now) {
			next = now
		}
		if turn%orderEvery == 0 {
			l.placeOrder(account, turn)
			continue
		}
		l.send(account, turn, http.MethodGet, "")
	}
}

// placeOrder sends an order with an Idempotency-Key again, through other
// instances, until its outcome is known.
func (l *demoLoad) placeOrder(account *demoAccount, turn int) {
	order := uuid.NewString()
	l.mu.Lock()
	l.orders++
	l.mu.Unlock()
	for try := range maxOrderTries {
		status := l.send(account, turn+try, http.MethodPost, order)
		if status == http.StatusOK {
			l.mu.Lock()
			l.answered[order] = true
			l.mu.Unlock()
			return
		}
		if status == http.StatusUnauthorized || status == http.StatusTooManyRequests {
			return
		}
		time.Sleep(orderPause)
	}
}

// send sends one request and returns the status, or 0 when the connection broke
// off or could not be made.
func (l *demoLoad) send(account *demoAccount, turn int, method, order string) int {
	instance := turn % len(l.fleet.Layout.Instances)
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
		l.noteBroken(instance, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		l.noteBroken(instance, err)
		return 0
	}
	l.note(account, response)
	return response.StatusCode
}

// noteBroken counts a request that was cut off. One that found no listener was
// never begun.
func (l *demoLoad) noteBroken(instance int, err error) {
	if strings.Contains(err.Error(), "connection refused") {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[instance]++
}

func (l *demoLoad) note(account *demoAccount, response *http.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tally := l.accounts[account.id]
	if response.Header.Get(pipeline.HeaderOutcome) == pipeline.OutcomeNotRun.String() {
		l.notRun[response.Header.Get(pipeline.HeaderRequestID)] = true
	}
	switch response.StatusCode {
	case http.StatusOK:
		tally.served++
		tally.lastServed = time.Now()
	case http.StatusUnauthorized:
		tally.rejected++
	case http.StatusTooManyRequests:
		tally.overRate++
	default:
		tally.refused++
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

func (l *demoLoad) cutOff(instance int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[instance]
}
