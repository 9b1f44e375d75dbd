//go:build review

package main

import (
	"context"
	"net/http"
	"time"
)

func init() { cases["copy"] = lateCopy }

// The flapping of the worker: how long it is down, the time from one end to the next, and the
// length of the disruption, which comes twice.
const (
	downTime   = 30 * time.Millisecond
	flapPeriod = 1400 * time.Millisecond
	flapLength = 5 * time.Second
	flapRounds = 2
	// firstBeat is how long after its start the worker sends its first check-in.
	firstBeat = 700 * time.Millisecond
	// copiedShare is the largest share of its answers that the worker sends twice.
	copiedShare = 0.03
)

// lateCopy: a worker ends and starts again at its address, each time with a new ID. Until its
// first check-in it answers 421 to requests for its predecessor. It sends a second copy of the
// last of these answers late, where the answer to the next request on the connection is due.
func lateCopy(s *setting) error {
	f, err := s.startFleet(services(shop, 10), firstConfiguration())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := newObservations()
	workers, err := startWorkers(f, o, func(w *worker) { w.work = 30 * time.Millisecond })
	if err != nil {
		return err
	}
	flapping := workers[0]
	answers, copies := 0, 0
	flapping.handle = func(w *worker, c *serverConn, request *http.Request) bool {
		w.mu.Lock()
		answers++
		w.mu.Unlock()
		earlier := c.copy
		c.copy = nil
		if w.rejectOther(c, request) {
			if s.trouble {
				c.copy = format(421, map[string]string{"Instance-Id": w.name(), "Request-Id": request.Header.Get("Request-Id")}, nil)
			}
			return true
		}
		w.mu.Lock()
		if earlier != nil && float64(copies+1) <= copiedShare*float64(answers) {
			c.copy = earlier
			copies++
		}
		w.mu.Unlock()
		if c.copy != nil {
			w.log.event("second copy of an earlier 421", "worker", w.name(), "before the answer to", request.Header.Get("Request-Id"))
		}
		return w.handleSound(c, request)
	}
	beatCtx, stopBeat := context.WithCancel(ctx)
	go flapping.beat(beatCtx)
	for _, w := range workers[1:] {
		go w.beat(ctx)
	}
	time.Sleep(settleTime)
	order := client{method: http.MethodPost, path: orderPath, body: make([]byte, 400), timeout: 4 * time.Second}
	o.loadAll(ctx, f, order, 24)
	// Most clients are on the machine of the worker that flaps.
	order.machine, order.key, order.log = f.sides[0], tenantKey, s.log
	go load(ctx, &order, 40, o.addAttempt)
	time.Sleep(6 * time.Second)
	for round := range flapRounds {
		for until := time.Now().Add(flapLength); time.Now().Before(until); {
			next := time.Now().Add(flapPeriod)
			stopBeat()
			flapping.waitIdle()
			flapping.exit()
			time.Sleep(downTime)
			if err := flapping.boot(nextID(flapping.name())); err != nil {
				return err
			}
			time.Sleep(firstBeat)
			beatCtx, stopBeat = context.WithCancel(ctx)
			go flapping.beat(beatCtx)
			time.Sleep(time.Until(next))
		}
		s.log.event("the worker has stopped flapping", "round", round+1)
		time.Sleep(3 * time.Second)
	}
	stopBeat()
	cancel()
	time.Sleep(5 * time.Second)
	s.log.event("answers of the flapping worker", "answers", answers, "copies", copies)
	o.judgeUnsafe(s.verdict)
	return nil
}

// nextID returns the ID of the next boot.
func nextID(id string) string { return id + "b" }
