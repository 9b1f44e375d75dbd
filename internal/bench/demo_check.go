package bench

import (
	"time"

	"github.com/hemlockring/hemlockring/internal/emulator"
)

// checkObservations prints what the callers of each account observed. It checks their
// observations against the executions on the backend servers and the rate limit.
func (d *demoRun) checkObservations() error {
	executions, err := d.fleet.Executions()
	if err != nil {
		return err
	}
	d.load.mu.Lock()
	defer d.load.mu.Unlock()
	for i := range demoAccounts {
		counts := d.load.accounts[demoAccounts[i].id]
		d.printf("%-16s %6d served, %5d over rate, %5d refused, %5d rejected", demoAccounts[i].id, counts.served, counts.overRate, counts.refused, counts.rejected)
	}
	d.checkOrderExecutions(executions)
	d.checkNotRun(executions)
	d.check(executions.WithCredentials == 0, "no request reached a backend server with an API key: %d did", executions.WithCredentials)
	d.checkRateLimit()
	return nil
}

func (d *demoRun) checkOrderExecutions(executions *emulator.Executions) {
	duplicates, lost := 0, 0
	for _, count := range executions.Orders {
		if count > 1 {
			duplicates++
		}
	}
	for order := range d.load.answered {
		if executions.Orders[order] == 0 {
			lost++
		}
	}
	d.check(duplicates == 0, "no order ran more than once: %d of %d did", duplicates, d.load.ordersSent)
	d.check(lost == 0, "every answered order ran: %d of %d did not", lost, len(d.load.answered))
}

func (d *demoRun) checkNotRun(executions *emulator.Executions) {
	ran := 0
	for id := range d.load.notRun {
		if executions.Requests[id] > 0 {
			ran++
		}
	}
	d.check(ran == 0, "no request reported as not run had run: %d of %d had", ran, len(d.load.notRun))
}

// checkRateLimit checks that the account that exceeds its rate was not served more than
// its rate and burst allow.
func (d *demoRun) checkRateLimit() {
	account := &demoAccounts[1]
	served := d.load.accounts[account.id].served
	allowed := account.rate*time.Since(d.load.started).Seconds() + float64(account.burst)
	d.check(float64(served) <= allowed, "%s was served no more than rate and burst allow: %d served, %.0f allowed", account.id, served, allowed)
}
