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
	// requestInterval is the time between two requests of one caller.
	requestInterval = 40 * time.Millisecond
	// callersPerAccount is the number of callers of each account. Every second one
	// connects through the stream relay.
	callersPerAccount = 4
	// requestsPerOrder makes one in this many requests an order.
	requestsPerOrder = 3
	// A caller sends an order up to maxOrderAttempts times, orderRetryDelay apart, until
	// it gets a final status.
	maxOrderAttempts = 20
	orderRetryDelay  = 300 * time.Millisecond
	// callerTimeout is the timeout of a caller's request; the route's timeout is 5 s.
	callerTimeout = 15 * time.Second
)

// account is a client account of the test load.
type account struct {
	id    fleetconfig.AccountID
	rate  float64
	burst uint32
}

// The callers of each account send 100 requests per second in total. That is within the
// rate of steadyAccount and five times the rate of overRateAccount. The keys of these
// accounts are not withdrawn.
var (
	steadyAccount   = account{id: "steady", rate: 1000, burst: 500}
	overRateAccount = account{id: "pressing", rate: 20, burst: 10}
)

func (a *account) key() string { return "soak-key-of-" + string(a.id) }

// servedRequest is a request that was answered with status 200.
type servedRequest struct{ sent, ended time.Time }

// observations records what the callers have seen. It is safe for concurrent use.
type observations struct {
	mu sync.Mutex
	// served holds the requests of each account that were answered with status 200.
	served map[fleetconfig.AccountID][]servedRequest
	// notRun holds the ids of requests that were reported as not run.
	notRun map[string]bool
	// answered holds the orders that were answered with status 200.
	answered   map[string]bool
	ordersSent int
	// interrupted holds the requests on direct connections that failed before a response,
	// except those whose connection was refused.
	interrupted []interruptedRequest
	// failedLookups holds the lookups of steadyAccount that were not served.
	failedLookups []failedLookup
	// corrupted holds the ids of requests whose response was complete but did not echo
	// the request's body.
	corrupted []string
	// quarantined holds the ids of requests that were refused as ones that crash servers. None
	// of these requests does.
	quarantined []string
}

// interruptedRequest is a request whose connection failed before a response.
type interruptedRequest struct {
	instance    int
	sent, ended time.Time
}

// failedLookup is a lookup that was not served.
type failedLookup struct {
	sent   time.Time
	status int
	text   string
}

func newObservations() *observations {
	return &observations{served: make(map[fleetconfig.AccountID][]servedRequest), notRun: make(map[string]bool), answered: make(map[string]bool)}
}

// callers send the test load and record what they see.
type callers struct {
	*observations
	// direct holds the caller addresses of the instances, relayed the addresses of the
	// stream relays in front of them.
	direct, relayed []string
	client          *http.Client
	group           sync.WaitGroup
}

func newCallers(direct, relayed []string) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: callersPerAccount * 4}
	return &callers{
		observations: newObservations(),
		direct:       direct,
		relayed:      relayed,
		client:       &http.Client{Timeout: callerTimeout, Transport: transport},
	}
}

// start starts the callers of an account. They run until ctx ends; orders that have
// been started are completed.
func (c *callers) start(ctx context.Context, account *account) {
	for caller := range callersPerAccount {
		c.group.Go(func() {
			for sequence := caller; testbed.Sleep(ctx, requestInterval); sequence++ {
				if sequence%requestsPerOrder == 0 {
					c.placeOrder(account, caller, sequence)
				} else {
					c.send(account, caller, sequence, http.MethodGet, "")
				}
			}
		})
	}
}

// placeOrder sends an order and retries it through other instances until it gets a
// final status: served, key rejected or over the rate.
func (c *callers) placeOrder(account *account, caller, sequence int) {
	order := uuid.NewString()
	c.mu.Lock()
	c.ordersSent++
	c.mu.Unlock()
	for attempt := range maxOrderAttempts {
		switch c.send(account, caller, sequence+attempt, http.MethodPost, order) {
		case http.StatusOK, http.StatusUnauthorized, http.StatusTooManyRequests:
			return
		}
		time.Sleep(orderRetryDelay)
	}
}

// send sends one request and returns the status, or 0 if there is no complete
// response.
func (c *callers) send(account *account, caller, sequence int, method, order string) int {
	instance := sequence % len(c.direct)
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
			c.interrupted = append(c.interrupted, interruptedRequest{instance: instance, sent: sent, ended: time.Now()})
			c.mu.Unlock()
		}
		c.recordFailure(account, method, sent, 0, err.Error())
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		// The caller can see that the response is incomplete, so it is not corrupted.
		c.recordFailure(account, method, sent, response.StatusCode, err.Error())
		return 0
	}
	c.recordResponse(account, response, order, string(body), sent)
	if response.StatusCode != http.StatusOK {
		c.recordFailure(account, method, sent, response.StatusCode, string(body))
	}
	return response.StatusCode
}

// recordFailure records a failed request if it is a lookup of steadyAccount.
func (c *callers) recordFailure(account *account, method string, sent time.Time, status int, text string) {
	if account != &steadyAccount || method != http.MethodGet {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedLookups = append(c.failedLookups, failedLookup{sent: sent, status: status, text: text})
}

// recordResponse records a complete response. The backend server echoes the request's
// body, which is the order id or empty.
func (c *callers) recordResponse(account *account, response *http.Response, order, body string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Header.Get(pipeline.HeaderOutcome) == pipeline.OutcomeNotRun.String() {
		c.notRun[response.Header.Get(pipeline.HeaderRequestID)] = true
	}
	if response.Header.Get(pipeline.HeaderRefusal) == string(pipeline.KindQuarantined) {
		c.quarantined = append(c.quarantined, response.Header.Get(pipeline.HeaderRequestID))
	}
	if response.StatusCode != http.StatusOK {
		return
	}
	c.served[account.id] = append(c.served[account.id], servedRequest{sent: sent, ended: time.Now()})
	if order != "" {
		c.answered[order] = true
	}
	if body != order {
		c.corrupted = append(c.corrupted, response.Header.Get(pipeline.HeaderRequestID))
	}
}
