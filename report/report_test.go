package report

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
	"github.com/hemlockring/hemlockring/pipeline"
)

var testStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func accountLabel(_ *fleetconfig.View, account fleetconfig.AccountID) string { return string(account) }

// recordExchange passes one exchange through a collector, from request to end.
func recordExchange(c *Collector, service string, account fleetconfig.AccountID, outcome pipeline.Outcome, refusal *pipeline.Refusal, replayed bool, elapsed time.Duration) {
	e := &pipeline.Exchange{
		Route:   &fleetconfig.Route{ID: service + "-route", Service: fleetconfig.ServiceName(service)},
		Account: account,
		Outcome: outcome,
		Refusal: refusal,
	}
	if replayed {
		e.ResponseHeader = http.Header{pipeline.HeaderReplayed: {"true"}}
	}
	_ = c.Request(e)
	c.Record(e, elapsed)
}

// randomSummaries returns the summaries of a collector that recorded random exchanges
// over a number of intervals.
func randomSummaries(random *rand.Rand, instance string, incarnation uint64, intervals int) []*Summary {
	now := testStart
	collector := NewCollector(fleetconfig.InstanceID(instance), incarnation, accountLabel, now)
	var summaries []*Summary
	for i := range intervals {
		for range random.IntN(30) {
			service := fmt.Sprintf("s%d", random.IntN(3))
			account := fleetconfig.AccountID(fmt.Sprintf("a%d", random.IntN(4)))
			elapsed := time.Duration(random.IntN(1_000_000)) * time.Microsecond
			switch random.IntN(5) {
			case 0:
				recordExchange(collector, service, account, pipeline.OutcomeNotRun, &pipeline.Refusal{Kind: pipeline.KindBusy, Outcome: pipeline.OutcomeNotRun}, false, elapsed)
			case 1:
				recordExchange(collector, service, account, pipeline.OutcomeUnknown, &pipeline.Refusal{Kind: pipeline.KindOrderInProgress}, false, elapsed)
			default:
				recordExchange(collector, service, account, pipeline.OutcomeAnswered, nil, random.IntN(4) == 0, elapsed)
			}
		}
		if random.IntN(3) == 0 {
			collector.RecordEvent(Event{At: now, Kind: EventDetected, Service: "s0", Instance: fleetconfig.InstanceID(instance), Server: "b", DetectionTime: time.Duration(random.IntN(1000)) * time.Millisecond})
		}
		now = now.Add(20 * time.Minute)
		summaries = append(summaries, collector.Flush(now, i == intervals-1)...)
	}
	return summaries
}

func encoded(t testingT, value any) string {
	data, err := codec.Marshal(value)
	must.NoError(t, err)
	return string(data)
}

type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// TestTotalsMergeInAnyOrder checks that totals do not depend on the grouping and
// order of summaries, and that a summary received twice counts once.
func TestTotalsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		var summaries []*Summary
		for i := range 3 {
			summaries = append(summaries, randomSummaries(random, fmt.Sprintf("i%d", i), 1, 1+random.IntN(5))...)
		}
		a, b, c := totalsOf(summaries[0]), totalsOf(summaries[1]), totalsOf(summaries[2])
		must.Eq(t, encoded(t, a.Merge(b).Merge(c)), encoded(t, a.Merge(b.Merge(c))))
		must.Eq(t, encoded(t, a.Merge(b)), encoded(t, b.Merge(a)))

		now := testStart.Add(3 * time.Hour)
		var inOrder, shuffled Aggregator
		for _, summary := range summaries {
			must.Eq(t, Added, inOrder.Add(summary, now))
		}
		duplicated := append(summaries, summaries...)
		random.Shuffle(len(duplicated), func(i, j int) { duplicated[i], duplicated[j] = duplicated[j], duplicated[i] })
		for _, summary := range duplicated {
			shuffled.Add(summary, now)
		}
		first, err := inOrder.encode()
		must.NoError(t, err)
		second, err := shuffled.encode()
		must.NoError(t, err)
		must.Eq(t, first, second)
		report := NewReport(&shuffled, testStart.Add(-time.Hour), now, now, time.Hour)
		must.True(t, report.Total.OrdersExact)
		must.Eq(t, 0, report.GapCount)
	})
}

// TestReportNamesMissingAndInexactSummaries checks that the report has a fault for
// summaries that were lost, for an incarnation that ended without its last summary,
// for orders that ended twice or not at all, and for counts that do not add up.
func TestReportNamesMissingAndInexactSummaries(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := testStart.Add(4 * time.Hour)
	faults := func(summaries []*Summary) string {
		var aggregator Aggregator
		for _, summary := range summaries {
			aggregator.Add(summary, now)
		}
		report := NewReport(&aggregator, testStart, now, now, time.Hour)
		must.Eq(t, len(report.Faults) == 0, report.Complete)
		return strings.Join(report.Faults, "\n")
	}
	summaries := randomSummaries(random, "i", 7, 4)
	must.Eq(t, "", faults(summaries))
	must.StrContains(t, faults([]*Summary{summaries[0], summaries[3]}), "instance i (incarnation 7): summaries 2 to 3 are missing")
	must.StrContains(t, faults(summaries[1:]), "summary 1 is missing")
	must.StrContains(t, faults(summaries[:3]), "ended without its last summary")
	must.StrContains(t, faults(nil), "no summary was received for this time span")

	collector := NewCollector("i", 1, accountLabel, testStart)
	order := &pipeline.Exchange{Route: &fleetconfig.Route{Service: "s"}, Account: "a", Outcome: pipeline.OutcomeAnswered}
	_ = collector.Request(order)
	collector.Record(order, time.Millisecond)
	collector.Record(order, time.Millisecond)
	must.StrContains(t, faults(collector.Flush(now, true)), "miscounted the orders of service s: received less ended is -1, not 0")
	collector = NewCollector("i", 2, accountLabel, testStart)
	_ = collector.Request(order)
	must.StrContains(t, faults(collector.Flush(now, true)), "miscounted the orders of service s: received less ended is 1, not 0")

	broken := randomSummaries(random, "i", 8, 1)
	broken[0].Orders[0].Counts.RanOnce++
	must.StrContains(t, faults(broken), "the order counts do not add up")
}

// TestCollectorCountsEachOrderOnce passes one order with each outcome through a
// collector, and one that stays open.
func TestCollectorCountsEachOrderOnce(t *testing.T) {
	collector := NewCollector("i", 1, accountLabel, testStart)
	refusal := func(kind pipeline.RefusalKind, outcome pipeline.Outcome) *pipeline.Refusal {
		return &pipeline.Refusal{Kind: kind, Outcome: outcome}
	}
	recordExchange(collector, "s", "a", pipeline.OutcomeAnswered, nil, false, time.Millisecond)
	recordExchange(collector, "s", "a", pipeline.OutcomeAnswered, nil, true, time.Millisecond)
	recordExchange(collector, "s", "a", pipeline.OutcomeNotRun, refusal(pipeline.KindOverRate, pipeline.OutcomeNotRun), false, 0)
	recordExchange(collector, "s", "a", pipeline.OutcomeUnknown, refusal(pipeline.KindOutcomeUnknown, pipeline.OutcomeUnknown), false, 0)
	recordExchange(collector, "s", "a", pipeline.OutcomeUnknown, refusal(pipeline.KindOrderOutcomeUnknown, pipeline.OutcomeUnknown), false, 0)
	recordExchange(collector, "s", "a", pipeline.OutcomeAnswered, refusal("order-ran-answer-not-kept", pipeline.OutcomeAnswered), false, 0)
	_ = collector.Request(&pipeline.Exchange{Route: &fleetconfig.Route{Service: "s"}, Account: "a"})
	counts := collector.Flush(testStart.Add(time.Minute), false)[0].Orders[0].Counts
	must.Eq(t, OrderCounts{Received: 7, RanOnce: 1, RepeatsAnswered: 1, NotRun: 1, Unknown: 1, RepeatsReferred: 2, Open: 1}, counts)
	must.True(t, counts.Balanced())
}

// TestCollectorSplitsLargeInterval fills a collector to its limits. Each summary must
// fit in one call, and all of them together must have every exchange and event.
func TestCollectorSplitsLargeInterval(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	collector := NewCollector("i", 1, accountLabel, testStart)
	for i := range 100_000 {
		name := fmt.Sprintf("service-with-a-long-name-%d", i%600)
		recordExchange(collector, name, fleetconfig.AccountID(fmt.Sprintf("account-%d", i%100)), pipeline.OutcomeAnswered, nil, false, time.Duration(random.ExpFloat64()*float64(50*time.Millisecond)))
		collector.RecordEvent(Event{At: testStart, Kind: EventEjected, Server: fleetconfig.BackendServerID(name)})
	}
	parts := collector.Flush(testStart.Add(time.Minute), false)
	var total Totals
	for _, part := range parts {
		must.Less(t, 64<<10, len(encoded(t, part)))
		total = total.Merge(totalsOf(part))
	}
	latency := total.allLatency()
	must.Eq(t, 100_000, latency.Count())
	must.Eq(t, 100_000, total.allOrders().Received)
	must.Eq(t, 100_000, total.EventCount)
	// Services, accounts and routes up to their limits, and the overflow series: one of
	// services, one of accounts, and one of routes for each service whose route is
	// beyond the limit.
	must.Eq(t, maxServices+1+maxRoutes+600-maxRoutes+maxAccounts+1, len(total.Latency))
}

// FuzzHistogram decodes arbitrary data. Data that is accepted must be encoded and
// decoded again without a change.
func FuzzHistogram(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{3, 1, 2, 200, 1})
	f.Add([]byte{5, 1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 1})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 1, 1, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var histogram, again Histogram
		if histogram.UnmarshalBinary(data) != nil {
			return
		}
		_ = histogram.Quantiles()
		must.True(t, slices.IsSortedFunc(histogram.Buckets, func(a, b Bucket) int { return cmp.Compare(a.Index, b.Index) }))
		encoded, err := histogram.MarshalBinary()
		must.NoError(t, err)
		must.NoError(t, again.UnmarshalBinary(encoded))
		must.Eq(t, histogram, again)
	})
}

// memoryStore is a Store that keeps its entries across restarts of the service.
type memoryStore struct{ entries [][]byte }

func (s *memoryStore) Load(restore func([]byte) error) error {
	for _, data := range s.entries {
		if err := restore(data); err != nil {
			return err
		}
	}
	return nil
}

func (s *memoryStore) Append(entries [][]byte) error {
	s.entries = append(s.entries, entries...)
	return nil
}

func (s *memoryStore) Replace(entries [][]byte) error {
	s.entries = entries
	return nil
}

// fakeControl is a control instance that can be unreachable.
type fakeControl struct {
	mux         *http.ServeMux
	unreachable bool
}

func (c *fakeControl) Call(_ context.Context, _, path string, request, reply any) error {
	if c.unreachable {
		return errors.New("control instance is unreachable")
	}
	data, err := codec.Marshal(request)
	if err != nil {
		return err
	}
	recorder := httptest.NewRecorder()
	c.mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data)))
	return codec.Unmarshal(recorder.Body.Bytes(), reply)
}

// TestServiceRestoresReportAfterRestart sends summaries to a control instance that is
// unreachable for two intervals, is restarted and compacts its store. The report must
// be complete, and is written in all formats.
func TestServiceRestoresReportAfterRestart(t *testing.T) {
	store, controlInstance := &memoryStore{}, &fakeControl{}
	var service *Service
	restart := func() {
		var err error
		controlInstance.mux = http.NewServeMux()
		service, err = NewService(store, controlInstance.mux, slog.New(slog.DiscardHandler))
		must.NoError(t, err)
	}
	restart()
	collector := NewCollector("i", 1, accountLabel, time.Now())
	sender := NewSender(collector, controlInstance, func() []string { return []string{"control"} }, time.Minute, slog.New(slog.DiscardHandler))
	for i := range 6 {
		controlInstance.unreachable = i == 2 || i == 3
		for range 40 {
			recordExchange(collector, "catalogue", "orchard", pipeline.OutcomeAnswered, nil, false, 20*time.Millisecond)
		}
		recordExchange(collector, "catalogue", "orchard", pipeline.OutcomeNotRun, &pipeline.Refusal{Kind: pipeline.KindBusy, Outcome: pipeline.OutcomeNotRun}, false, 0)
		collector.RecordEvent(Event{At: time.Now(), Kind: EventEjected, Service: "catalogue", Server: "worker-3"})
		sender.send(t.Context(), i == 5)
		switch i {
		case 1:
			restart()
		case 4:
			service.compact()
			restart()
		}
	}
	restart()
	now := time.Now()
	report := service.Report(now.Add(-Week), now.Add(time.Hour), now)
	must.Eq(t, nil, report.Faults)
	must.Eq(t, OrderCounts{Received: 246, RanOnce: 240, NotRun: 6}, report.Total.Orders)
	must.Eq(t, 240, report.Total.Latency.Count)
	must.Eq(t, 6, report.Detection.Ejected)
	must.Eq(t, "orchard", report.SlowestAccount.Name)

	var text, page, document bytes.Buffer
	must.NoError(t, report.WriteText(&text))
	must.NoError(t, report.WriteHTML(&page))
	must.NoError(t, report.WriteJSON(&document))
	// Latency and order counts are in the same row.
	row := rowOf(text.String(), "catalogue ")
	must.StrContains(t, row, " ms")
	must.StrContains(t, row, "|     246       240        6")
	row = rowOf(page.String(), "<td>catalogue</td>")
	must.StrContains(t, row, " ms</td>")
	must.StrContains(t, row, `<td class="orders">246</td><td class="orders">240</td><td class="orders">6</td>`)
	must.StrContains(t, page.String(), `<polyline class="tail" points="`)
	must.StrContains(t, page.String(), `<circle class="tail dot"`)
	must.StrContains(t, page.String(), `<line class="ejected"`)
	var decoded Report
	must.NoError(t, json.Unmarshal(document.Bytes(), &decoded))
	must.Eq(t, report.Services, decoded.Services)
}

func rowOf(text, start string) string {
	for _, line := range strings.Split(text, "\n") {
		if strings.Contains(line, start) {
			return line
		}
	}
	return ""
}

// BenchmarkCollector measures the cost of recording one exchange.
func BenchmarkCollector(b *testing.B) {
	collector := NewCollector("i", 1, accountLabel, testStart)
	e := &pipeline.Exchange{
		Route:   &fleetconfig.Route{ID: "r", Service: "s"},
		Account: "a",
		Outcome: pipeline.OutcomeAnswered,
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = collector.Request(e)
		collector.Record(e, 3*time.Millisecond)
	}
}

// BenchmarkSummary measures the encoded size of an interval of 4,500 exchanges.
func BenchmarkSummary(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	collector := NewCollector("i", 1, accountLabel, testStart)
	bytes := 0
	for b.Loop() {
		for range 4500 {
			service := fmt.Sprintf("service-%d", int(random.ExpFloat64()*60)%450)
			account := fleetconfig.AccountID(fmt.Sprintf("account-%d", int(random.ExpFloat64()*8)%40))
			recordExchange(collector, service, account, pipeline.OutcomeAnswered, nil, false, time.Duration(random.ExpFloat64()*float64(20*time.Millisecond)))
		}
		bytes = 0
		for _, part := range collector.Flush(testStart, false) {
			bytes += len(encoded(b, part))
		}
	}
	b.ReportMetric(float64(bytes), "wire-B/interval")
}

func TestQuarantinedRequestIsNamedWithItsAccount(t *testing.T) {
	event := Event{Kind: EventQuarantined, Fingerprint: "0f", Account: "acme"}
	must.Eq(t, "request 0f of account acme", event.Subject())
	event.Account = ""
	must.Eq(t, "request 0f", event.Subject())
	must.Eq(t, "b1", Event{Kind: EventEjected, Server: "b1"}.Subject())
}
