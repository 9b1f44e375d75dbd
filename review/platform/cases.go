//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The services, routes and tenant of the cases.
const (
	shop        = "lidshop"
	ledger      = "ledger-view"
	lookupPath  = "/lookup/"
	orderPath   = "/order/"
	historyPath = "/history/"

	host      = "shop.example"
	tenantKey = "2b9wu3fexd9dnn2ctnfz"
)

// settleTime is how long the check-ins of new workers take to be known everywhere.
const settleTime = 3 * time.Second

// firstConfiguration has a safe and an unsafe route to one service and a safe route to the
// other, and one tenant without a limit.
func firstConfiguration() *configuration {
	return &configuration{
		version:  1,
		services: []string{shop, ledger},
		routes: []route{
			{name: "r-lookup", prefix: lookupPath, kind: "safe", timeout: 3000, target: 600, priority: 2, service: shop},
			{name: "r-order", prefix: orderPath, kind: "unsafe", timeout: 4000, target: 600, priority: 1, service: shop},
			{name: "r-history", prefix: historyPath, kind: "safe", timeout: 2000, target: 1200, priority: 2, service: ledger},
		},
		tenants: [][]any{{"huka270", []string{tenantKey}, 1, 0, 0}},
	}
}

// observations collects what workers have run and clients have got.
type observations struct {
	mu       sync.Mutex
	runs     []run
	attempts map[string]attempt
}

func newObservations() *observations {
	return &observations{attempts: make(map[string]attempt)}
}

func (o *observations) addRun(r run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs = append(o.runs, r)
}

func (o *observations) addAttempt(a attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts[a.id] = a
}

// workersOf returns the workers that ran each request.
func (o *observations) workersOf() map[string][]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	workers := make(map[string][]string)
	for _, r := range o.runs {
		workers[r.id] = append(workers[r.id], r.worker)
	}
	return workers
}

// judgeUnsafe checks the rules on requests that are not idempotent: each runs at most once, and
// not at all if its client was told so.
func (o *observations) judgeUnsafe(v *verdict) {
	for id, workers := range o.workersOf() {
		if len(workers) > 1 {
			v.add("TWICE: unsafe request %s ran on %v", id, workers)
		}
		o.mu.Lock()
		status := o.attempts[id].status
		o.mu.Unlock()
		switch status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			v.add("REFUSED: unsafe request %s was answered %d and ran on %v", id, status, workers)
		}
	}
}

// startWorkers boots a worker beside each sidecar. prepare may change it before.
func startWorkers(f *fleet, o *observations, prepare func(*worker)) ([]*worker, error) {
	var workers []*worker
	for i, m := range f.sides {
		w := &worker{machine: m, service: m.service, slots: 7, work: 50 * time.Millisecond, log: f.log, onRun: o.addRun}
		if prepare != nil {
			prepare(w)
		}
		if err := w.boot(fmt.Sprintf("i-%d", i+1)); err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	return workers, nil
}

// loadAll sends requests like those of c to every sidecar, until ctx ends.
func (o *observations) loadAll(ctx context.Context, f *fleet, c client, perSecond float64) {
	for _, m := range f.sides {
		own := c
		own.machine, own.key, own.log = m, tenantKey, f.log
		go load(ctx, &own, perSecond/float64(len(f.sides)), o.addAttempt)
	}
}

func services(service string, count int) []string {
	var all []string
	for range count {
		all = append(all, service)
	}
	return all
}
