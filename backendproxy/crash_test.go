package backendproxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quarantine"
	"github.com/hemlockring/hemlockring/queue"
)

// recordedCrashes records the crashes that a crashDetector finds.
type recordedCrashes struct {
	noQuarantine
	underWay  [][]quarantine.Request
	others    []int
	completed int
}

// WitnessCrash implements Quarantine.
func (r *recordedCrashes) WitnessCrash(_ quarantine.CrashID, underWay []quarantine.Request, others int) []quarantine.Entry {
	r.underWay = append(r.underWay, underWay)
	r.others = append(r.others, others)
	var entries []quarantine.Entry
	for _, request := range underWay {
		entries = append(entries, quarantine.Entry{Fingerprint: request.Fingerprint})
	}
	return entries
}

// Complete implements Quarantine.
func (r *recordedCrashes) Complete(quarantine.Fingerprint) { r.completed++ }

// crashTest is a detector with one registered backend server that listens.
type crashTest struct {
	registry *testRegistry
	recorded *recordedCrashes
	detector *crashDetector
	listener net.Listener
}

func newCrashTest(t *testing.T) *crashTest {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	test := &crashTest{registry: newTestRegistry(), recorded: &recordedCrashes{}, listener: listener}
	test.announce(t, 100, StateReady)
	test.detector = newCrashDetector(&Config{Registry: test.registry.Registry, Quarantine: test.recorded})
	return test
}

func (c *crashTest) announce(t *testing.T, processStart int64, state string) {
	t.Helper()
	must.NoError(t, c.registry.Announce("b1", Announcement{
		Service: "catalogue", Address: c.listener.Addr().String(), Slots: 8, State: state, LifetimeMillis: 10_000, ProcessStartUnixMilli: processStart,
	}, clock.Now()))
}

// begin starts a request whose body has been read up to its end if it is complete.
func (c *crashTest) begin(t *testing.T, body string, complete bool) *serverRun {
	t.Helper()
	slot, refuse := c.registry.acquire(t.Context(), "b1", "catalogue", queue.Item{Deadline: clock.Now().Add(time.Minute)})
	must.Nil(t, refuse)
	must.NotNil(t, slot)
	exchange := &pipeline.Exchange{
		Request:       httptest.NewRequest(http.MethodPost, "/", bytes.NewBufferString(body)),
		BackendServer: "b1", Service: "catalogue", State: &exchangeState{}, Deadline: clock.Now().Add(time.Minute),
	}
	key := quarantine.DeriveKey(nil)
	exchange.Hasher = key.NewHasher(pipeline.FingerprintedContent(exchange))
	sent := newNonRewindableBody(t.Context(), exchange.Request, exchange.Request, exchange.Hasher)
	stateOf(exchange).body = sent
	if complete {
		_, err := io.Copy(io.Discard, sent)
		must.NoError(t, err)
	}
	run := c.detector.begin(exchange, slot)
	t.Cleanup(run.end)
	return run
}

func TestBrokenConnectionOfListeningServerIsNoCrash(t *testing.T) {
	test := newCrashTest(t)
	_, crashed := test.begin(t, "a", true).serverCrashed()
	must.False(t, crashed)
	must.True(t, test.registry.acquires(t, "b1"))
	must.SliceEmpty(t, test.recorded.underWay)
}

func TestCrashImplicatesAllRequestsUnderWayOnce(t *testing.T) {
	test := newCrashTest(t)
	first, second := test.begin(t, "a", true), test.begin(t, "b", true)
	test.begin(t, "c", true).end()
	test.listener.Close()
	for _, run := range []*serverRun{first, second} {
		evidence, crashed := run.serverCrashed()
		must.True(t, crashed)
		fingerprint, _ := run.exchange.Fingerprint()
		must.Eq(t, fingerprint, evidence.Fingerprint)
	}
	must.SliceLen(t, 1, test.recorded.underWay)
	must.SliceLen(t, 2, test.recorded.underWay[0])
	must.False(t, test.registry.acquires(t, "b1"))
}

// Also of a server that leaves without having said that it drains.
func TestEndOfLeavingServerIsNoCrash(t *testing.T) {
	for _, leave := range []func(*testing.T, *crashTest){
		func(t *testing.T, test *crashTest) { test.announce(t, 100, StateDraining) },
		func(_ *testing.T, test *crashTest) { test.registry.Leave("b1", time.Now()) },
		func(_ *testing.T, test *crashTest) { test.registry.observe("b1", leavingStatus) },
	} {
		test := newCrashTest(t)
		run := test.begin(t, "a", true)
		leave(t, test)
		test.listener.Close()
		_, crashed := run.serverCrashed()
		must.False(t, crashed)
		must.SliceEmpty(t, test.recorded.underWay)
	}
}

// An announcement that the crashed process sent before must not bring it back.
func TestLateAnnouncementOfCrashedProcessIsIgnored(t *testing.T) {
	test := newCrashTest(t)
	run := test.begin(t, "a", true)
	test.listener.Close()
	_, crashed := run.serverCrashed()
	must.True(t, crashed)
	test.announce(t, 100, StateReady)
	must.False(t, test.registry.acquires(t, "b1"))
	test.announce(t, 200, StateReady)
	must.True(t, test.registry.acquires(t, "b1"))
}

// A server may crash before it has read the whole body of the request that crashes it.
func TestCrashBeforeEndOfBodyImplicatesRequest(t *testing.T) {
	test := newCrashTest(t)
	run := test.begin(t, "a long body", false)
	_, known := run.exchange.Fingerprint()
	must.False(t, known)
	test.listener.Close()
	evidence, crashed := run.serverCrashed()
	must.True(t, crashed)
	complete, known := run.exchange.Fingerprint()
	must.True(t, known)
	must.Eq(t, complete, evidence.Fingerprint)
	must.Eq(t, []int{1, 0}, test.recorded.others)
}

func TestEvidenceOfCrashIsParsed(t *testing.T) {
	entry := &quarantine.Entry{Fingerprint: quarantine.Fingerprint{1}, Account: "acme", Service: "catalogue",
		Crashes: []quarantine.Crash{{ID: 1, UnixMilli: 2, AgeMillis: 3, Points: 2, Cleared: true}}}
	text, err := FormatEvidence(entry)
	must.NoError(t, err)
	parsed, err := ParseEvidence(text)
	must.NoError(t, err)
	must.Eq(t, entry, parsed)
	for _, invalid := range []string{"!", "AA", text + "AA"} {
		_, err := ParseEvidence(invalid)
		must.Error(t, err)
	}
}
