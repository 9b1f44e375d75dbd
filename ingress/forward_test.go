package ingress

import (
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

// servers is a fleet of backend proxies as the ingress sees them: what each one
// answers, and who was asked.
type servers struct {
	answers []func(request *http.Request) (*http.Response, error)
	asked   []int
	budget  int
	ended   []Attempt
}

func (s *servers) RoundTrip(address string, request *http.Request, _ transport.ConnectionClass) (*http.Response, error) {
	at := int(address[0] - 'a')
	s.asked = append(s.asked, at)
	return s.answers[at](request)
}

func (s *servers) Pick(_ *pipeline.Exchange, tried []Candidate) (Candidate, bool) {
	for i := range s.answers {
		address := string(rune('a' + i))
		if !slices.ContainsFunc(tried, func(c Candidate) bool { return c.Address == address }) {
			return Candidate{Instance: fleetconfig.InstanceID(address), Server: "s", Address: address}, true
		}
	}
	return Candidate{}, false
}

func (*servers) Repeat(Candidate, *pipeline.Exchange) {}
func (s *servers) Done(attempt *Attempt)              { s.ended = append(s.ended, *attempt) }
func (*servers) RequestStarted(*pipeline.Exchange)    {}

func (s *servers) MayRetry(*pipeline.Exchange, pipeline.Outcome) bool {
	s.budget--
	return s.budget >= 0
}

func (*servers) Record(*pipeline.Exchange, time.Duration) {}

// oneRoute is a configuration with a route that is open to all.
type oneRoute struct {
	view     *fleetconfig.View
	outdated bool
}

func (c *oneRoute) View() *fleetconfig.View { return c.view }

func (c *oneRoute) Current(time.Time) (bool, time.Duration) { return !c.outdated, time.Second }

func (c *oneRoute) CurrentUntil() time.Time { return time.Now().Add(time.Minute) }

func answer(status int) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: status, Header: make(http.Header), Body: io.NopCloser(strings.NewReader("body"))}, nil
	}
}

// refusal is a backend proxy's refusal.
func refusal(kind pipeline.RefusalKind, outcome pipeline.Outcome, reached bool) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		recorder := httptest.NewRecorder()
		refused := &pipeline.Refusal{Kind: kind, Status: http.StatusServiceUnavailable, Outcome: outcome, ReachedServer: reached}
		refused.WriteInternal(recorder)
		return recorder.Result(), nil
	}
}

func lost(err error) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) { return nil, err }
}

// serve sends one request through an ingress before the servers.
func (s *servers) serve(idempotency fleetconfig.Idempotency, maxAttempts uint32, budget int) *httptest.ResponseRecorder {
	return s.serveRequest(httptest.NewRequest(http.MethodGet, "http://a.example/x", nil), idempotency, maxAttempts, budget)
}

// testPriority is the rank of the route.
const testPriority = 3

// The proxy beside the backend server learns how urgent the request is.
func TestUrgencyGoesWithTheRequest(t *testing.T) {
	var urgency string
	fleet := &servers{answers: []func(*http.Request) (*http.Response, error){func(request *http.Request) (*http.Response, error) {
		urgency = request.Header.Get(pipeline.HeaderUrgency)
		return answer(http.StatusOK)(request)
	}}}
	must.Eq(t, http.StatusOK, fleet.serve(fleetconfig.IdempotentAlways, 1, 0).Code)
	expected := fleetconfig.UrgencyOf(nil, &fleetconfig.Route{Priority: testPriority})
	must.Eq(t, strconv.FormatUint(uint64(expected), 10), urgency)
}

// maxTestBody is the largest body that the configuration of the tests permits.
const maxTestBody = 100

func (s *servers) serveRequest(request *http.Request, idempotency fleetconfig.Idempotency, maxAttempts uint32, budget int) *httptest.ResponseRecorder {
	s.asked, s.ended, s.budget = nil, nil, budget
	document := fleetconfig.NewDocument()
	document.Version = 1
	document.CallerLimits.BodyBytes = maxTestBody
	document.Routes = []fleetconfig.Route{{
		ID: "r", PathPrefix: "/", Service: "catalogue", OpenToAll: true, Idempotency: idempotency, MaxAttempts: maxAttempts, Priority: testPriority,
	}}
	proxy := New(Config{
		Configuration:  &oneRoute{view: fleetconfig.NewView(document)},
		FreezeDetector: processpause.NewDetector(),
		Remote:         s,
		Selector:       s,
		Retry:          s,
		Recorder:       s,
		Logger:         slog.New(slog.DiscardHandler),
	})
	recorder := httptest.NewRecorder()
	proxy.ServeHTTP(recorder, request)
	return recorder
}

const (
	lookup = fleetconfig.IdempotentAlways
	order  = fleetconfig.IdempotentNever
)

// A request that no backend server has seen goes on to the next one, whatever the
// retry budget says; an order too.
func TestHopsThatReachNoServerAreFree(t *testing.T) {
	fleet := &servers{answers: []func(*http.Request) (*http.Response, error){
		refusal(pipeline.KindBusy, pipeline.OutcomeNotRun, false),
		lost(errors.Mark(errors.New("gone"), transport.ErrNotSent)),
		refusal(pipeline.KindServerSuspect, pipeline.OutcomeNotRun, false),
		answer(http.StatusOK),
	}}
	must.Eq(t, http.StatusOK, fleet.serve(order, 2, 0).Code)
	must.Eq(t, []int{0, 1, 2, 3}, fleet.asked)
}

// An order that may have run is never sent again, and its caller hears that the
// outcome is unknown.
func TestAnOrderThatMayHaveRunIsNotSentAgain(t *testing.T) {
	for _, unknown := range []func(*http.Request) (*http.Response, error){
		refusal(pipeline.KindOutcomeUnknown, pipeline.OutcomeUnknown, true),
		lost(errors.New("reset")),
	} {
		fleet := &servers{answers: []func(*http.Request) (*http.Response, error){unknown, answer(http.StatusOK)}}
		recorder := fleet.serve(order, 2, 9)
		must.Eq(t, pipeline.OutcomeUnknown.String(), recorder.Header().Get(pipeline.HeaderOutcome))
		must.Eq(t, []int{0}, fleet.asked)
	}
}

// A backend server's failure is passed over for a lookup while the budget and the
// route permit it, and delivered as it is otherwise. An order's is always delivered.
func TestFailedAnswersOfLookupsArePassedOver(t *testing.T) {
	fleet := &servers{answers: []func(*http.Request) (*http.Response, error){answer(500), answer(503), answer(http.StatusOK)}}
	must.Eq(t, http.StatusOK, fleet.serve(lookup, 0, 2).Code)
	must.Eq(t, 500, fleet.serve(lookup, 0, 0).Code)
	must.Eq(t, 503, fleet.serve(lookup, 2, 9).Code)
	must.Eq(t, []int{0, 1}, fleet.asked)
	must.Eq(t, 500, fleet.serve(order, 0, 9).Code)
	must.Eq(t, []int{0}, fleet.asked)
}

// When the whole service is in doubt, a request insists after a few refusals, and
// is tried where it was refused when there is no one else.
func TestARequestInsistsWhenAllServersAreInDoubt(t *testing.T) {
	unlessInsisting := func(request *http.Request) (*http.Response, error) {
		if request.Header.Get(pipeline.HeaderLastResort) != "" {
			return answer(http.StatusOK)(request)
		}
		return refusal(pipeline.KindServerSuspect, pipeline.OutcomeNotRun, false)(request)
	}
	few := &servers{answers: []func(*http.Request) (*http.Response, error){unlessInsisting, unlessInsisting}}
	must.Eq(t, http.StatusOK, few.serve(order, 2, 0).Code)
	must.Eq(t, []int{0, 1, 0}, few.asked)
	many := &servers{}
	for range 20 {
		many.answers = append(many.answers, unlessInsisting)
	}
	must.Eq(t, http.StatusOK, many.serve(order, 2, 0).Code)
	must.Len(t, maxDoubtful+1, many.asked)
}

// readBody sends the body on, as a transport does, and then answers. The first request
// to an instance comes without one.
func readBody(request *http.Request) (*http.Response, error) {
	if request.Body == nil {
		response, err := refusal(pipeline.KindClockUnknown, pipeline.OutcomeNotRun, false)(request)
		instance := quota.NewDispatchClock(1, clock.Now())
		response.Header.Set(pipeline.HeaderClock, backendproxy.FormatClockReading(instance.Reading(clock.Now())))
		return response, err
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return nil, err
	}
	return answer(http.StatusOK)(request)
}

// A body that its caller spoils, or that is too large, is no evidence against the path
// to an instance, and is sent to no other one.
func TestACallersBrokenBodyIsNoLostPath(t *testing.T) {
	for _, broken := range []struct {
		body   io.Reader
		status int
	}{
		{io.MultiReader(strings.NewReader("some"), iotest.ErrReader(errors.New("malformed chunk"))), http.StatusBadRequest},
		{io.MultiReader(strings.NewReader(strings.Repeat("x", 2*maxTestBody))), http.StatusRequestEntityTooLarge},
	} {
		fleet := &servers{answers: []func(*http.Request) (*http.Response, error){readBody, readBody}}
		request := httptest.NewRequest(http.MethodPost, "http://a.example/x", broken.body)
		request.ContentLength = -1
		recorder := fleet.serveRequest(request, lookup, 0, 9)
		must.Eq(t, broken.status, recorder.Code)
		must.Eq(t, pipeline.OutcomeUnknown.String(), recorder.Header().Get(pipeline.HeaderOutcome))
		must.Eq(t, []int{0, 0}, fleet.asked)
		must.False(t, fleet.ended[1].PathFailed)
		must.True(t, fleet.ended[1].Canceled)
	}
}

// No request is dispatched after the time until which this instance vouches for its
// key, wherever it waits.
func TestTheDispatchIsBoundByTheCurrencyOfTheKey(t *testing.T) {
	now := time.Now()
	exchange := &pipeline.Exchange{Deadline: now.Add(time.Minute), TokenExpires: now.Add(2 * time.Second), CurrentUntil: now.Add(time.Second)}
	must.Eq(t, exchange.CurrentUntil, dispatchLimit(exchange))
	exchange.CurrentUntil = now.Add(3 * time.Second)
	must.Eq(t, exchange.TokenExpires, dispatchLimit(exchange))
	exchange.CurrentUntil, exchange.TokenExpires = time.Time{}, time.Time{}
	must.Eq(t, exchange.Deadline, dispatchLimit(exchange))
}

// An instance that cannot tell whether its configuration is current never says that
// there is no such route.
func TestAnOutdatedInstanceDeniesNothing(t *testing.T) {
	document := fleetconfig.NewDocument()
	configuration := &oneRoute{view: fleetconfig.NewView(document), outdated: true}
	filter := &routeFilter{configuration: configuration}
	refused := func() int {
		err := filter.Request(&pipeline.Exchange{Request: httptest.NewRequest(http.MethodGet, "/x", nil), Received: time.Now()})
		var refusal *pipeline.Refusal
		must.True(t, errors.As(err, &refusal))
		return refusal.Status
	}
	must.Eq(t, http.StatusServiceUnavailable, refused())
	configuration.outdated = false
	must.Eq(t, http.StatusNotFound, refused())
}
