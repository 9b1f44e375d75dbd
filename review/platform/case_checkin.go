//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["check-in"] = lateCheckIn }

const (
	// lateness is how late the check-in is.
	lateness = 3500 * time.Millisecond
	// leavesAfter is how long after that check-in was sent the worker sends its DELETE.
	leavesAfter = time.Second
	// servesLonger is how long after DrainPeriodMs the worker exits.
	servesLonger = 750 * time.Millisecond
)

// lateCheckIn: a worker leaves with a DELETE, without a notice before. Its last check-in is
// late and arrives after the DELETE was acknowledged. From DrainPeriodMs after that
// acknowledgement on, no request may reach the worker.
func lateCheckIn(s *setting) error {
	f, err := s.startFleet(services(shop, 4), firstConfiguration())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := newObservations()
	workers, err := startWorkers(f, o, func(w *worker) { w.work = 300 * time.Millisecond })
	if err != nil {
		return err
	}
	leaverCtx, stopBeats := context.WithCancel(ctx)
	defer stopBeats()
	leaver := workers[0]
	go leaver.beat(leaverCtx)
	for _, w := range workers[1:] {
		go w.beat(ctx)
	}
	time.Sleep(settleTime)
	o.loadAll(ctx, f, client{method: http.MethodPost, path: orderPath, body: make([]byte, 400), timeout: 4 * time.Second}, 60)
	// ContactMs of calm, so that all machines are in touch.
	time.Sleep(6 * time.Second)
	stopBeats()
	time.Sleep(200 * time.Millisecond)
	id, last := leaver.name(), leaver.checkIn("ready")
	s.log.event("the last check-in is sent", "worker", id, "body", string(last))
	sent := time.Now()
	if !s.trouble {
		leaver.send(id, http.MethodPut, last)
	}
	time.Sleep(time.Until(sent.Add(leavesAfter)))
	leaver.leave()
	if !leaver.send(id, http.MethodDelete, nil) {
		return fmt.Errorf("the DELETE was not acknowledged")
	}
	gone := time.Now()
	if s.trouble {
		time.Sleep(time.Until(sent.Add(lateness)))
		s.log.event("the last check-in arrives", "worker", id)
		leaver.send(id, http.MethodPut, last)
	}
	time.Sleep(time.Until(gone.Add(drainPeriod + servesLonger)))
	leaver.exit()
	time.Sleep(2 * time.Second)
	cancel()
	time.Sleep(5 * time.Second)
	o.judgeDrain(s, id, gone.Add(drainPeriod))
	return nil
}

// judgeDrain checks that no request that was sent after the limit has reached the worker, and
// records the orders that its exit broke off.
func (o *observations) judgeDrain(s *setting, id string, limit time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	broken := 0
	for _, r := range o.runs {
		a := o.attempts[r.id]
		if r.worker != id || !r.at.After(limit) || !a.sent.After(limit) {
			continue
		}
		s.verdict.add("DRAIN: request %s reached %s %.3f s later than DrainPeriodMs after the acknowledgement", r.id, id, r.at.Sub(limit).Seconds())
		if a.status/100 != 2 {
			broken++
			s.log.event("order without an answer of its worker", "request", r.id, "status", a.status)
		}
	}
	s.log.event("orders at the leaving worker that got no answer of it", "count", broken)
}
