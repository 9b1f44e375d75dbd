//go:build review3

package main

import (
	"fmt"
	"time"

	"github.com/hemlockring/hemlockring/review/third/platform"
)

const (
	// coreDown is how long the core is down.
	coreDown = 700 * time.Millisecond
	// contact is ContactMs of the deployment, with a margin.
	contact = 3500 * time.Millisecond
)

// restartCore kills all processes of the core at the same moment and starts them again.
func (b *bench) restartCore(c *caseRun) {
	killed := time.Now()
	for _, m := range b.Core {
		m.Signal(killSignal)
	}
	c.note("all processes of the core killed")
	go func() {
		for _, m := range b.Core {
			m.Wait(5 * time.Second)
		}
		time.Sleep(time.Until(killed.Add(coreDown)))
		for _, m := range b.Core {
			if err := m.Start(); err != nil {
				c.note("%v", err)
			}
		}
		c.note("all processes of the core started again")
	}()
}

// playMinority: workers leave, one after the other, while the core is killed and starts again; then
// the process beside the worker is killed and starts again, and a check-in that the worker sent
// before its DELETE arrives late. Without the disruption, the core is not killed.
func playMinority(c *caseRun) int {
	const rounds = 8
	b, err := startBench(c, rounds, slow)
	if b != nil {
		defer b.Close()
	}
	if err != nil {
		c.note("%v", err)
		return notRun
	}
	time.Sleep(4 * time.Second)
	brokenRounds, acks := 0, 0
	for k := range rounds {
		machine, leaving := b.Sidecar[k], b.workers[k]
		leaving.StopBeats()
		late := leaving.CheckIn()
		c.note("worker %s sends a check-in that is delayed on its way", leaving.ID)
		if c.trouble {
			b.restartCore(c)
		}
		begun := time.Now()
		time.Sleep(30 * time.Millisecond)
		acked, ok := leave(c, leaving)
		if !ok {
			continue
		}
		acks++
		time.Sleep(time.Until(begun.Add(coreDown + 300*time.Millisecond)))
		machine.Kill()
		time.Sleep(100 * time.Millisecond)
		if err := machine.Start(); err != nil {
			return notRun
		}
		started := time.Now()
		c.note("%s killed and started again", machine.Name)
		time.Sleep(time.Until(acked.Add(2600 * time.Millisecond)))
		status, err := leaving.SendCheckIn(late)
		c.note("the delayed check-in arrives %d ms after the ack: %d %v", time.Since(acked).Milliseconds(), status, err)
		// All machines are in touch again.
		time.Sleep(time.Until(started.Add(contact)))
		exit := time.AfterFunc(900*time.Millisecond, func() {
			c.note("worker %s exits, %d ms after the ack", leaving.ID, time.Since(acked).Milliseconds())
			leaving.Crash()
		})
		b.orders(c, time.Now().Add(1200*time.Millisecond))
		exit.Stop()
		if b.lateRuns(c, leaving, acked) > 0 {
			brokenRounds++
		}
		next := platform.NewWorker(fmt.Sprintf("i-1%07x", k), machine, 3, slow(b))
		if err := next.Start(); err != nil {
			c.note("%v", err)
			return notRun
		}
	}
	c.note("%d workers left, %d of them got orders again", acks, brokenRounds)
	switch {
	case brokenRounds > 0:
		return broken
	case acks == 0:
		return notRun
	default:
		return held
	}
}
