//go:build review

package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["prefix"] = prefixWithoutSlash }

// Doses of the disruption "a worker runs a request and its answer is lost": the share of the
// workers, the share of their answers and the length.
const (
	lostWorkers = 0.5
	lostAnswers = 0.05
	lostLength  = 4 * time.Second
)

// prefixWithoutSlash: a safe route lies below an unsafe one. Orders go to the path that equals
// the safe route's prefix without its last slash. Only the unsafe route's prefix begins that
// path, so each order may run at most once, also when its answer is lost.
func prefixWithoutSlash(s *setting) error {
	first := firstConfiguration()
	first.routes = []route{
		{name: "r-shop", prefix: "/shop/", kind: "unsafe", timeout: 4000, target: 600, priority: 1, service: shop},
		{name: "r-stock", prefix: "/shop/stock/", kind: "safe", timeout: 3000, target: 600, priority: 2, service: shop},
	}
	f, err := s.startFleet(services(shop, 4), first)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := newObservations()
	var troubleUntil time.Time
	workers, err := startWorkers(f, o, func(w *worker) {
		if w.machine.number > lostWorkers*float64(len(f.sides)) {
			return
		}
		w.handle = func(w *worker, c *serverConn, request *http.Request) bool {
			if !time.Now().Before(troubleUntil) || rand.Float64() >= lostAnswers {
				return w.handleSound(c, request)
			}
			if w.rejectOther(c, request) {
				return true
			}
			w.begin(request)
			_, _ = io.Copy(io.Discard, request.Body)
			time.Sleep(w.work)
			w.log.event("the answer is lost", "worker", w.name(), "request", request.Header.Get("Request-Id"))
			c.reset()
			return false
		}
	})
	if err != nil {
		return err
	}
	if s.trouble {
		troubleUntil = time.Now().Add(settleTime + lostLength)
	}
	for _, w := range workers {
		go w.beat(ctx)
	}
	time.Sleep(settleTime)
	loadCtx, end := context.WithTimeout(ctx, lostLength+3*time.Second)
	defer end()
	o.loadAll(loadCtx, f, client{method: http.MethodPost, path: "/shop/stock", exact: true, body: make([]byte, 400), timeout: 4 * time.Second}, 120)
	<-loadCtx.Done()
	time.Sleep(4 * time.Second)
	o.judgeUnsafe(s.verdict)
	return nil
}
