package admin_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/admin"
	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/admin/client"
	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

// fakeConfiguration is a configuration whose changes are accepted at once. The next
// proposals return the errors in errs.
type fakeConfiguration struct {
	mu           sync.Mutex
	stateMachine *fleetconfig.StateMachine
	changed      chan struct{}
	errs         []proposalError
}

// proposalError is an error that a proposal returns before the change is made or, when
// made is set, after it.
type proposalError struct {
	err  error
	made bool
}

func newFakeConfiguration() *fakeConfiguration {
	return &fakeConfiguration{stateMachine: fleetconfig.NewStateMachine(), changed: make(chan struct{})}
}

func (f *fakeConfiguration) View() *fleetconfig.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fleetconfig.NewView(f.stateMachine.Document())
}

func (f *fakeConfiguration) Current(time.Time) (bool, time.Duration) { return true, 0 }

func (f *fakeConfiguration) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeConfiguration) History() []fleetconfig.HistoryEntry { return f.stateMachine.History() }

func (f *fakeConfiguration) Propose(_ context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var proposalErr proposalError
	if len(f.errs) > 0 {
		proposalErr, f.errs = f.errs[0], f.errs[1:]
	}
	if proposalErr.err != nil && !proposalErr.made {
		return nil, proposalErr.err
	}
	entry, err := fleetconfig.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	result, err := fleetconfig.DecodeResult(f.stateMachine.Apply(0, entry))
	close(f.changed)
	f.changed = make(chan struct{})
	if proposalErr.err != nil {
		return nil, proposalErr.err
	}
	return result, err
}

var operators = []admin.Operator{
	{Name: "vera", Role: admin.RoleViewer, TokenHash: admin.HashToken("v")},
	{Name: "olga", Role: admin.RoleOperator, TokenHash: admin.HashToken("o")},
	{Name: "ada", Role: admin.RoleAdministrator, TokenHash: admin.HashToken("a")},
}

func serve(t testing.TB, fake *fakeConfiguration) *httptest.Server {
	server := httptest.NewServer(admin.NewHandler(admin.Config{
		Configuration: fake, Proposer: fake, History: fake, Operators: operators,
	}))
	t.Cleanup(server.Close)
	return server
}

func newClient(server *httptest.Server, token string) *client.Client {
	return &client.Client{Servers: []string{server.URL}, Token: token, HTTP: server.Client(), ResendDelay: time.Millisecond}
}

func usePreset(id string, base uint64, preset string) *api.ChangeRequest {
	return &api.ChangeRequest{ChangeID: id, BaseVersion: base, Changes: []fleetconfig.Change{
		{Kind: fleetconfig.UsePreset, Name: preset},
	}}
}

// TestClientResendsChangeAfterProposalError lets proposals return errors before or after
// the change is made. The client must return the actual result, and the change must be
// made once.
func TestClientResendsChangeAfterProposalError(t *testing.T) {
	fake := newFakeConfiguration()
	server := serve(t, fake)
	rapid.Check(t, func(t *rapid.T) {
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			fake.errs = append(fake.errs, rapid.SampledFrom([]proposalError{
				{err: &control.OutcomeUnknownError{Reason: "lost"}, made: true},
				{err: &control.OutcomeUnknownError{Reason: "lost"}},
				{err: &control.NotLeaderError{}},
				{err: &control.BusyError{Reason: "busy"}},
				{err: errors.New("anything else"), made: true},
			}).Draw(t, "fault"))
		}
		base := fake.View().Version()
		request := usePreset(client.NewChangeID(), base, fleetconfig.PresetPeak)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		reply, err := newClient(server, "o").Change(ctx, request)
		must.NoError(t, err)
		must.Eq(t, base+1, reply.Version)
		must.Eq(t, base+1, fake.View().Version())

		again, err := newClient(server, "o").Change(ctx, request)
		must.NoError(t, err)
		must.Eq(t, reply, again)
	})
}

// cancelingTransport calls cancel once it has read remainingResponses more responses.
type cancelingTransport struct {
	inner              http.RoundTripper
	remainingResponses int
	cancel             func()
}

func (c *cancelingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.inner.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(body))
	c.remainingResponses--
	if c.remainingResponses == 0 {
		c.cancel()
	}
	return response, err
}

// TestClientReportsOutcomeWhenContextEnds ends the context before a change succeeds. If
// the server reported an unknown outcome, the outcome must stay unknown although the next
// attempt is certainly not proposed to the control instances. If no attempt was proposed,
// the client must report that the change was not made.
func TestClientReportsOutcomeWhenContextEnds(t *testing.T) {
	fake := newFakeConfiguration()
	fake.errs = []proposalError{
		{err: &control.OutcomeUnknownError{Reason: "lost"}, made: true},
		{err: &control.NotLeaderError{}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := serve(t, fake)
	canceledClient := newClient(server, "o")
	canceledClient.HTTP = &http.Client{Transport: &cancelingTransport{inner: server.Client().Transport, remainingResponses: 2, cancel: cancel}}
	_, err := canceledClient.Change(ctx, usePreset("c", 0, fleetconfig.PresetPeak))
	var unknown *client.OutcomeUnknownError
	must.True(t, errors.As(err, &unknown))
	must.ErrorContains(t, err, "same change id")

	// The only attempt was certainly not proposed to the control instances, and the
	// context ends before the next one.
	fake = newFakeConfiguration()
	fake.errs = []proposalError{{err: &control.NotLeaderError{}}}
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	slowClient := newClient(serve(t, fake), "o")
	slowClient.ResendDelay = time.Minute
	_, err = slowClient.Change(ctx, usePreset("c", 0, fleetconfig.PresetPeak))
	var problem *api.Problem
	must.True(t, errors.As(err, &problem))
	must.True(t, problem.HasType(api.ProblemNotMade))
}

// problemOf sends a change that must fail and returns the problem.
func problemOf(t *testing.T, c *client.Client, request *api.ChangeRequest) *api.Problem {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := c.Change(ctx, request)
	var problem *api.Problem
	must.True(t, errors.As(err, &problem))
	must.NotEq(t, "", problem.Remedy)
	return problem
}

func TestProblemsHaveTypeAndRemedy(t *testing.T) {
	server := serve(t, newFakeConfiguration())
	operator := newClient(server, "o")
	_, err := operator.Change(context.Background(), usePreset("c", 0, fleetconfig.PresetPeak))
	must.NoError(t, err)

	conflict := problemOf(t, operator, usePreset("d", 0, fleetconfig.PresetMaintenance))
	must.True(t, conflict.HasType(api.ProblemConflict))
	must.Eq(t, 1, conflict.CurrentVersion)
	invalid := problemOf(t, operator, usePreset("e", 1, "none"))
	must.True(t, invalid.HasType(api.ProblemInvalid))
	must.SliceLen(t, 1, invalid.Faults)
	must.True(t, problemOf(t, operator, usePreset("c", 1, fleetconfig.PresetPeak)).HasType(api.ProblemReusedID))

	holders := &api.ChangeRequest{ChangeID: "h", BaseVersion: 1, Changes: []fleetconfig.Change{{Kind: fleetconfig.SetHolders}}}
	must.True(t, problemOf(t, operator, holders).HasType(api.ProblemForbidden))
	_, err = newClient(server, "a").Change(context.Background(), holders)
	must.NoError(t, err)
	must.True(t, problemOf(t, newClient(server, "v"), usePreset("f", 1, fleetconfig.PresetPeak)).HasType(api.ProblemForbidden))
	for _, token := range []string{"", "x"} {
		must.True(t, problemOf(t, newClient(server, token), usePreset("g", 1, fleetconfig.PresetPeak)).HasType(api.ProblemUnauthorized))
	}
}

func TestServerResourcesAndWatch(t *testing.T) {
	fake := newFakeConfiguration()
	server := serve(t, fake)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	viewer := newClient(server, "v")
	watched := make(chan uint64, 1)
	go func() {
		status, err := viewer.Watch(ctx, 0)
		if err == nil {
			watched <- status.Version
		}
	}()
	_, err := newClient(server, "o").Change(ctx, &api.ChangeRequest{ChangeID: "c", Changes: []fleetconfig.Change{
		{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: "shop", RatePerSecond: 1, Burst: 1}},
		{Kind: fleetconfig.GiveKey, Key: &fleetconfig.Key{Hash: fleetconfig.HashKey("k"), Account: "shop", Label: "till"}},
	}})
	must.NoError(t, err)
	must.Eq(t, 1, <-watched)

	document, err := viewer.Document(ctx)
	must.NoError(t, err)
	must.SliceEmpty(t, fleetconfig.Validate(document))
	history, err := viewer.History(ctx)
	must.NoError(t, err)
	must.Eq(t, "olga", history[0].Operator)
	for path, status := range map[string]int{
		"/v1/accounts/shop": http.StatusOK, "/v1/accounts/none": http.StatusNotFound, "/v1/keys": http.StatusOK,
		"/v1/presets": http.StatusOK, "/v1/services": http.StatusOK, "/v1/routes/x": http.StatusNotFound, "/other": http.StatusNotFound,
	} {
		request, err := http.NewRequest(http.MethodGet, server.URL+path, nil)
		must.NoError(t, err)
		request.Header.Set("Authorization", "Bearer v")
		response, err := server.Client().Do(request)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, status, response.StatusCode, must.Sprint(path))
	}
}

// TestClientResendsChangeAfterBrokenConnection breaks the connection after the change
// was made. The client must resend the change and get the result.
func TestClientResendsChangeAfterBrokenConnection(t *testing.T) {
	fake := newFakeConfiguration()
	inner := admin.NewHandler(admin.Config{Configuration: fake, Proposer: fake, History: fake, Operators: operators})
	var broken atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if broken.CompareAndSwap(false, true) {
			inner.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	reply, err := newClient(server, "o").Change(context.Background(), usePreset("c", 0, fleetconfig.PresetPeak))
	must.NoError(t, err)
	must.Eq(t, 1, reply.Version)
}

// Guards against a change of which only the beginning is read, or a later member of which replaces an earlier one.
func TestChangeIsReadInFull(t *testing.T) {
	fake := newFakeConfiguration()
	server := serve(t, fake)
	const valid = `{"change_id":"c","base_version":0,"changes":[{"kind":"use-preset","name":"peak"}]}`
	for _, body := range []string{valid + "}", valid + valid, strings.Replace(valid, `"base_version":0`, `"base_version":7,"base_version":0`, 1)} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/changes", strings.NewReader(body))
		must.NoError(t, err)
		request.Header.Set("Authorization", "Bearer o")
		response, err := server.Client().Do(request)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, http.StatusBadRequest, response.StatusCode, must.Sprint(body))
	}
	must.Eq(t, 0, fake.View().Version())
	_, err := newClient(server, "o").Change(t.Context(), usePreset("c", 0, fleetconfig.PresetPeak))
	must.NoError(t, err)
}
