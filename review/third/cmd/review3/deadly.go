//go:build review3

package main

import (
	"strings"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/review/third/platform"
)

// restartTime is how long a worker is down after a crash.
const restartTime = 2500 * time.Millisecond

// deadlyWorkers are workers that crash when they begin to run a deadly request, and are back after
// some seconds.
func deadlyWorkers(c *caseRun) func(b *bench) func(run *platform.Run) bool {
	return func(b *bench) func(run *platform.Run) bool {
		usual := slow(b)
		var mu sync.Mutex
		crashed := map[*platform.Worker]bool{}
		return func(run *platform.Run) bool {
			if !strings.HasPrefix(run.Request.URL.Path, "/look/deadly") {
				return usual(run)
			}
			b.recordRun(run)
			mu.Lock()
			defer mu.Unlock()
			if crashed[run.Worker] {
				return false
			}
			crashed[run.Worker] = true
			c.note("the deadly request %s crashes worker %s", run.ID(), run.Worker.ID)
			go func() {
				run.Worker.Crash()
				time.Sleep(restartTime)
				if err := run.Worker.Start(); err != nil {
					c.note("worker %s: %v", run.Worker.ID, err)
				}
				mu.Lock()
				crashed[run.Worker] = false
				mu.Unlock()
			}()
			return false
		}
	}
}

// playDeadly: a request crashes three workers and comes again; twice, all processes are killed at
// the same moment and start again.
func playDeadly(c *caseRun) int {
	b, err := startBench(c, 8, deadlyWorkers(c))
	if b != nil {
		defer b.Close()
	}
	if err != nil {
		c.note("%v", err)
		return notRun
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	reached := func(from time.Time) int {
		count := 0
		b.mu.Lock()
		defer b.mu.Unlock()
		for id, runs := range b.runs {
			if strings.HasPrefix(id, "dead") && len(runs) > 0 {
				for _, run := range runs {
					if run.at.After(from) {
						count++
					}
				}
			}
		}
		return count
	}
	send := func(i int) {
		call := look("deadly")
		call.ID = "dead" + call.ID[4:]
		answer := call.Send(b.Sidecar[i%len(b.Sidecar)])
		mu.Lock()
		defer mu.Unlock()
		c.note("the deadly request %s at %s: %s", call.ID, b.Sidecar[i%len(b.Sidecar)].Name, answer)
	}
	started := time.Now()
	for i := 0; reached(started) < 3 && i < 8; i++ {
		send(i)
		time.Sleep(700 * time.Millisecond)
	}
	third := time.Now()
	c.note("it has crashed %d workers", reached(started))
	time.Sleep(4 * time.Second)
	var calm time.Time
	for range 2 {
		if c.trouble {
			if err := b.restartAll(c); err != nil {
				c.note("%v", err)
				return notRun
			}
		}
		// All machines are in touch: 3 s have passed since their start.
		time.Sleep(4 * time.Second)
		if !platform.WaitReady(b.Sidecar, 20*time.Second) {
			c.note("not ready again")
		}
		if calm.IsZero() {
			calm = time.Now()
		}
		var wg sync.WaitGroup
		wg.Go(func() { b.orders(c, time.Now().Add(6*time.Second)) })
		wg.Go(func() { b.orders(c, time.Now().Add(6*time.Second)) })
		for i := range 6 {
			time.Sleep(time.Second)
			wg.Go(func() { send(i) })
		}
		wg.Wait()
	}
	count := reached(calm)
	c.note("it reached workers %d times, %d ms and later after its third crash", count, calm.Sub(third).Milliseconds())
	if count > 3 {
		return broken
	}
	return held
}
