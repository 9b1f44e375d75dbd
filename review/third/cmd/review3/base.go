//go:build review3

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/review/third/platform"
)

const (
	host    = "shop.example"
	key     = "2b9wu3fexd9dnn2ctnfz"
	service = "lidshop"
	other   = "ledger"
)

// bench is a running fleet with workers.
type bench struct {
	*platform.Fleet
	config  platform.Config
	workers []*platform.Worker

	mu   sync.Mutex
	runs map[string][]ranAt
}

// ranAt says where and when a request ran.
type ranAt struct {
	worker *platform.Worker
	at     time.Time
}

func (b *bench) recordRun(run *platform.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[run.ID()] = append(b.runs[run.ID()], ranAt{run.Worker, run.At})
}

func (b *bench) runsOf(id string) []ranAt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]ranAt{}, b.runs[id]...)
}

// workTime is how long a run takes.
const workTime = 50 * time.Millisecond

// plain is a sound worker.
func (b *bench) plain(run *platform.Run) bool {
	if _, err := run.Body(); err != nil {
		return false
	}
	b.recordRun(run)
	time.Sleep(workTime)
	return run.Answer(200, []byte("done "+run.ID()))
}

// startBench starts a fleet of five core machines and sidecars with one worker each, and sets the
// first configuration. handle may be nil.
func startBench(c *caseRun, count int, handle func(b *bench) func(run *platform.Run) bool) (*bench, error) {
	fleet, err := platform.NewFleet(".", map[string]int{service: count, other: 2}, []string{service, other})
	if err != nil {
		return nil, err
	}
	b := &bench{Fleet: fleet, runs: map[string][]ranAt{}}
	answer := b.plain
	if handle != nil {
		answer = handle(b)
	}
	if err := fleet.Start(); err != nil {
		return b, err
	}
	for i, m := range fleet.Sidecar {
		w := platform.NewWorker(fmt.Sprintf("i-%08x", i+1), m, 3, answer)
		if err := w.Start(); err != nil {
			return b, err
		}
		b.workers = append(b.workers, w)
	}
	b.config = platform.Config{Version: 1, Services: []string{service, other},
		Routes: []platform.Route{
			{Name: "r-order", Host: host, Prefix: "/order/", Type: "unsafe", Service: service, TimeoutMs: 4000, TargetMs: 600, MaxAttempts: 2},
			{Name: "r-look", Host: host, Prefix: "/look/", Type: "safe", Service: service, TimeoutMs: 3000, TargetMs: 600, MaxAttempts: 2},
			{Name: "r-hist", Host: host, Prefix: "/hist/", Type: "safe", Service: other, TimeoutMs: 8000, TargetMs: 1200, MaxAttempts: 2},
		},
		Tenants: []platform.Tenant{{Name: "huka270", Keys: []string{key}, Rate: 200, Burst: 200}, {Name: "other1", Keys: []string{"s989anu6wsjnbanfqasn"}, Rate: 200, Burst: 200}},
	}
	if status, text := fleet.PutUntil(b.config.JSON(), 15*time.Second); status != 200 {
		return b, fmt.Errorf("the first configuration was answered %d %s", status, text)
	}
	if !platform.WaitReady(fleet.Sidecar, 15*time.Second) {
		return b, fmt.Errorf("not all machines became ready")
	}
	time.Sleep(2 * time.Second)
	c.note("fleet of %d machines is ready", len(fleet.All()))
	return b, nil
}

// restartAll kills all processes at the same moment and starts them again.
func (b *bench) restartAll(c *caseRun) error {
	for _, m := range b.All() {
		m.Signal(killSignal)
	}
	for _, m := range b.All() {
		m.Wait(5 * time.Second)
	}
	c.note("all processes killed")
	time.Sleep(300 * time.Millisecond)
	for _, m := range b.All() {
		if err := m.Start(); err != nil {
			return err
		}
	}
	c.note("all processes started again")
	return nil
}

func order(path string) *platform.Call {
	return &platform.Call{ID: platform.NewID(), Method: "POST", Host: host, Path: "/order/" + path, Key: key, DeadlineMs: 4000, Body: "wax=1"}
}

func look(path string) *platform.Call {
	return &platform.Call{ID: platform.NewID(), Method: "GET", Host: host, Path: "/look/" + path, Key: key, DeadlineMs: 3000}
}

func playBase(c *caseRun) int {
	b, err := startBench(c, 4, nil)
	if b != nil {
		defer b.Close()
	}
	if err != nil {
		c.note("%v", err)
		return notRun
	}
	bad := 0
	for i := range 40 {
		call := order("a")
		if i%2 == 0 {
			call = look("b")
		}
		answer := call.Send(b.Sidecar[i%len(b.Sidecar)])
		if answer.Status != 200 {
			bad++
			c.note("%s %s", call.ID, answer)
		}
	}
	c.note("%d of 40 failed", bad)
	if bad > 0 {
		return broken
	}
	return held
}
