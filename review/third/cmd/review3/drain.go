//go:build review3

package main

import (
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/review/third/platform"
)

// drainPeriod is DrainPeriodMs of the deployment.
const drainPeriod = 2 * time.Second

// leaveTries is how often a worker sends its DELETE.
const leaveTries = 10

// leave sends the DELETE until it is acknowledged, and returns the time of the ack.
func leave(c *caseRun, w *platform.Worker) (time.Time, bool) {
	for range leaveTries {
		if status, _ := w.Leave(); status == 200 {
			c.note("worker %s: DELETE acknowledged; it goes on serving", w.ID)
			return time.Now(), true
		}
	}
	c.note("the DELETE got no ack")
	return time.Time{}, false
}

// orders sends an order every 50 ms until the end.
func (b *bench) orders(c *caseRun, end time.Time) {
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		call := order("drain")
		wg.Go(func() {
			answer := call.Send(b.Sidecar[i%len(b.Sidecar)])
			if answer.Status == 200 {
				return
			}
			for _, run := range b.runsOf(call.ID) {
				c.note("order %s ran at worker %s and is lost to its client: %s", call.ID, run.worker.ID, answer)
				return
			}
			c.note("order %s didn't run: %s", call.ID, answer)
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
}

// lateRuns counts the requests that reached the worker later than DrainPeriodMs after the ack.
func (b *bench) lateRuns(c *caseRun, w *platform.Worker, acked time.Time) int {
	reached := 0
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, runs := range b.runs {
		for _, run := range runs {
			if run.worker == w && run.at.After(acked.Add(drainPeriod)) {
				reached++
				c.note("order %s reached worker %s %d ms after the ack", id, w.ID, run.at.Sub(acked).Milliseconds())
			}
		}
	}
	return reached
}

// slow is a sound worker whose runs take 400 ms.
func slow(b *bench) func(run *platform.Run) bool {
	return func(run *platform.Run) bool {
		if _, err := run.Body(); err != nil {
			return false
		}
		b.recordRun(run)
		time.Sleep(400 * time.Millisecond)
		return run.Answer(200, []byte("done "+run.ID()))
	}
}

// playDrain: a worker's DELETE is acknowledged, all processes are killed at the same moment and
// start again, and a check-in that the worker sent before the DELETE arrives late.
func playDrain(c *caseRun) int {
	b, err := startBench(c, 4, slow)
	if b != nil {
		defer b.Close()
	}
	if err != nil {
		c.note("%v", err)
		return notRun
	}
	leaving := b.workers[0]
	time.Sleep(time.Until(time.UnixMilli(leaving.Born).Add(8 * time.Second)))
	leaving.StopBeats()
	late := leaving.CheckIn()
	c.note("worker %s sends a check-in that is delayed on its way", leaving.ID)
	time.Sleep(100 * time.Millisecond)
	acked, ok := leave(c, leaving)
	if !ok {
		return notRun
	}
	time.Sleep(200 * time.Millisecond)
	if c.trouble {
		if err := b.restartAll(c); err != nil {
			c.note("%v", err)
			return notRun
		}
	}
	time.Sleep(time.Until(acked.Add(2500 * time.Millisecond)))
	status, err := leaving.SendCheckIn(late)
	c.note("the delayed check-in arrives %d ms after the ack: %d %v", time.Since(acked).Milliseconds(), status, err)
	if !platform.WaitReady(b.Sidecar, 20*time.Second) {
		c.note("not ready again")
	}
	// All machines are in touch again: 3 s have passed since their start.
	time.Sleep(time.Until(acked.Add(4500 * time.Millisecond)))
	go func() {
		time.Sleep(time.Until(acked.Add(6 * time.Second)))
		c.note("worker %s exits, 6 s after the ack", leaving.ID)
		leaving.Crash()
	}()
	b.orders(c, acked.Add(8*time.Second))
	if b.lateRuns(c, leaving, acked) > 0 {
		return broken
	}
	return held
}

// playYoung: a worker starts under a new ID, checks in, and leaves within three seconds. A check-in
// that it sent before its DELETE arrives late.
func playYoung(c *caseRun) int {
	b, err := startBench(c, 4, slow)
	if b != nil {
		defer b.Close()
	}
	if err != nil {
		c.note("%v", err)
		return notRun
	}
	// The first worker of the machine leaves in the usual way; another one takes its place.
	former := b.workers[0]
	former.StopBeats()
	if _, ok := leave(c, former); !ok {
		return notRun
	}
	time.Sleep(4 * time.Second)
	former.Crash()
	c.note("worker %s has exited", former.ID)
	time.Sleep(3 * time.Second)
	young := platform.NewWorker("i-0000beef", b.Sidecar[0], 3, slow(b))
	if err := young.Start(); err != nil {
		c.note("%v", err)
		return notRun
	}
	c.note("worker %s has started", young.ID)
	go b.orders(c, time.Now().Add(2*time.Second))
	time.Sleep(2 * time.Second)
	young.StopBeats()
	late := young.CheckIn()
	if c.trouble {
		c.note("worker %s sends a check-in that is delayed on its way", young.ID)
	} else {
		status, err := young.SendCheckIn(late)
		c.note("worker %s sends a check-in: %d %v", young.ID, status, err)
	}
	time.Sleep(100 * time.Millisecond)
	acked, ok := leave(c, young)
	if !ok {
		return notRun
	}
	time.Sleep(time.Until(acked.Add(2500 * time.Millisecond)))
	if c.trouble {
		status, err := young.SendCheckIn(late)
		c.note("the delayed check-in arrives %d ms after the ack: %d %v", time.Since(acked).Milliseconds(), status, err)
	}
	go func() {
		time.Sleep(time.Until(acked.Add(4 * time.Second)))
		c.note("worker %s exits, 4 s after the ack", young.ID)
		young.Crash()
	}()
	b.orders(c, acked.Add(6*time.Second))
	if b.lateRuns(c, young, acked) > 0 {
		return broken
	}
	return held
}
