//go:build review2

// Command gone shows requests that reach a worker after their clients have left.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/review/second/platform"
)

const (
	slots = 3
	work  = 2 * time.Second
	// rounds and roundInterval set the load: in each round, slots clients of each machine send
	// an order and one more a little later, which has to wait for a slot.
	rounds        = 12
	roundInterval = 2800 * time.Millisecond
	// patience is when one client in four leaves, a fifth of the latency target of the route.
	patience = 400 * time.Millisecond
	deadline = 5 * time.Second
	// late is how long after the close a request must no longer reach a worker, by the rule.
	late = 500 * time.Millisecond
	// aFew is how many of them the rule excuses ("more than a few").
	aFew = 5
)

// log holds what workers and clients have seen.
type log struct {
	mu     sync.Mutex
	closed map[string]time.Time
	late   []string
	ran    map[string]bool
}

func main() { os.Exit(platform.Run(os.Args[1], run)) }

func run(record *platform.Record) (bool, error) {
	fleet, err := platform.NewFleet(record, 3, platform.ServiceA, platform.ServiceB)
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	if err := fleet.StartAll(platform.Configuration(1, 0, 1000, true)); err != nil {
		return false, err
	}
	seen := &log{closed: make(map[string]time.Time), ran: make(map[string]bool)}
	worker, err := platform.StartWorker(fleet.Sides[0], "i-1", slots, work)
	if err != nil {
		return false, err
	}
	defer worker.Close()
	worker.OnRequest = func(id string, at time.Time) { seen.request(record, worker.ID, id, at) }
	worker.OnRun = func(id string, _ time.Time) { seen.run(record, worker.ID, id) }
	time.Sleep(4 * time.Second)
	if err := warmUp(fleet); err != nil {
		return false, err
	}
	answered := sendRounds(record, fleet, seen)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	record.Log("answered with success: %d of %d", answered, rounds*(slots+1))
	record.Log("reached a worker over %s after the client had closed its connection: %d %s", late, len(seen.late), strings.Join(seen.late, " "))
	ran := 0
	for _, id := range seen.late {
		if seen.ran[id] {
			ran++
		}
	}
	record.Log("of these, the worker began to work on: %d", ran)
	return len(seen.late) > aFew, nil
}

// warmUp sends requests until both machines serve.
func warmUp(fleet *platform.Fleet) error {
	for i := range 4 {
		answer := platform.Send(context.Background(), fleet.Sides[0].Outbound(), order(fmt.Sprintf("warm-%d", i)))
		if answer.Err != nil || answer.Status != 200 {
			return fmt.Errorf("warm-up request %d: status %d, %w", i, answer.Status, errors.Join(answer.Err))
		}
	}
	return nil
}

func order(id string) *platform.Request {
	return &platform.Request{Method: "POST", Path: platform.PathA + "order", ID: id, Body: strings.Repeat("x", 4000), Deadline: deadline}
}

// sendRounds sends the orders and returns how many were answered with success. With the
// disruption, the last client of each round and machine leaves after patience.
func sendRounds(record *platform.Record, fleet *platform.Fleet, seen *log) int {
	var wait sync.WaitGroup
	answered := 0
	for round := range rounds {
		for m, machine := range fleet.Sides[:1] {
			for i := range slots + 1 {
				limit, delay := deadline, time.Duration(0)
				if i == slots {
					delay = 100 * time.Millisecond
				}
				if i == slots && platform.Trouble() {
					limit = patience
				}
				id := fmt.Sprintf("order-%d-%02d-%d", m+1, round+1, i+1)
				wait.Go(func() {
					time.Sleep(delay)
					ctx, cancel := context.WithTimeout(context.Background(), limit)
					defer cancel()
					record.Log("client on %s: sends %s", machine.Name, id)
					answer := platform.Send(ctx, machine.Outbound(), order(id))
					if seen.end(record, machine.Name, id, &answer) {
						seen.mu.Lock()
						answered++
						seen.mu.Unlock()
					}
				})
			}
		}
		time.Sleep(roundInterval)
	}
	wait.Wait()
	return answered
}

// end records the end of a client attempt and reports whether it was answered with success.
func (l *log) end(record *platform.Record, machine, id string, answer *platform.Answer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer.Err != nil {
		l.closed[id] = time.Now()
		record.Log("client on %s: closed the connection of %s without an answer", machine, id)
		return false
	}
	record.Log("client on %s: %s answered with %d", machine, id, answer.Status)
	return answer.Status == 200
}

func (l *log) request(record *platform.Record, worker, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closedAt, closed := l.closed[id]
	if !closed || at.Sub(closedAt) <= late {
		record.Log("worker %s: request %s arrives", worker, id)
		return
	}
	l.late = append(l.late, id)
	record.Log("worker %s: request %s arrives %d ms after its client closed the connection", worker, id, at.Sub(closedAt).Milliseconds())
}

func (l *log) run(record *platform.Record, worker, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id] = true
	record.Log("worker %s: begins to work on %s", worker, id)
}
