package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// Callers resend their orders through other ingresses while daemons are killed
// and started again: no order runs twice, no answered one is lost, and what was
// said to be not run had not run.
func TestOrdersRunOnceWhileDaemonsAreKilled(t *testing.T) {
	t.Parallel()
	const (
		callers         = 8
		ordersPerCaller = 60
		maxTries        = 200
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
				for try := range maxTries {
					heard := fleet.send((caller+i+try)%5, http.MethodPost, "/orders", order)
					mu.Lock()
					if heard.outcome == "not-run" {
						notRun[heard.requestID] = true
					}
					if heard.err == nil && heard.status == http.StatusOK {
						answered[order] = true
					}
					done := answered[order] || heard.refusal == "order-outcome-unknown"
					mu.Unlock()
					if done {
						break
					}
				}
			}
		})
	}
	for _, victim := range []int{3, 4, 1} {
		count := func() int { mu.Lock(); defer mu.Unlock(); return len(answered) }
		before := count()
		fleet.until(t, "more answered orders", func() bool { return count() > before+30 || count() > callers*ordersPerCaller*9/10 })
		fleet.KillDaemon(victim)
		must.NoError(t, fleet.StartDaemon(victim))
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
		must.Zero(t, executions.Requests[id], must.Sprintf("request %s was said to be not run", id))
	}
	must.Zero(t, executions.WithCredentials)
	must.Greater(t, callers*ordersPerCaller/2, len(answered))
}
