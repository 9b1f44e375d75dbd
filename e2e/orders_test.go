package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// Callers retry their orders through other ingresses while daemons are killed and restarted.
// No order runs twice, every answered order has run once, and no request that was reported
// as not run has run.
func TestOrdersRunOnceWhileDaemonsAreKilled(t *testing.T) {
	t.Parallel()
	const (
		callers         = 8
		ordersPerCaller = 60
		maxAttempts     = 200
	)
	fleet := start(t, 5, 3, false)
	var mu sync.Mutex
	answered := make(map[string]bool)
	notRun := make(map[string]bool)
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range ordersPerCaller {
				order := fmt.Sprintf("order-%d-%d", caller, i)
				for attempt := range maxAttempts {
					reply := fleet.send((caller+i+attempt)%5, http.MethodPost, "/orders", order)
					mu.Lock()
					if reply.outcome == "not-run" {
						notRun[reply.requestID] = true
					}
					if reply.err == nil && reply.status == http.StatusOK {
						answered[order] = true
					}
					done := answered[order] || reply.refusal == "order-outcome-unknown"
					mu.Unlock()
					if done {
						break
					}
				}
			}
		})
	}
	for _, killed := range []int{3, 4, 1} {
		count := func() int { mu.Lock(); defer mu.Unlock(); return len(answered) }
		before := count()
		fleet.waitUntil(t, "more answered orders", func() bool { return count() > before+30 || count() > callers*ordersPerCaller*9/10 })
		fleet.KillDaemon(killed)
		must.NoError(t, fleet.StartDaemon(killed))
	}
	group.Wait()

	executions, err := fleet.Executions()
	must.NoError(t, err)
	for order, count := range executions.Orders {
		must.Eq(t, 1, count, must.Sprintf("%s", order))
	}
	for order := range answered {
		must.Eq(t, 1, executions.Orders[order], must.Sprintf("answered %s", order))
	}
	for id := range notRun {
		must.Zero(t, executions.Requests[id], must.Sprintf("request %s was reported as not run", id))
	}
	must.Zero(t, executions.WithCredentials)
	must.Greater(t, callers*ordersPerCaller/2, len(answered))
}
