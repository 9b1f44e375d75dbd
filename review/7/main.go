//go:build review2

// Command drain shows requests that reach a worker long after the acknowledgement that it has
// left.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/hemlockring/hemlockring/review/second/platform"
)

const (
	slots = 7
	work  = 610 * time.Millisecond
	// delay is how late the worker's last check-in as ready arrives.
	delay = 5 * time.Second
	// drainPeriod is DrainPeriodMs, contact is ContactMs.
	drainPeriod = 2 * time.Second
	contact     = 3 * time.Second
	// serving is how long the worker serves after its leave was acknowledged.
	serving  = 5 * time.Second
	interval = 35 * time.Millisecond
)

func main() { os.Exit(platform.Run(os.Args[1], run)) }

func run(record *platform.Record) (bool, error) {
	// The worker that leaves runs on the second machine, others of its service on two more.
	fleet, err := platform.NewFleet(record, 3, platform.ServiceA, platform.ServiceA, platform.ServiceA)
	if err != nil {
		return false, err
	}
	defer fleet.Stop()
	if err := fleet.StartAll(platform.Configuration(1, 0, 1000, false)); err != nil {
		return false, err
	}
	seen := &arrivals{}
	var workers []*platform.Worker
	for i, machine := range fleet.Sides {
		worker, err := platform.StartWorker(machine, fmt.Sprintf("i-%d", i+1), slots, work)
		if err != nil {
			return false, err
		}
		defer worker.Close()
		workers = append(workers, worker)
	}
	leaving, machine := workers[1], fleet.Sides[1]
	leaving.OnRequest = func(id string, at time.Time) { seen.add(record, id, at) }
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := send(ctx, record, fleet.Sides...)
	time.Sleep(3 * time.Second)

	// The worker sends a check-in that is late, and then leaves. Only the disruption restarts
	// the process beside it meanwhile.
	leaving.StopCheckIns()
	time.Sleep(100 * time.Millisecond)
	late := leaving.NextCheckIn()
	sentAt := time.Now()
	record.Log("worker i-2: sends a check-in as ready, which will arrive %s late", delay)
	time.Sleep(500 * time.Millisecond)
	if !leaving.Leave() {
		return false, fmt.Errorf("the leave of the worker was not acknowledged")
	}
	ackedAt := time.Now()
	record.Log("worker i-2: its leave is acknowledged by %s", machine.Name)
	if platform.Trouble() {
		time.Sleep(200 * time.Millisecond)
		machine.Signal(syscall.SIGKILL)
		machine.AwaitExit(time.Second)
		time.Sleep(500 * time.Millisecond)
		if err := machine.Start(); err != nil {
			return false, err
		}
	}
	restartedAt := time.Now()
	time.Sleep(time.Until(sentAt.Add(delay)))
	record.Log("worker i-2: the late check-in arrives, acknowledged: %t", leaving.CheckIn(late))
	time.Sleep(time.Until(ackedAt.Add(serving)))
	record.Log("worker i-2: exits")
	leaving.Close()
	cancel()
	clients.Wait()
	// The machine was in touch when it acknowledged the leave. Only requests that it sends on
	// once it is in touch again count.
	from := ackedAt.Add(drainPeriod)
	if again := restartedAt.Add(contact); platform.Trouble() && again.After(from) {
		from = again
	}
	count := seen.after(from)
	record.Log("requests that reached worker i-2 over %s after its leave was acknowledged, sent on by machines in touch: %d", drainPeriod, count)
	return count > 0, nil
}

// send sends requests on the machines at a steady rate until ctx ends.
func send(ctx context.Context, record *platform.Record, machines ...*platform.Machine) *sync.WaitGroup {
	var wait sync.WaitGroup
	wait.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			machine := machines[i%len(machines)]
			request := &platform.Request{Method: "POST", Path: platform.PathA + "order", ID: fmt.Sprintf("order-%04d", i+1), Body: "one pallet", Deadline: 5 * time.Second}
			wait.Go(func() {
				answer := platform.Send(context.Background(), machine.Outbound(), request)
				record.Log("client on %s: %s answered with %d, %s, error %v", machine.Name, request.ID, answer.Status, answer.Signature, answer.Err)
			})
			time.Sleep(interval)
		}
	})
	return &wait
}

// arrivals are the requests that reached the leaving worker.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add(record *platform.Record, id string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, at)
	record.Log("worker i-2: request %s arrives", id)
}

func (a *arrivals) after(limit time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, at := range a.at {
		if at.After(limit) {
			count++
		}
	}
	return count
}
