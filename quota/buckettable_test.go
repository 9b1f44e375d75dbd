package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/internal/simnet"
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

// bucketModel compares one bucket with the tokens that its borrowers actually hold.
type bucketModel struct {
	t       *rapid.T
	now     time.Time
	limits  Limits
	table   *BucketTable
	grants  []*borrowedGrant
	reports []UsageReport // all reports made so far
	nextID  GrantID
}

func (m *bucketModel) draw(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(m.t, label)
}

// step performs one event: a token request, a request that is dispatched or returned, a
// report that arrives late or twice, or a passage of time.
func (m *bucketModel) step() {
	switch m.draw("event", 5) {
	case 0:
		m.nextID++
		request := TokenRequest{Account: "a", Grant: m.nextID, Waiting: uint32(1 + m.draw("waiting", 6)), Prefetch: uint32(m.draw("prefetch", 6))}
		grant := m.table.Lend("b", &request, m.limits, m.now.Add(time.Hour), m.now)
		m.grants = append(m.grants, &borrowedGrant{id: request.Grant, count: grant.Count, expires: m.now.Add(grant.Lifetime)})
	case 1, 2:
		m.use()
	case 3:
		if len(m.reports) > 0 {
			m.table.Report("b", &m.reports[m.draw("report", len(m.reports))], m.now)
		}
	default:
		m.now = m.now.Add(time.Duration(m.draw("elapsed", 400)) * time.Millisecond)
	}
}

// use spends or returns one token and creates the report, which may arrive at once.
func (m *bucketModel) use() {
	if len(m.grants) == 0 {
		return
	}
	g := m.grants[m.draw("grant", len(m.grants))]
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
		m.table.Report("b", &report, m.now)
	}
}

// check checks the level plus the tokens that can still be spent against burst and
// slack, and the level alone against the burst.
func (m *bucketModel) check() {
	b := m.table.buckets["a"]
	if b == nil {
		return
	}
	b.advance(m.now)
	open := 0.0
	for _, g := range m.grants {
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
		m := &bucketModel{t: t, now: simnet.StartTime}
		m.limits = Limits{
			RatePerSecond: rapid.SampledFrom([]float64{0.5, 5, 50}).Draw(t, "rate"),
			Burst:         rapid.SampledFrom([]uint32{1, 2, 5, 20}).Draw(t, "burst"),
			Slack:         rapid.SampledFrom([]uint32{0, 1, 10}).Draw(t, "slack"),
		}
		m.table = NewBucketTable(m.now.Add(-time.Duration(m.draw("age", 20)) * time.Second))
		for range rapid.IntRange(10, 200).Draw(t, "events") {
			m.step()
			m.check()
		}
	})
}

// TestTokenExpiresAtBackendBeforeOwner follows one token through the clocks of three
// instances: it is requested by the ingress, lent by the owner, and forwarded with a
// reading of the backend proxy's clock.
func TestTokenExpiresAtBackendBeforeOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := func(name string) simnet.Clock {
			drift := rapid.SampledFrom([]float64{-shard.MaxClockDrift, 0, shard.MaxClockDrift}).Draw(t, name)
			return simnet.Clock{Offset: time.Duration(rapid.IntRange(0, 1e6).Draw(t, name)) * time.Second, Drift: drift}
		}
		ingress, owner, backend := clock("ingress"), clock("owner"), clock("backend")
		now := simnet.StartTime.Add(time.Minute)
		pass := func(name string) {
			now = now.Add(time.Duration(rapid.IntRange(0, 300_000).Draw(t, name)) * time.Microsecond)
		}

		var peer PeerClock
		dispatch := NewDispatchClock(7, backend.LocalTime(simnet.StartTime))
		reading := dispatch.Reading(backend.LocalTime(now))
		pass("reading in flight")
		peer.Observe(reading, ingress.LocalTime(now))
		pass("request arrives")
		borrower := NewBorrower(1, 1)
		must.Nil(t, borrower.Enqueue("a", 0, 1, ingress.LocalTime(now)))
		out := make(map[shard.ID]*OutgoingRequest)
		borrower.Flush(out, ingress.LocalTime(now))
		pass("request in flight")
		table := NewBucketTable(owner.LocalTime(simnet.StartTime))
		limits := Limits{RatePerSecond: 10, Burst: 1}
		lease := owner.LocalTime(now).Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "lease")) * time.Millisecond)
		grant := table.Lend("i", &out[0].Request.TokenRequests[0], limits, lease, owner.LocalTime(now))
		must.LessEq(t, max(lease.Sub(owner.LocalTime(now)), 0), grant.Lifetime)
		lentUntil := owner.LocalTime(now).Add(grant.Lifetime)
		pass("grant in flight")
		results := borrower.HandleReply(&BorrowReply{IsOwner: true, Grants: []TokenGrant{grant}}, ingress.LocalTime(now))
		if len(results) != 1 || results[0].Refusal != nil {
			return
		}
		token := results[0].Token
		must.LessEq(t, owner.TrueTime(lentUntil).UnixNano(), ingress.TrueTime(token.Expires).UnixNano())
		expires, known := peer.DispatchDeadline(token)
		must.True(t, known)
		// Find the last moment at which the backend proxy would still dispatch.
		for dispatch.Allows(expires, backend.LocalTime(now)) {
			must.True(t, owner.LocalTime(now).Before(lentUntil))
			now = now.Add(200 * time.Microsecond)
		}
	})
}

func TestLenderWithoutInheritedStateWaitsForPreviousTokens(t *testing.T) {
	limits := Limits{RatePerSecond: 1000, Burst: 5}
	now := simnet.StartTime
	lease := shard.Lease{Holder: shard.Holder{Term: 2}, ExpiresAt: now.Add(time.Hour), PriorTenuresEnd: now.Add(time.Second)}
	table := NewLender().newTable(lease, now)
	for i := range 10 {
		request := TokenRequest{Account: "a", Grant: GrantID(i), Waiting: 1}
		grant := table.Lend("b", &request, limits, lease.ExpiresAt, now.Add(time.Duration(i)*100*time.Millisecond))
		must.Zero(t, grant.Count)
		must.GreaterEq(t, time.Second-time.Duration(i)*100*time.Millisecond, grant.RetryAfter)
	}
	request := TokenRequest{Account: "a", Grant: 10, Waiting: 9}
	must.Eq(t, 5, table.Lend("b", &request, limits, lease.ExpiresAt, now.Add(2*time.Second)).Count)
}

// An account whose responses take longer than burst / rate has requests refused although it
// is below its rate, unless its slack covers the requests in flight.
func TestBucketSlackKeepsRateWithSlowResponses(t *testing.T) {
	const (
		rate         = 7.0
		seconds      = 60
		step         = 10 * time.Millisecond
		responseTime = 1500 * time.Millisecond
	)
	admitted := func(slack uint32) float64 {
		limits := Limits{RatePerSecond: rate, Burst: rate, Slack: slack}
		table := NewBucketTable(simnet.StartTime)
		count := 0
		for i := range GrantID(seconds * time.Second / step) {
			now := simnet.StartTime.Add(time.Duration(i) * step)
			if finished := i - GrantID(responseTime/step); i >= GrantID(responseTime/step) {
				table.Report("b", &UsageReport{Account: "a", Grant: finished, Spent: 1, SinceLastSpent: responseTime}, now)
			}
			request := TokenRequest{Account: "a", Grant: i, Waiting: 1}
			count += int(table.Lend("b", &request, limits, now.Add(time.Hour), now).Count)
		}
		return float64(count) / seconds
	}
	must.Less(t, 0.8*rate, admitted(0))
	must.Greater(t, 0.98*rate, admitted(8))
	must.LessEq(t, rate+(rate+8)/seconds, admitted(8))
}
