package ingress

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/processpause"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quota"
	"github.com/hemlockring/hemlockring/transport"
)

// fakeFleet is a fake of the ingress's dependencies: instances with one backend
// server each, the selector, the retry policy and the recorder.
type fakeFleet struct {
	responders []func(request *http.Request) (*http.Response, error)
	// rateWait is the result of RateWait; zero means that there is none.
	rateWait time.Duration
	// busyRefusals is the number of refusals for want of room after which Room finds none.
	busyRefusals int
	// callPrecedence sets CallPrecedence in the active preset.
	callPrecedence bool
	// byRoom sets AdmissionByRoom in the active preset.
	byRoom bool
	// lastResort is set in every candidate.
	lastResort bool
	attempted  []int
	// retryBudget is how many more retries MayRetry permits.
	retryBudget int
	// retriesRefused counts the calls of RetryRefused.
	retriesRefused int
	// runs is the tracker of runs that the ingress asks.
	runs    Runs
	results []Attempt
	// local, if set, serves the first attempt as the backend proxy of the same instance.
	local http.HandlerFunc
	// peerClock is what membership knows about the clocks of the instances.
	peerClock func(fleetconfig.InstanceID, uint64, time.Time) (quota.PeerClock, bool)
}

func (s *fakeFleet) RoundTrip(address string, request *http.Request, _ transport.ConnectionClass) (*http.Response, error) {
	index := int(address[0] - 'a')
	s.attempted = append(s.attempted, index)
	return s.responders[index](request)
}

func (s *fakeFleet) Pick(_ *pipeline.Exchange, tried []Candidate) (Candidate, bool) {
	if s.local != nil && len(tried) == 0 {
		return Candidate{Instance: "local", Server: "local"}, true
	}
	for i := range s.responders {
		address := string(rune('a' + i))
		if !slices.ContainsFunc(tried, func(c Candidate) bool { return c.Address == address }) {
			return Candidate{Instance: fleetconfig.InstanceID(address), Server: "s", Address: address, LastResort: s.lastResort}, true
		}
	}
	return Candidate{}, false
}

func (*fakeFleet) Repeat(Candidate, *pipeline.Exchange) {}
func (s *fakeFleet) RateWait(fleetconfig.ServiceName) (time.Duration, bool) {
	return s.rateWait, s.rateWait > 0
}

// Room finds room until the fleet's room is used up.
func (s *fakeFleet) Room(_ *pipeline.Exchange, _ []Candidate, busyRefusals int) (time.Duration, bool) {
	return roomIn, busyRefusals < s.busyRefusals
}

func (s *fakeFleet) Done(attempt *Attempt)           { s.results = append(s.results, *attempt) }
func (*fakeFleet) RequestStarted(*pipeline.Exchange) {}

func (s *fakeFleet) MayRetry(*pipeline.Exchange, pipeline.Outcome) bool {
	s.retryBudget--
	return s.retryBudget >= 0
}

func (s *fakeFleet) RetryRefused(*pipeline.Exchange) { s.retriesRefused++ }

func (*fakeFleet) Record(*pipeline.Exchange, time.Duration) {}

// fakeConfiguration has a fixed view. It is current unless stale is set.
type fakeConfiguration struct {
	view  *fleetconfig.View
	stale bool
}

func (c *fakeConfiguration) View() *fleetconfig.View { return c.view }

func (c *fakeConfiguration) Current(time.Time) (bool, time.Duration) {
	return !c.stale, time.Second
}

func (c *fakeConfiguration) CurrentUntil() time.Time { return time.Now().Add(time.Minute) }

func respondStatus(status int) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		header := http.Header{pipeline.HeaderOutcome: {pipeline.OutcomeAnswered.String()}}
		return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader("body"))}, nil
	}
}

// respondRefusal responds with the refusal of a backend proxy.
func respondRefusal(kind pipeline.RefusalKind, outcome pipeline.Outcome, reached bool) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		recorder := httptest.NewRecorder()
		refused := &pipeline.Refusal{Kind: kind, Status: http.StatusServiceUnavailable, Outcome: outcome, ReachedServer: reached}
		refused.WriteInternal(recorder)
		return recorder.Result(), nil
	}
}

func failWith(err error) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) { return nil, err }
}

// serve sends one GET request through an ingress to the fleet.
func (s *fakeFleet) serve(idempotency fleetconfig.Idempotency, maxAttempts uint32, budget int) *httptest.ResponseRecorder {
	return s.serveRequest(httptest.NewRequest(http.MethodGet, "http://a.example/x", nil), idempotency, maxAttempts, budget)
}

// testPriority is the priority of the route.
const testPriority = 3

// The backend proxy must receive the urgency that follows from the priority of the
// route, and the version of the configuration, also with a request without a key.
func TestForwardSendsUrgencyAndVersion(t *testing.T) {
	var urgency, version string
	fleet := &fakeFleet{responders: []func(*http.Request) (*http.Response, error){func(request *http.Request) (*http.Response, error) {
		urgency = request.Header.Get(pipeline.HeaderUrgency)
		version = request.Header.Get(pipeline.HeaderConfigurationVersion)
		return respondStatus(http.StatusOK)(request)
	}}}
	must.Eq(t, http.StatusOK, fleet.serve(fleetconfig.IdempotentAlways, 1, 0).Code)
	expected := fleetconfig.UrgencyOf(nil, &fleetconfig.Route{Priority: testPriority})
	must.Eq(t, strconv.FormatUint(uint64(expected), 10), urgency)
	must.Eq(t, "1", version)
}

// maxTestBody is the body size limit of the test configuration, in bytes.
const maxTestBody = 100

func (s *fakeFleet) serveRequest(request *http.Request, idempotency fleetconfig.Idempotency, maxAttempts uint32, budget int) *httptest.ResponseRecorder {
	s.attempted, s.results, s.retryBudget = nil, nil, budget
	document := fleetconfig.NewDocument()
	document.Version = 1
	document.CallerLimits.BodyBytes = maxTestBody
	for i := range document.Presets {
		document.Presets[i].AdmissionByRoom = s.byRoom
		document.Presets[i].CallPrecedence = s.callPrecedence
	}
	document.Routes = []fleetconfig.Route{{
		ID: "r", PathPrefix: "/", Service: "catalogue", OpenToAll: true, Idempotency: idempotency, MaxAttempts: maxAttempts, Priority: testPriority,
	}}
	proxy := New(Config{
		Configuration: &fakeConfiguration{view: fleetconfig.NewView(document)},
		PauseDetector: processpause.NewDetector(),
		Remote:        s,
		Local:         s.local,
		Selector:      s,
		Retry:         s,
		Runs:          s.runs,
		Recorder:      s,
		PeerClock:     s.peerClock,
		Logger:        slog.New(slog.DiscardHandler),
	})
	recorder := httptest.NewRecorder()
	proxy.ServeHTTP(recorder, request)
	return recorder
}

const (
	idempotent    = fleetconfig.IdempotentAlways
	nonIdempotent = fleetconfig.IdempotentNever
)

// A request that no backend server has received is sent to the next one without any
// retry budget, even if it is not idempotent.
func TestForwardRetriesUnreachedAttemptsWithoutBudget(t *testing.T) {
	fleet := &fakeFleet{responders: []func(*http.Request) (*http.Response, error){
		respondRefusal(pipeline.KindBusy, pipeline.OutcomeNotRun, false),
		failWith(errors.Mark(errors.New("gone"), transport.ErrNotSent)),
		respondRefusal(pipeline.KindServerSuspect, pipeline.OutcomeNotRun, false),
		respondStatus(http.StatusOK),
	}}
	must.Eq(t, http.StatusOK, fleet.serve(nonIdempotent, 2, 0).Code)
	must.Eq(t, []int{0, 1, 2, 3}, fleet.attempted)
}

// A non-idempotent request that may have run must not be sent again, and its caller
// must receive the outcome "unknown".
func TestForwardDoesNotRetryNonIdempotentRequestWithUnknownOutcome(t *testing.T) {
	for _, unknown := range []func(*http.Request) (*http.Response, error){
		respondRefusal(pipeline.KindOutcomeUnknown, pipeline.OutcomeUnknown, true),
		failWith(errors.New("reset")),
	} {
		fleet := &fakeFleet{responders: []func(*http.Request) (*http.Response, error){unknown, respondStatus(http.StatusOK)}}
		recorder := fleet.serve(nonIdempotent, 2, 9)
		must.Eq(t, pipeline.OutcomeUnknown.String(), recorder.Header().Get(pipeline.HeaderOutcome))
		must.Eq(t, []int{0}, fleet.attempted)
	}
}

// A server error is retried for an idempotent request while the retry budget and the
// route permit it, and passed to the caller otherwise. For a non-idempotent request
// it is always passed to the caller.
func TestForwardRetriesServerErrorsOfIdempotentRequests(t *testing.T) {
	fleet := &fakeFleet{responders: []func(*http.Request) (*http.Response, error){respondStatus(500), respondStatus(503), respondStatus(http.StatusOK)}}
	must.Eq(t, http.StatusOK, fleet.serve(idempotent, 0, 2).Code)
	must.Eq(t, 500, fleet.serve(idempotent, 0, 0).Code)
	must.Eq(t, 503, fleet.serve(idempotent, 2, 9).Code)
	must.Eq(t, []int{0, 1}, fleet.attempted)
	must.Eq(t, 500, fleet.serve(nonIdempotent, 0, 9).Code)
	must.Eq(t, []int{0}, fleet.attempted)
}

// If every backend server is suspected of failure, the request is marked as last
// resort after maxSuspectRefusals refusals. If no other candidate is left after fewer
// refusals, the request is marked then and sent again to a candidate that refused it.
func TestForwardSetsLastResortWhenAllServersAreSuspect(t *testing.T) {
	respondOnLastResort := func(request *http.Request) (*http.Response, error) {
		if request.Header.Get(pipeline.HeaderLastResort) != "" {
			return respondStatus(http.StatusOK)(request)
		}
		return respondRefusal(pipeline.KindServerSuspect, pipeline.OutcomeNotRun, false)(request)
	}
	smallFleet := &fakeFleet{responders: []func(*http.Request) (*http.Response, error){respondOnLastResort, respondOnLastResort}}
	must.Eq(t, http.StatusOK, smallFleet.serve(nonIdempotent, 2, 0).Code)
	must.Eq(t, []int{0, 1, 0}, smallFleet.attempted)
	largeFleet := &fakeFleet{}
	for range 20 {
		largeFleet.responders = append(largeFleet.responders, respondOnLastResort)
	}
	must.Eq(t, http.StatusOK, largeFleet.serve(nonIdempotent, 2, 0).Code)
	must.Len(t, maxSuspectRefusals+1, largeFleet.attempted)
	knownSuspects := &fakeFleet{responders: largeFleet.responders, lastResort: true}
	must.Eq(t, http.StatusOK, knownSuspects.serve(nonIdempotent, 2, 0).Code)
	must.Len(t, 1, knownSuspects.attempted)
}

// An attempt that ends with the request's context says nothing about the path.
func TestForwardDistinguishesLostFromUnansweredAttempts(t *testing.T) {
	for _, ended := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := &fakeFleet{responders: []func(*http.Request) (*http.Response, error){func(*http.Request) (*http.Response, error) {
			if ended {
				cancel()
			}
			return nil, errors.New("no response")
		}}}
		fleet.serveRequest(httptest.NewRequestWithContext(ctx, http.MethodGet, "http://a.example/x", nil), nonIdempotent, 1, 0)
		must.Len(t, 1, fleet.results)
		must.Eq(t, ended, fleet.results[0].Unanswered)
		must.Eq(t, !ended, fleet.results[0].PathFailed)
		cancel()
	}
}

// readBodyAndRespond reads the whole request body, as a transport does, and responds
// with status 200. The first request to an instance has no body; it is refused with
// a clock reading.
func readBodyAndRespond(request *http.Request) (*http.Response, error) {
	if request.Body == nil {
		response, err := respondRefusal(pipeline.KindClockUnknown, pipeline.OutcomeNotRun, false)(request)
		dispatchClock := quota.NewDispatchClock(1, clock.Now())
		response.Header.Set(pipeline.HeaderClock, backendproxy.FormatClockReading(dispatchClock.Reading(clock.Now())))
		return response, err
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return nil, err
	}
	return respondStatus(http.StatusOK)(request)
}

// The first request to an instance has a dispatch deadline by the clock that membership knows,
// which is never later than that of the instance itself.
func TestForwardUsesAnnouncedClockAtFirstContact(t *testing.T) {
	dispatchClock := quota.NewDispatchClock(7, clock.Now().Add(-time.Minute))
	var received quota.ClockReading
	fleet := &fakeFleet{
		responders: []func(*http.Request) (*http.Response, error){func(request *http.Request) (*http.Response, error) {
			received, _ = backendproxy.ParseClockReading(request.Header.Get(pipeline.HeaderDispatchBy))
			return respondStatus(http.StatusOK)(request)
		}},
		peerClock: func(_ fleetconfig.InstanceID, known uint64, now time.Time) (quota.PeerClock, bool) {
			var peer quota.PeerClock
			peer.Observe(quota.ClockReading{Incarnation: 7, Elapsed: 59 * time.Second}, now)
			return peer, known < 7
		},
	}
	must.Eq(t, http.StatusOK, fleet.serve(idempotent, 1, 0).Code)
	must.Eq(t, []int{0}, fleet.attempted)
	must.Eq(t, 7, received.Incarnation)
	latest := dispatchClock.Reading(clock.Now().Add(fleetconfig.DefaultRouteTimeout))
	must.Less(t, latest.Elapsed, received.Elapsed)
}

// A request body that cannot be read to its end, or that exceeds the size limit,
// must not count as a failure of the path to an instance, and the request must not
// be sent to another instance.
func TestForwardCallerBodyErrorIsNoPathFailure(t *testing.T) {
	for _, broken := range []struct {
		body   io.Reader
		status int
	}{
		{io.MultiReader(strings.NewReader("some"), iotest.ErrReader(errors.New("malformed chunk"))), http.StatusBadRequest},
		{io.MultiReader(strings.NewReader(strings.Repeat("x", 2*maxTestBody))), http.StatusRequestEntityTooLarge},
	} {
		fleet := &fakeFleet{responders: []func(*http.Request) (*http.Response, error){readBodyAndRespond, readBodyAndRespond}}
		request := httptest.NewRequest(http.MethodPost, "http://a.example/x", broken.body)
		request.ContentLength = -1
		recorder := fleet.serveRequest(request, idempotent, 0, 9)
		must.Eq(t, broken.status, recorder.Code)
		must.Eq(t, pipeline.OutcomeUnknown.String(), recorder.Header().Get(pipeline.HeaderOutcome))
		must.Eq(t, []int{0, 0}, fleet.attempted)
		must.False(t, fleet.results[1].PathFailed)
		must.True(t, fleet.results[1].Canceled)
	}
}

// A request must not be dispatched after its deadline, after its quota token expires,
// or after the time until which this instance has confirmed the key of the request as
// current.
func TestLocalDispatchDeadlineIsEarliestLimit(t *testing.T) {
	now := time.Now()
	exchange := &pipeline.Exchange{Deadline: now.Add(time.Minute), TokenExpires: now.Add(2 * time.Second), CurrentUntil: now.Add(time.Second)}
	must.Eq(t, exchange.CurrentUntil, localDispatchDeadline(exchange))
	exchange.CurrentUntil = now.Add(3 * time.Second)
	must.Eq(t, exchange.TokenExpires, localDispatchDeadline(exchange))
	exchange.CurrentUntil, exchange.TokenExpires = time.Time{}, time.Time{}
	must.Eq(t, exchange.Deadline, localDispatchDeadline(exchange))
}

// An instance that cannot confirm that its configuration is current must not respond
// that a route does not exist.
func TestRouteFilterStaleConfigurationReturnsUnavailable(t *testing.T) {
	document := fleetconfig.NewDocument()
	configuration := &fakeConfiguration{view: fleetconfig.NewView(document), stale: true}
	filter := &routeFilter{configuration: configuration}
	refused := func() int {
		err := filter.Request(&pipeline.Exchange{Request: httptest.NewRequest(http.MethodGet, "/x", nil), Received: time.Now()})
		var refusal *pipeline.Refusal
		must.True(t, errors.As(err, &refusal))
		return refusal.Status
	}
	must.Eq(t, http.StatusServiceUnavailable, refused())
	configuration.stale = false
	must.Eq(t, http.StatusNotFound, refused())
}

// The caller is told when the first backend server admits a request.
func TestRetryAfterFollowsFromAdvertisedRates(t *testing.T) {
	fleet := &fakeFleet{rateWait: 4500 * time.Millisecond, responders: []func(*http.Request) (*http.Response, error){
		respondRefusal(pipeline.KindServerRateLimited, pipeline.OutcomeNotRun, false),
	}}
	recorder := fleet.serve(nonIdempotent, 2, 0)
	must.Eq(t, http.StatusServiceUnavailable, recorder.Code)
	must.Eq(t, "5", recorder.Header().Get("Retry-After"))
	must.Eq(t, "not-run", recorder.Header().Get(pipeline.HeaderOutcome))
	must.Eq(t, string(pipeline.KindServerRateLimited), recorder.Header().Get(pipeline.HeaderRefusal))
}

// fakeRuns says that every request comes from a repeated run, or that none does.
type fakeRuns bool

func (r fakeRuns) IsRepeatedCall(*pipeline.Exchange) bool { return bool(r) }

func (fakeRuns) RecordFailedCall(*pipeline.Exchange) {}

// callerUrgency is the urgency of the run that sends each request, if fakeRuns says so.
const callerUrgency fleetconfig.Urgency = 2<<32 | 1

func (r fakeRuns) RecordCall(*pipeline.Exchange) fleetconfig.Urgency {
	if r {
		return fleetconfig.UrgencyOfCall(callerUrgency)
	}
	return 0
}

// A call has the urgency that follows from its caller's, and the backend proxy learns its route,
// while the preset gives calls precedence.
func TestForwardSendsUrgencyOfCall(t *testing.T) {
	for _, c := range []struct {
		precedence, call bool
		urgency          fleetconfig.Urgency
		route            string
	}{
		{true, true, fleetconfig.UrgencyOfCall(callerUrgency), "r"},
		{true, false, fleetconfig.UrgencyOf(nil, &fleetconfig.Route{Priority: testPriority}), "r"},
		{false, true, fleetconfig.UrgencyOf(nil, &fleetconfig.Route{Priority: testPriority}), ""},
	} {
		var sent http.Header
		fleet := &fakeFleet{runs: fakeRuns(c.call), callPrecedence: c.precedence, responders: []func(*http.Request) (*http.Response, error){func(request *http.Request) (*http.Response, error) {
			sent = request.Header
			return respondStatus(http.StatusOK)(request)
		}}}
		must.Eq(t, http.StatusOK, fleet.serve(idempotent, 1, 0).Code)
		must.Eq(t, strconv.FormatUint(uint64(c.urgency), 10), sent.Get(pipeline.HeaderUrgency))
		must.Eq(t, c.route, sent.Get(pipeline.HeaderRoute))
	}
}

// keyedRuns records whether the requests that it was asked about had keys.
type keyedRuns struct {
	fakeRuns
	failed []bool
}

func (r *keyedRuns) RecordFailedCall(exchange *pipeline.Exchange) {
	r.failed = append(r.failed, exchange.HasKey)
}

// A request that names a run shows whether it has a key, also if that is not valid or the route
// needs none.
func TestForwardTellsCallsWithKeys(t *testing.T) {
	for _, keys := range [][]string{nil, {"Bearer k"}, {"Bearer k", "Bearer other"}} {
		runs := &keyedRuns{}
		fleet := &fakeFleet{runs: runs, responders: []func(*http.Request) (*http.Response, error){respondStatus(http.StatusNotFound)}}
		request := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
		request.Header.Set(pipeline.HeaderCallerRequest, "run")
		request.Header["Authorization"] = keys
		fleet.serveRequest(request, idempotent, 1, 0)
		must.Eq(t, []bool{len(keys) > 0}, runs.failed)
	}
}

// A request whose calls find no room is refused as not run after two backend proxies said so.
func TestForwardGivesUpWhenCalledServiceIsBusy(t *testing.T) {
	fleet := &fakeFleet{}
	for range 5 {
		fleet.responders = append(fleet.responders, respondRefusal(pipeline.KindCalledServiceBusy, pipeline.OutcomeNotRun, false))
	}
	recorder := fleet.serve(nonIdempotent, 2, 0)
	must.Eq(t, http.StatusServiceUnavailable, recorder.Code)
	must.Eq(t, string(pipeline.KindCalledServiceBusy), recorder.Header().Get(pipeline.HeaderRefusal))
	must.Len(t, maxCalledServiceRefusals, fleet.attempted)
}

// Backend proxies must learn which attempts are retries and which come from repeated runs.
func TestForwardMarksRepeats(t *testing.T) {
	var repeats []string
	record := func(respond func(*http.Request) (*http.Response, error)) func(*http.Request) (*http.Response, error) {
		return func(request *http.Request) (*http.Response, error) {
			repeats = append(repeats, request.Header.Get(pipeline.HeaderRepeat))
			return respond(request)
		}
	}
	fleet := &fakeFleet{responders: []func(*http.Request) (*http.Response, error){
		record(respondRefusal(pipeline.KindBusy, pipeline.OutcomeNotRun, false)),
		record(respondStatus(http.StatusInternalServerError)),
		record(respondStatus(http.StatusOK)),
	}}
	must.Eq(t, http.StatusOK, fleet.serve(fleetconfig.IdempotentAlways, 3, 1).Code)
	must.Eq(t, []string{"", "", "retry"}, repeats)
	repeats, fleet.runs = nil, fakeRuns(true)
	must.Eq(t, http.StatusOK, fleet.serve(fleetconfig.IdempotentAlways, 3, 1).Code)
	must.Eq(t, []string{"call", "call", "call"}, repeats)
}

// A request that servers may not receive again ends with what is known of its first attempt.
func TestForwardGivesUpWhenServersMayReceiveNoRepeats(t *testing.T) {
	exhausted := respondRefusal(pipeline.KindRetryBudget, pipeline.OutcomeNotRun, false)
	fleet := &fakeFleet{responders: []func(*http.Request) (*http.Response, error){respondStatus(http.StatusInternalServerError)}}
	for range maxRetryRefusals {
		fleet.responders = append(fleet.responders, exhausted)
	}
	fleet.responders = append(fleet.responders, respondStatus(http.StatusOK))
	must.Eq(t, http.StatusBadGateway, fleet.serve(fleetconfig.IdempotentAlways, 3, 10).Code)
	must.Len(t, 1+maxRetryRefusals, fleet.attempted)
	must.Eq(t, 9, fleet.retryBudget)
	must.Eq(t, 1, fleet.retriesRefused)
	fleet.responders = fleet.responders[:3]
	must.Eq(t, http.StatusBadGateway, fleet.serve(fleetconfig.IdempotentAlways, 3, 10).Code)
	must.Eq(t, 2, fleet.retriesRefused)
	fleet.responders[2] = respondStatus(http.StatusOK)
	must.Eq(t, http.StatusOK, fleet.serve(fleetconfig.IdempotentAlways, 3, 10).Code)
}

// Guards against a server error with an endless or truncated body that keeps its request from being sent again.
func TestForwardRetriesLocalServerErrorWithUnusableBody(t *testing.T) {
	for name, body := range map[string]func(http.ResponseWriter){
		"endless": func(w http.ResponseWriter) {
			for {
				if _, err := w.Write(make([]byte, 1<<10)); err != nil {
					panic(http.ErrAbortHandler)
				}
			}
		},
		"truncated": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"whole":     func(w http.ResponseWriter) { _, _ = w.Write([]byte("sorry")) },
	} {
		fleet := &fakeFleet{
			local: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(pipeline.HeaderOutcome, pipeline.OutcomeAnswered.String())
				w.WriteHeader(http.StatusInternalServerError)
				body(w)
			},
			responders: []func(*http.Request) (*http.Response, error){respondStatus(http.StatusOK)},
		}
		must.Eq(t, http.StatusOK, fleet.serve(idempotent, 0, 1).Code, must.Sprint(name))
		must.Eq(t, []int{0}, fleet.attempted, must.Sprint(name))
		must.Len(t, 2, fleet.results)
	}
}

// Guards against a response of another instance's HTTP server that a caller takes for the answer to an order.
func TestForwardPassesOnlyResponsesOfBackendServers(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotFound, http.StatusRequestHeaderFieldsTooLarge, http.StatusServiceUnavailable} {
		unmarked := func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Header: make(http.Header), Body: http.NoBody}, nil
		}
		fleet := &fakeFleet{responders: []func(*http.Request) (*http.Response, error){unmarked, respondStatus(http.StatusOK)}}
		recorder := fleet.serve(nonIdempotent, 0, 1)
		must.Eq(t, http.StatusBadGateway, recorder.Code)
		must.Eq(t, pipeline.OutcomeUnknown.String(), recorder.Header().Get(pipeline.HeaderOutcome))
		must.Eq(t, []int{0}, fleet.attempted)
		must.Eq(t, http.StatusOK, fleet.serve(idempotent, 0, 1).Code)
	}
}

// Guards against a request that gets the policies of an inner route because an escaped slash ends a segment.
func TestRouteFilterKeepsEscapedSlashWithinSegment(t *testing.T) {
	document := fleetconfig.NewDocument()
	document.Routes = []fleetconfig.Route{
		{ID: "shop", PathPrefix: "/shop", Idempotency: nonIdempotent},
		{ID: "stock", PathPrefix: "/shop/stock", Idempotency: idempotent},
	}
	filter := &routeFilter{configuration: &fakeConfiguration{view: fleetconfig.NewView(document)}}
	for target, route := range map[string]string{"/shop/stock/7": "stock", "/shop%2Fstock/7": "", "/shop/stock%2F7": "shop"} {
		exchange := &pipeline.Exchange{Request: httptest.NewRequest(http.MethodPost, target, nil)}
		err := filter.Request(exchange)
		if route == "" {
			must.Error(t, err)
			continue
		}
		must.NoError(t, err)
		must.Eq(t, route, exchange.Route.ID, must.Sprint(target))
	}
}

// Guards against an order that may run twice because the route filter decodes an escaped letter of its path.
func TestRouteFilterComparesPathAsWritten(t *testing.T) {
	document := fleetconfig.NewDocument()
	document.Routes = []fleetconfig.Route{
		{ID: "shop", PathPrefix: "/shop", BelowPrefix: true, Idempotency: nonIdempotent},
		{ID: "stock", PathPrefix: "/shop/stock", BelowPrefix: true, Idempotency: idempotent},
		{ID: "open", PathPrefix: "/open", BelowPrefix: true, Idempotency: idempotent},
		{ID: "orders", PathPrefix: "/open/orders", BelowPrefix: true, Idempotency: nonIdempotent},
	}
	filter := &routeFilter{configuration: &fakeConfiguration{view: fleetconfig.NewView(document)}}
	for target, route := range map[string]string{"/shop/st%6Fck/7": "shop", "/open/%6Frders/7": "open"} {
		exchange := &pipeline.Exchange{Request: httptest.NewRequest(http.MethodPost, target, nil)}
		must.NoError(t, filter.Request(exchange))
		must.Eq(t, route, exchange.Route.ID)
		must.False(t, exchange.Idempotent)
	}
}

// roomIn is the time until the fake fleet has room.
const roomIn = 2500 * time.Millisecond

// A request for which no backend server is known to have room is refused as not run, before
// or after attempts, and told when to come back. Without the preset's field it goes on.
func TestForwardRefusesRequestWithoutRoom(t *testing.T) {
	fleet := &fakeFleet{byRoom: true}
	for range 5 {
		fleet.responders = append(fleet.responders, respondRefusal(pipeline.KindBusy, pipeline.OutcomeNotRun, false))
	}
	for attempts := range 3 {
		fleet.busyRefusals = attempts
		recorder := fleet.serve(nonIdempotent, 2, 0)
		must.Eq(t, http.StatusServiceUnavailable, recorder.Code)
		must.Eq(t, "3", recorder.Header().Get("Retry-After"))
		must.Eq(t, "not-run", recorder.Header().Get(pipeline.HeaderOutcome))
		must.Len(t, attempts, fleet.attempted)
	}
	fleet.byRoom = false
	fleet.serve(nonIdempotent, 2, 0)
	must.Len(t, 5, fleet.attempted)
}

// A request that may have run is not reported as refused for want of room.
func TestForwardKeepsUnknownOutcomeWithoutRoom(t *testing.T) {
	fleet := &fakeFleet{byRoom: true, busyRefusals: 1, responders: []func(*http.Request) (*http.Response, error){
		respondRefusal(pipeline.KindOutcomeUnknown, pipeline.OutcomeUnknown, true),
		respondRefusal(pipeline.KindBusy, pipeline.OutcomeNotRun, false),
		respondStatus(http.StatusOK),
	}}
	recorder := fleet.serve(idempotent, 0, 9)
	must.Eq(t, "unknown", recorder.Header().Get(pipeline.HeaderOutcome))
	must.Eq(t, []int{0, 1}, fleet.attempted)
}
