package backendproxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/internal/processpause"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/queue"
	"github.com/hemlockring/hemlockring/quota"
)

// Retry delays that refusals suggest to the caller.
const (
	retryOverloaded = time.Second
	retryPaused     = time.Second
	retryElsewhere  = time.Second
)

// verifyFilter refuses a request that may have been delayed by a pause of the process. It
// also checks what the ingress has sent with the request: the deadline, the dispatch
// deadline and the id of the key. The ingress has already checked the key.
type verifyFilter struct {
	keys          *keyChecker
	pauseDetector *processpause.Detector
	clock         quota.DispatchClock
}

func (*verifyFilter) Name() string { return "verify" }

func (f *verifyFilter) Request(exchange *pipeline.Exchange) error {
	now := exchange.Received
	if f.pauseDetector.MayBeDelayed(now) {
		return pipeline.NewNotRunRefusal(pipeline.KindDeadlinePassed, http.StatusServiceUnavailable,
			"the proxy process of the backend server was paused and the request may be late",
			"retry the request", retryPaused)
	}
	if err := f.readDeadline(exchange); err != nil {
		return err
	}
	return f.keys.check(exchange)
}

func (f *verifyFilter) readDeadline(exchange *pipeline.Exchange) error {
	header := exchange.Request.Header
	remainingMillis, err := strconv.ParseInt(header.Get(pipeline.HeaderDeadline), 10, 64)
	if err != nil || remainingMillis <= 0 {
		return pipeline.NewNotRunRefusal(pipeline.KindDeadlinePassed, http.StatusGatewayTimeout,
			"the deadline passed before the request reached the backend server",
			"retry the request", retryElsewhere)
	}
	exchange.Deadline = exchange.Received.Add(time.Duration(remainingMillis) * time.Millisecond)
	return f.readDispatchBy(exchange)
}

// readDispatchBy sets the dispatch deadline of the request. The ingress sends it as a
// reading of this process's own clock, so a slow network or a paused process does not
// extend it.
func (f *verifyFilter) readDispatchBy(exchange *pipeline.Exchange) error {
	current := f.clock.Reading(exchange.Received)
	dispatchBy, ok := ParseClockReading(exchange.Request.Header.Get(pipeline.HeaderDispatchBy))
	if !ok || dispatchBy.Incarnation != current.Incarnation {
		return pipeline.NewNotRunRefusal(pipeline.KindClockUnknown, http.StatusServiceUnavailable,
			"the dispatch deadline is missing or refers to an earlier run of this instance", "retry the request", retryElsewhere)
	}
	if dispatchBy.Elapsed <= current.Elapsed {
		return refuseDispatchExpired()
	}
	exchange.DispatchBy = exchange.Received.Add(dispatchBy.Elapsed - current.Elapsed)
	return nil
}

// refuseDispatchExpired returns the refusal for a request whose dispatch deadline passed
// while the request was on its way to this instance or waited for a slot.
func refuseDispatchExpired() *pipeline.Refusal {
	return pipeline.NewNotRunRefusal(pipeline.KindBusy, http.StatusServiceUnavailable,
		"the dispatch deadline passed: the request's own deadline, its quota token or the confirmation of its key expired before the request was dispatched",
		"retry the request", retryOverloaded)
}

// drainFilter refuses new requests while the instance is stopping.
type drainFilter struct {
	draining *atomic.Bool
}

func (*drainFilter) Name() string { return "drain" }

func (f *drainFilter) Request(*pipeline.Exchange) error {
	if f.draining.Load() {
		return refuseDraining()
	}
	return nil
}

func refuseDraining() *pipeline.Refusal {
	return pipeline.NewNotRunRefusal(pipeline.KindDraining, http.StatusServiceUnavailable,
		"the backend server or its instance is draining and accepts no new requests",
		"retry the request; another backend server can run it", retryElsewhere)
}

// HealthMonitor monitors the health of backend servers from the results of their
// requests. Implementations must be safe for concurrent use.
type HealthMonitor interface {
	// Begin records that a request is about to be sent to a backend server. It returns
	// false when the server must not get the request now, for example because it is
	// ejected.
	Begin(server fleetconfig.BackendServerID, attempt Attempt, now time.Time) (Observation, bool)
	// Admits reports whether Begin would admit the request now.
	Admits(server fleetconfig.BackendServerID, attempt Attempt, now time.Time) bool
	// WeightPercent returns the share of its full load that the backend server should
	// get now, in percent.
	WeightPercent(server fleetconfig.BackendServerID, now time.Time) int
	// FailureProbabilityPercent returns the probability that the backend server fails
	// most requests now, in percent.
	FailureProbabilityPercent(server fleetconfig.BackendServerID, now time.Time) int
	// SheddingPercent returns the share of its recent requests that the backend server has
	// refused to run, in percent.
	SheddingPercent(server fleetconfig.BackendServerID, now time.Time) int
}

// Attempt describes a request that is about to be sent to a backend server.
type Attempt struct {
	// Account is the client account of the request.
	Account fleetconfig.AccountID
	// Deadline is when the request times out.
	Deadline time.Time
	// Idempotent says that the request may be repeated on another backend server.
	Idempotent bool
	// LastResort says that the backend server should run the request even if it is
	// suspected of failure; see pipeline.Exchange.LastResort.
	LastResort bool
}

func attemptOf(exchange *pipeline.Exchange) Attempt {
	return Attempt{
		Account:    exchange.Account,
		Deadline:   exchange.Deadline,
		Idempotent: exchange.Idempotent,
		LastResort: exchange.LastResort,
	}
}

// Observation is one request that a HealthMonitor has admitted.
type Observation interface {
	// End records the result of the request. Calls after the first have no effect.
	End(result health.Result, now time.Time)
}

// healthFilter refuses a request, before it waits for a slot, when the health monitor
// would not admit it. The ingress then sends it to another backend server.
type healthFilter struct {
	monitor HealthMonitor
}

func (*healthFilter) Name() string { return "doubt" }

func (f *healthFilter) Request(exchange *pipeline.Exchange) error {
	if f.monitor.Admits(exchange.BackendServer, attemptOf(exchange), clock.Now()) {
		return nil
	}
	return refuseSuspect()
}

func refuseSuspect() *pipeline.Refusal {
	return pipeline.NewNotRunRefusal(pipeline.KindServerSuspect, http.StatusServiceUnavailable,
		"the backend server is failing requests", "send the request to another backend server", retryElsewhere)
}

// queueFilter acquires a slot of the backend server for the duration of the exchange.
type queueFilter struct {
	registry *Registry
	status   *statusObserver
}

func (*queueFilter) Name() string { return "queue" }

func (f *queueFilter) Request(exchange *pipeline.Exchange) error {
	if known, ok := parseKnownRate(exchange.Request.Header.Get(HeaderKnownRate)); ok && f.registry.adoptRate(exchange.BackendServer, known) {
		f.status.logLine("backend server rate adopted from an ingress", exchange.BackendServer, "request", exchange.RequestID,
			"per_second", known.PerSecond, "age_ms", known.Age.Milliseconds())
	}
	item := queue.Item{
		Account:     exchange.Account,
		Urgency:     exchange.Urgency,
		Deadline:    exchange.Deadline,
		StartBy:     exchange.DispatchBy,
		TargetTime:  exchange.TargetTime,
		ServiceTime: exchange.ServiceTime,
	}
	if exchange.Urgency.IsCall() {
		// The run that sent a call needs its response even if it is late.
		item.TargetTime = time.Time{}
	}
	if exchange.MaxRateWait > 0 {
		item.WaitForRate = true
		if latest := exchange.Received.Add(exchange.MaxRateWait); latest.Before(item.StartBy) {
			item.StartBy = latest
		}
	}
	slot, refuse := f.registry.acquire(exchange.Request.Context(), exchange.BackendServer, exchange.Service, item)
	switch {
	case refuse != nil:
		if refuse.Reason == queue.ReasonRateLimited {
			f.registry.rateRefusals.Add(1)
		}
		return refuseNoSlot(refuse)
	case slot == nil:
		return pipeline.NewNotRunRefusal(pipeline.KindServerUnregistered, http.StatusServiceUnavailable,
			"the backend server is not registered at this instance for the service", "retry the request", retryElsewhere)
	}
	stateOf(exchange).slot = slot
	return nil
}

func refuseNoSlot(refuse *queue.Refuse) *pipeline.Refusal {
	switch refuse.Reason {
	case queue.ReasonDraining:
		return refuseDraining()
	case queue.ReasonCanceled:
		return refuseCanceled()
	case queue.ReasonRateLimited:
		return pipeline.NewNotRunRefusal(pipeline.KindServerRateLimited, http.StatusServiceUnavailable,
			"the backend server advertises a rate that does not admit the request now",
			"send the request to another backend server", refuse.RetryAfter)
	case queue.ReasonOverloaded:
		return pipeline.NewNotRunRefusal(pipeline.KindBusy, http.StatusServiceUnavailable,
			"requests arrive faster than the backend server runs them, and this one would miss its latency target",
			"retry the request", max(refuse.RetryAfter, retryOverloaded))
	case queue.ReasonDeadline:
		return pipeline.NewNotRunRefusal(pipeline.KindBusy, http.StatusServiceUnavailable,
			"the request would not get a slot of the backend server before its deadline",
			"retry the request", max(refuse.RetryAfter, retryOverloaded))
	default:
		return pipeline.NewNotRunRefusal(pipeline.KindBusy, http.StatusServiceUnavailable,
			"every slot of the backend server is in use and its queue is full",
			"retry the request", max(refuse.RetryAfter, retryOverloaded))
	}
}

// refuseCanceled returns the refusal for a request whose context has ended: the caller has
// disconnected, or the deadline of an ingress in the same process has passed.
func refuseCanceled() *pipeline.Refusal {
	return pipeline.NewNotRunRefusal(pipeline.KindCanceled, http.StatusServiceUnavailable,
		"the request was canceled by its caller or by the deadline of the ingress", "retry the request if it is still needed", retryElsewhere)
}

// Finish implements pipeline.Finisher. It releases the slot.
func (f *queueFilter) Finish(exchange *pipeline.Exchange) {
	if slot := stateOf(exchange).slot; slot != nil {
		slot.Release()
	}
}
