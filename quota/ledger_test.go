package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/internal/soup"
	"github.com/hemlockring/hemlockring/shard"
)

// borrowedGrant is a grant as its borrower knows it.
type borrowedGrant struct {
	id              GrantID
	count           uint32
	spent, returned uint32
	spentAt         time.Time
	expires         time.Time
}

// bucketModel holds one bucket against what its borrowers truly hold.
type bucketModel struct {
	t       *rapid.T
	now     time.Time
	limits  Limits
	ledger  *BucketTable
	held    []*borrowedGrant
	reports []UsageReport // every report that was ever made
	nextID  GrantID
}

func (m *bucketModel) draw(label string, sides int) int {
	return rapid.IntRange(0, sides-1).Draw(m.t, label)
}

// step makes one event: an ask, a request dispatched or given back, a report that
// arrives late or again, or time that passes.
func (m *bucketModel) step() {
	switch m.draw("event", 5) {
	case 0:
		m.nextID++
		ask := TokenRequest{Account: "a", Grant: m.nextID, Waiting: uint32(1 + m.draw("want", 6)), Prefetch: uint32(m.draw("ahead", 6))}
		loan := m.ledger.Lend("b", &ask, m.limits, m.now.Add(time.Hour), m.now)
		m.held = append(m.held, &borrowedGrant{id: ask.Grant, count: loan.Count, expires: m.now.Add(loan.Lifetime)})
	case 1, 2:
		m.use()
	case 3:
		if len(m.reports) > 0 {
			m.ledger.Report("b", &m.reports[m.draw("report", len(m.reports))], m.now)
		}
	default:
		m.now = m.now.Add(time.Duration(m.draw("pass", 400)) * time.Millisecond)
	}
}

// use spends or returns one token and reports it, perhaps at once.
func (m *bucketModel) use() {
	if len(m.held) == 0 {
		return
	}
	g := m.held[m.draw("grant", len(m.held))]
	if g.spent+g.returned == g.count || !m.now.Before(g.expires) {
		return
	}
	if m.draw("return", 3) == 0 {
		g.returned++
	} else {
		g.spent++
		g.spentAt = m.now
	}
	report := UsageReport{Account: "a", Grant: g.id, Spent: g.spent, Returned: g.returned}
	if g.spent > 0 {
		report.SinceLastSpent = m.now.Sub(g.spentAt)
	}
	m.reports = append(m.reports, report)
	if m.draw("at once", 2) == 0 {
		m.ledger.Report("b", &report, m.now)
	}
}

// check holds the level plus the tokens that can truly still be dispatched against
// burst and slack, and the level alone against the burst.
func (m *bucketModel) check() {
	b := m.ledger.buckets["a"]
	if b == nil {
		return
	}
	b.advance(m.now)
	open := 0.0
	for _, g := range m.held {
		if m.now.Before(g.expires) {
			open += float64(g.count - g.spent - g.returned)
		}
	}
	if b.level < 0 || b.level > float64(m.limits.Burst)+1e-6 || b.level+open > float64(m.limits.Burst+m.limits.Slack)+1e-6 {
		m.t.Fatalf("level %.3f with %v tokens lent exceeds %+v", b.level, open, m.limits)
	}
}

func TestBucketLevelAndLentTokensStayWithinBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &bucketModel{t: t, now: soup.Start}
		m.limits = Limits{
			RatePerSecond: rapid.SampledFrom([]float64{0.5, 5, 50}).Draw(t, "rate"),
			Burst:         rapid.SampledFrom([]uint32{1, 2, 5, 20}).Draw(t, "burst"),
			Slack:         rapid.SampledFrom([]uint32{0, 1, 10}).Draw(t, "slack"),
		}
		m.ledger = NewBucketTable(m.now.Add(-time.Duration(m.draw("age", 20)) * time.Second))
		for range rapid.IntRange(10, 200).Draw(t, "events") {
			m.step()
			m.check()
		}
	})
}

// TestTokenExpiresAtBackendBeforeOwner follows one token over three
// clocks: asked for, lent, sent on with a reading of the backend proxy's clock.
func TestTokenExpiresAtBackendBeforeOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := func(name string) soup.Clock {
			drift := rapid.SampledFrom([]float64{-shard.MaxClockDrift, 0, shard.MaxClockDrift}).Draw(t, name)
			return soup.Clock{Offset: time.Duration(rapid.IntRange(0, 1e6).Draw(t, name)) * time.Second, Drift: drift}
		}
		ingress, owner, backend := clock("ingress"), clock("owner"), clock("backend")
		now := soup.Start.Add(time.Minute)
		pass := func(name string) {
			now = now.Add(time.Duration(rapid.IntRange(0, 300_000).Draw(t, name)) * time.Microsecond)
		}

		var peer PeerClock
		dispatch := NewDispatchClock(7, backend.At(soup.Start))
		reading := dispatch.Reading(backend.At(now))
		pass("reading under way")
		peer.Observe(reading, ingress.At(now))
		pass("request arrives")
		borrower := NewBorrower(1, 1)
		must.Nil(t, borrower.Enqueue("a", 0, 1, ingress.At(now)))
		out := make(map[shard.ID]*OutgoingRequest)
		borrower.Flush(out, ingress.At(now))
		pass("ask under way")
		ledger := NewBucketTable(owner.At(soup.Start))
		limits := Limits{RatePerSecond: 10, Burst: 1}
		lease := owner.At(now).Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "lease")) * time.Millisecond)
		loan := ledger.Lend("i", &out[0].Request.TokenRequests[0], limits, lease, owner.At(now))
		must.LessEq(t, max(lease.Sub(owner.At(now)), 0), loan.Lifetime)
		lentUntil := owner.At(now).Add(loan.Lifetime)
		pass("loan under way")
		settled := borrower.HandleReply(&BorrowReply{IsOwner: true, Grants: []TokenGrant{loan}}, ingress.At(now))
		if len(settled) != 1 || settled[0].Refusal != nil {
			return
		}
		token := settled[0].Token
		must.LessEq(t, owner.TrueTime(lentUntil).UnixNano(), ingress.TrueTime(token.Expires).UnixNano())
		ends, known := peer.DispatchDeadline(token)
		must.True(t, known)
		// Find the last moment at which the backend proxy would dispatch.
		for dispatch.Allows(ends, backend.At(now)) {
			must.True(t, owner.At(now).Before(lentUntil))
			now = now.Add(200 * time.Microsecond)
		}
	})
}

func TestLenderWithoutInheritedStateWaitsForPreviousTokens(t *testing.T) {
	limits := Limits{RatePerSecond: 1000, Burst: 5}
	now := soup.Start
	lease := shard.Lease{Holder: shard.Holder{Term: 2}, ExpiresAt: now.Add(time.Hour), PriorTenuresEnd: now.Add(time.Second)}
	ledger := NewLender().newTable(lease, now)
	for i := range 10 {
		ask := TokenRequest{Account: "a", Grant: GrantID(i), Waiting: 1}
		loan := ledger.Lend("b", &ask, limits, lease.ExpiresAt, now.Add(time.Duration(i)*100*time.Millisecond))
		must.Zero(t, loan.Count)
		must.GreaterEq(t, time.Second-time.Duration(i)*100*time.Millisecond, loan.RetryAfter)
	}
	ask := TokenRequest{Account: "a", Grant: 10, Waiting: 9}
	must.Eq(t, 5, ledger.Lend("b", &ask, limits, lease.ExpiresAt, now.Add(2*time.Second)).Count)
}

// An account whose answers take longer than burst / rate is refused below its rate
// unless the operator gives it slack for the requests under way.
func TestBucketSlackKeepsRateWithSlowResponses(t *testing.T) {
	const (
		rate    = 7.0
		seconds = 60
		step    = 10 * time.Millisecond
		answer  = 1500 * time.Millisecond
	)
	admitted := func(slack uint32) float64 {
		limits := Limits{RatePerSecond: rate, Burst: rate, Slack: slack}
		ledger := NewBucketTable(soup.Start)
		count := 0
		for i := range GrantID(seconds * time.Second / step) {
			now := soup.Start.Add(time.Duration(i) * step)
			if answered := i - GrantID(answer/step); i >= GrantID(answer/step) {
				ledger.Report("b", &UsageReport{Account: "a", Grant: answered, Spent: 1, SinceLastSpent: answer}, now)
			}
			ask := TokenRequest{Account: "a", Grant: i, Waiting: 1}
			count += int(ledger.Lend("b", &ask, limits, now.Add(time.Hour), now).Count)
		}
		return float64(count) / seconds
	}
	must.Less(t, 0.8*rate, admitted(0))
	must.Greater(t, 0.98*rate, admitted(8))
	must.LessEq(t, rate+(rate+8)/seconds, admitted(8))
}
