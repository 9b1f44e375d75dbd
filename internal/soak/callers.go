package soak

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
	// callerPace is the time between two requests of one caller.
	callerPace = 40 * time.Millisecond
	// callersPerAccount is how many callers each account has. Every second one connects
	// through the relay.
	callersPerAccount = 4
	// orderEvery is one in how many requests that is an order.
	orderEvery = 3
	// maxOrderTries and orderPause say how a caller repeats an order.
	maxOrderTries = 20
	orderPause    = 300 * time.Millisecond
	// callerTimeout bounds a request of a caller; routes end after 5 s.
	callerTimeout = 15 * time.Second
)

// account is a client account of the load.
type account struct {
	id    fleetconfig.AccountID
	rate  float64
	burst uint32
}

// steady and pressing are the accounts that stay. The callers of each send 100 requests
// a second together.
var (
	steady   = account{id: "steady", rate: 1000, burst: 500}
	pressing = account{id: "pressing", rate: 20, burst: 10}
)

func (a *account) key() string { return "soak-key-of-" + string(a.id) }

// served is one request that was answered with success.
type served struct{ sent, ended time.Time }

// heard is what the callers have heard. It is safe for concurrent use.
type heard struct {
	mu sync.Mutex
	// served are the answered requests of each account.
	served map[fleetconfig.AccountID][]served
	// notRun are the ids of requests that were said to be not run.
	notRun map[string]bool
	// answered are the orders that got an answer.
	answered map[string]bool
	orders   int
	// cut are requests on direct connections that broke off before an answer.
	cut []brokenOff
	// failed are the lookups of the steady account that were not served.
	failed []failure
	// unwhole are answers that looked whole and were not.
	unwhole []string
}

// brokenOff is a request whose connection broke off.
type brokenOff struct {
	instance    int
	sent, ended time.Time
}

// failure is a lookup that was not served.
type failure struct {
	sent   time.Time
	status int
	text   string
}

func newHeard() *heard {
	return &heard{served: make(map[fleetconfig.AccountID][]served), notRun: make(map[string]bool), answered: make(map[string]bool)}
}

// callers send the load.
type callers struct {
	*heard
	// direct and relayed are the callers' addresses of the instances.
	direct, relayed []string
	client          *http.Client
	group           sync.WaitGroup
}

func newCallers(direct, relayed []string) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: callersPerAccount * 4}
	return &callers{
		heard:   newHeard(),
		direct:  direct,
		relayed: relayed,
		client:  &http.Client{Timeout: callerTimeout, Transport: transport},
	}
}

// start starts the callers of an account, until ctx ends. Orders that have begun are
// finished.
func (c *callers) start(ctx context.Context, account *account) {
	for number := range callersPerAccount {
		c.group.Go(func() {
			for turn := number; testbed.Sleep(ctx, callerPace); turn++ {
				if turn%orderEvery == 0 {
					c.placeOrder(account, number, turn)
				} else {
					c.send(account, number, turn, http.MethodGet, "")
				}
			}
		})
	}
}

// placeOrder sends an order, again through other instances until it is answered.
func (c *callers) placeOrder(account *account, caller, turn int) {
	order := uuid.NewString()
	c.mu.Lock()
	c.orders++
	c.mu.Unlock()
	for try := range maxOrderTries {
		switch c.send(account, caller, turn+try, http.MethodPost, order) {
		case http.StatusOK, http.StatusUnauthorized, http.StatusTooManyRequests:
			return
		}
		time.Sleep(orderPause)
	}
}

// send sends one request and returns its status, or 0 without an answer.
func (c *callers) send(account *account, caller, turn int, method, order string) int {
	instance := turn % len(c.direct)
	address, isDirect := c.relayed[instance], caller%2 == 0
	if isDirect {
		address = c.direct[instance]
	}
	request, err := http.NewRequest(method, "http://"+address+"/lookup", strings.NewReader(order))
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+account.key())
	if order != "" {
		request.Header.Set(pipeline.HeaderIdempotencyKey, order)
		request.Header.Set(emulator.HeaderOrder, order)
	}
	sent := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		if isDirect && !strings.Contains(err.Error(), "connection refused") {
			c.mu.Lock()
			c.cut = append(c.cut, brokenOff{instance: instance, sent: sent, ended: time.Now()})
			c.mu.Unlock()
		}
		c.missed(account, method, sent, 0, err.Error())
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		// The answer is visibly broken off.
		c.missed(account, method, sent, response.StatusCode, err.Error())
		return 0
	}
	c.note(account, response, order, string(body), sent)
	if response.StatusCode != http.StatusOK {
		c.missed(account, method, sent, response.StatusCode, string(body))
	}
	return response.StatusCode
}

func (c *callers) missed(account *account, method string, sent time.Time, status int, text string) {
	if account != &steady || method != http.MethodGet {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = append(c.failed, failure{sent: sent, status: status, text: text})
}

func (c *callers) note(account *account, response *http.Response, order, body string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Header.Get(pipeline.HeaderOutcome) == pipeline.OutcomeNotRun.String() {
		c.notRun[response.Header.Get(pipeline.HeaderRequestID)] = true
	}
	if response.StatusCode != http.StatusOK {
		return
	}
	c.served[account.id] = append(c.served[account.id], served{sent: sent, ended: time.Now()})
	if order != "" {
		c.answered[order] = true
	}
	if body != order {
		c.unwhole = append(c.unwhole, response.Header.Get(pipeline.HeaderRequestID))
	}
}
