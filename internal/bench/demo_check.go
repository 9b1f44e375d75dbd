package bench

import (
	"time"

	"github.com/hemlockring/hemlockring/internal/emulator"
)

// checkOrders compares what callers heard with what backend servers ran.
func (d *demonstration) checkOrders() error {
	executions, err := d.fleet.Executions()
	if err != nil {
		return err
	}
	d.load.mu.Lock()
	defer d.load.mu.Unlock()
	for i := range demoAccounts {
		tally := d.load.accounts[demoAccounts[i].id]
		d.say("%-16s %6d served, %5d over rate, %5d refused, %5d rejected", demoAccounts[i].id, tally.served, tally.overRate, tally.refused, tally.rejected)
	}
	d.checkRunOnce(executions)
	d.checkNotRun(executions)
	d.check(executions.WithCredentials == 0, "no backend server saw a key: %d did", executions.WithCredentials)
	d.checkRate()
	return nil
}

func (d *demonstration) checkRunOnce(executions *emulator.Executions) {
	doubled, lost := 0, 0
	for _, count := range executions.Orders {
		if count > 1 {
			doubled++
		}
	}
	for order := range d.load.answered {
		if executions.Orders[order] == 0 {
			lost++
		}
	}
	d.check(doubled == 0, "no order ran twice: %d of %d did", doubled, d.load.orders)
	d.check(lost == 0, "no answered order was lost: %d of %d were", lost, len(d.load.answered))
}

func (d *demonstration) checkNotRun(executions *emulator.Executions) {
	ran := 0
	for id := range d.load.notRun {
		if executions.Requests[id] > 0 {
			ran++
		}
	}
	d.check(ran == 0, "no request that was said to be not run had run: %d of %d had", ran, len(d.load.notRun))
}

// checkRate checks the account that sends several times its rate.
func (d *demonstration) checkRate() {
	greedy := &demoAccounts[1]
	served := d.load.accounts[greedy.id].served
	allowed := greedy.rate*time.Since(d.load.began).Seconds() + float64(greedy.burst)
	d.check(float64(served) <= allowed, "%s got no more than rate and burst: %d served, %.0f allowed", greedy.id, served, allowed)
}
