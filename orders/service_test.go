package orders

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/pipeline"
)

func begin(service *Service, key string) (BeginResult, *pipeline.Refusal) {
	record := idempotency.Key{Account: "a", Service: "s", Value: key}
	begun, err := service.Begin(context.Background(), record, idempotency.Fingerprint{1}, time.Now().Add(5*time.Second))
	var refusal *pipeline.Refusal
	errors.As(err, &refusal)
	return begun, refusal
}

// TestRacingIngressesRunAnOrderOnce sends each order through several ingresses
// at once over calls that get lost or doubled, while replicas restart without
// memory, and counts executions. Every answer must be that of the execution.
func TestRacingIngressesRunAnOrderOnce(t *testing.T) {
	const orders, ingresses = 60, 4
	fleet := newTestFleet(t, 5)
	fleet.mu.Lock()
	fleet.lossy = true
	fleet.mu.Unlock()
	var mu sync.Mutex
	executions := make(map[string]int)
	answered := 0
	// Each ingress keeps on asking for a while.
	ask := func(service *Service, key string) {
		for range 5 {
			begun, refusal := begin(service, key)
			if begun.Claim != nil && begun.Claim.MayDispatch(time.Now()) {
				mu.Lock()
				executions[key]++
				mu.Unlock()
				begun.Claim.Finish(pipeline.OutcomeAnswered, &StoredResponse{Status: 201, Body: []byte(key)})
				return
			}
			if begun.Claim != nil {
				begun.Claim.Release()
			}
			if begun.Response != nil {
				must.Eq(t, key, string(begun.Response.Body))
				mu.Lock()
				answered++
				mu.Unlock()
				return
			}
			if refusal != nil && refusal.Kind == KindResponseNotStored {
				t.Error("a small answer was not kept")
			}
		}
	}
	for order := range orders {
		if order%15 == 14 {
			fleet.start(order%5, nil)
		}
		var group sync.WaitGroup
		for i := range ingresses {
			group.Go(func() { ask(fleet.services[(order+i)%5], fmt.Sprintf("order-%d", order)) })
		}
		group.Wait()
	}
	for key, count := range executions {
		must.Eq(t, 1, count, must.Sprintf("executions of %s", key))
	}
	t.Logf("%d of %d orders ran, %d repeats were answered", len(executions), orders, answered)
	must.Greater(t, orders/2, len(executions))
	must.Positive(t, answered)
}

// TestLostMemoryIsReadBack restarts two replicas one after the other and hears
// the stored answer through both.
func TestLostMemoryIsReadBack(t *testing.T) {
	fleet := newTestFleet(t, 5)
	begun, _ := begin(fleet.services[0], "k")
	must.NotNil(t, begun.Claim)
	must.True(t, begun.Claim.MayDispatch(time.Now()))
	begun.Claim.Finish(pipeline.OutcomeAnswered, &StoredResponse{Status: 201, Body: []byte("whole")})
	must.NoError(t, fleet.services[0].Drain(t.Context()))
	for _, i := range []int{0, 1} {
		fleet.start(i, nil)
		fleet.waitReady()
		repeat, _ := begin(fleet.services[i], "k")
		must.NotNil(t, repeat.Response)
		must.Eq(t, "whole", string(repeat.Response.Body))
	}
	fleet.start(0, nil)
	fleet.start(1, nil)
	fleet.start(2, nil)
	_, refusal := begin(fleet.services[3], "other")
	must.NotNil(t, refusal)
	must.Eq(t, pipeline.KindIdempotencyUnavailable, refusal.Kind)
	must.Eq(t, pipeline.OutcomeNotRun, refusal.Outcome)
}

// TestJournalOutlivesTheProcess restarts the only instance: with its disk it
// answers at once, without it refuses, and with a failing disk it grants no vote.
func TestJournalOutlivesTheProcess(t *testing.T) {
	fleet := newTestFleet(t, 1)
	journal := &memoryJournal{}
	fleet.setEpoch(0)
	fleet.start(0, journal)
	fleet.setEpoch(idempotency.InitialEpoch)
	fleet.waitReady()
	fleet.setEpoch(idempotency.InitialEpoch + 1)
	fleet.waitReady()
	begun, _ := begin(fleet.services[0], "k")
	must.True(t, begun.Claim.MayDispatch(time.Now()))
	begun.Claim.Finish(pipeline.OutcomeAnswered, &StoredResponse{Status: 201, Body: []byte("kept")})
	must.NoError(t, fleet.services[0].Drain(t.Context()))

	// A snapshot in place of the long journal changes nothing.
	writer := fleet.services[0].journal
	writer.mu.Lock()
	writer.written = minJournalEntries + 2
	writer.mu.Unlock()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		must.NoError(t, fleet.services[0].compactJournal())
		writer.mu.Lock()
		defer writer.mu.Unlock()
		return writer.written < minJournalEntries
	}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
	fleet.start(0, journal)
	repeat, _ := begin(fleet.services[0], "k")
	must.NotNil(t, repeat.Response)
	must.Eq(t, "kept", string(repeat.Response.Body))
	journal.mu.Lock()
	journal.failing = true
	journal.mu.Unlock()
	_, refusal := begin(fleet.services[0], "new")
	must.NotNil(t, refusal)
	must.Eq(t, pipeline.OutcomeNotRun, refusal.Outcome)

	fleet.start(0, nil)
	must.Wait(t, wait.ContinualSuccess(wait.BoolFunc(func() bool { return !fleet.ready() }),
		wait.Timeout(4*testParameters.ClaimTimeout), wait.Gap(20*time.Millisecond)))
	_, refusal = begin(fleet.services[0], "k")
	must.Eq(t, pipeline.KindIdempotencyUnavailable, refusal.Kind)
}
