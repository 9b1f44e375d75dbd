package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

var start = time.Unix(1_000_000, 0)

func requestNumber(number int) Request {
	key := DeriveKey(nil)
	hasher := key.NewHasher(Content{Target: "/", DeclaredLength: 2})
	_, _ = hasher.Write([]byte{byte(number), byte(number >> 8)})
	fingerprint, _ := hasher.Sum()
	return Request{Fingerprint: fingerprint, Account: "acme", Service: "catalogue"}
}

// crash records a crash with the given requests under way.
func crash(table *Table, id CrashID, now time.Time, underWay ...Request) []Change {
	return table.WitnessCrash(id, underWay, 0, now.UnixMilli(), now)
}

func decisionOf(table *Table, request Request, now time.Time) Decision {
	decision, _ := table.Check(request.Fingerprint, now)
	return decision
}

func TestThirdSharedCrashQuarantines(t *testing.T) {
	table := NewTable()
	deadly := requestNumber(1)
	for i := range 3 {
		must.Eq(t, Admit, decisionOf(table, deadly, start))
		crash(table, CrashID(i), start, deadly, requestNumber(100+i))
	}
	must.Eq(t, Refuse, decisionOf(table, deadly, start))
	must.True(t, table.HeadQuarantined(deadly.Fingerprint.Head()))
	for i := range 3 {
		must.Eq(t, Admit, decisionOf(table, requestNumber(100+i), start))
	}
}

// Servers that crash for another reason may end two runs of the same request.
func TestTwoCrashesOfLoneRequestDoNotQuarantine(t *testing.T) {
	table := NewTable()
	request := requestNumber(1)
	crash(table, 1, start, request)
	must.True(t, table.MayRetry(request.Fingerprint))
	crash(table, 2, start, request)
	must.False(t, table.MayRetry(request.Fingerprint))
	must.Eq(t, Admit, decisionOf(table, request, start))
	crash(table, 3, start, request, requestNumber(2))
	must.Eq(t, Refuse, decisionOf(table, request, start))
}

// quarantineIn records as many crashes as it takes to quarantine a request.
func quarantineIn(table *Table, request Request, now time.Time) Change {
	var last Change
	for id := range CrashID(3) {
		last = crash(table, 1000+id, now, request)[0]
	}
	return last
}

// A request whose copies with an unknown fingerprint were under way too was not alone.
func TestUnknownRequestsUnderWayKeepRequestFromBeingAlone(t *testing.T) {
	table := NewTable()
	table.WitnessCrash(1, []Request{requestNumber(1)}, 1, 0, start)
	must.Eq(t, sharedPoints, table.points(requestNumber(1).Fingerprint))
}

func TestLikelierCauseSparesRequestsBesideIt(t *testing.T) {
	table := NewTable()
	deadly, innocent := requestNumber(1), requestNumber(2)
	crash(table, 1, start, deadly)
	for i := range 3 {
		crash(table, CrashID(2+i), start, deadly, innocent)
	}
	must.Eq(t, Refuse, decisionOf(table, deadly, start))
	must.Eq(t, Admit, decisionOf(table, innocent, start))
}

func TestRequestThatCompletesIsNotImplicated(t *testing.T) {
	table := NewTable()
	popular, deadly := requestNumber(1), requestNumber(2)
	table.Complete(popular.Fingerprint, start)
	for i := range 10 {
		now := start.Add(time.Duration(i) * 900 * time.Millisecond)
		crash(table, CrashID(i), now, popular, deadly)
		must.Eq(t, Admit, decisionOf(table, popular, now))
	}
	must.Eq(t, Refuse, decisionOf(table, deadly, start))
	crash(table, 100, start.Add(completionWindow), popular)
	must.Eq(t, alonePoints, table.points(popular.Fingerprint))
}

func TestCompletedRunElsewhereEndsQuarantine(t *testing.T) {
	witness, other := NewTable(), NewTable()
	request := requestNumber(1)
	var last Change
	for i := range 3 {
		last = crash(witness, CrashID(i), start, request, requestNumber(10+i))[0]
	}
	other.Merge(&last.Entry, start)
	must.Eq(t, Refuse, decisionOf(other, request, start))
	change, changed := other.Complete(request.Fingerprint, start.Add(time.Second))
	must.True(t, changed)
	must.Eq(t, ScopeAll, change.Scope)
	witness.Merge(&change.Entry, start.Add(time.Second))
	must.Eq(t, Admit, decisionOf(witness, request, start.Add(time.Second)))
	must.False(t, witness.AnyQuarantined())
	must.Eq(t, witness.Digest(), other.Digest())
}

// A cleared crash must not count again when an instance that has not heard of it sends it.
func TestOlderCopyOfClearedEntryStaysCleared(t *testing.T) {
	table := NewTable()
	request := requestNumber(1)
	copied := quarantineIn(table, request, start).Entry
	_, released := table.Release(request.Fingerprint, start)
	must.True(t, released)
	table.Merge(&copied, start.Add(time.Minute))
	must.Eq(t, Admit, decisionOf(table, request, start.Add(time.Minute)))
}

func TestTrialRunsGetRarerWhileTheyCrashServers(t *testing.T) {
	table := NewTable()
	request := requestNumber(1)
	now := start
	quarantineIn(table, request, now)
	trials := 0
	for id := CrashID(1); now.Sub(start) < 48*time.Hour; now = now.Add(10 * time.Second) {
		if decisionOf(table, request, now) != RefuseUnlessTrial {
			continue
		}
		must.True(t, table.BeginTrial(request.Fingerprint, now))
		must.False(t, table.BeginTrial(request.Fingerprint, now))
		crash(table, id, now, request)
		id++
		trials++
	}
	must.Between(t, 5, trials, 9)
}

func TestTrialRunThatCompletesEndsQuarantine(t *testing.T) {
	table := NewTable()
	request := requestNumber(1)
	quarantineIn(table, request, start)
	now := start.Add(firstHold)
	must.True(t, table.BeginTrial(request.Fingerprint, now))
	table.Complete(request.Fingerprint, now)
	must.Eq(t, Admit, decisionOf(table, request, now))
}

// New crashing requests of one account must not push out what is known about others.
func TestFloodOfOneAccountKeepsEntriesOfOthers(t *testing.T) {
	table := NewTable()
	deadly := requestNumber(0)
	quarantineIn(table, deadly, start)
	for i := 1; i < 3*maxEntries; i++ {
		flood := requestNumber(i)
		flood.Account = "flood"
		crash(table, CrashID(10+i), start.Add(time.Duration(i)*time.Millisecond), flood)
		must.LessEq(t, maxEntries, len(table.entries))
	}
	must.Eq(t, Refuse, decisionOf(table, deadly, start.Add(time.Second)))
	must.Eq(t, 1, table.accounts["acme"])
}

func TestEntriesExpire(t *testing.T) {
	table := NewTable()
	deadly := requestNumber(1)
	quarantineIn(table, deadly, start)
	crash(table, 3, start, requestNumber(2), requestNumber(3))
	table.Tick(start.Add(suspicionRetention + time.Second))
	must.MapLen(t, 1, table.entries)
	table.Tick(start.Add(quarantineRetention + time.Second))
	must.MapEmpty(t, table.entries)
	must.MapEmpty(t, table.accounts)
	must.False(t, table.AnyQuarantined())
}

// checkTable checks the counters of a table against its entries.
func checkTable(t must.T, table *Table) {
	accounts := make(map[fleetconfig.AccountID]int)
	heads := make(map[HeadFingerprint]int)
	for fingerprint, known := range table.entries {
		must.Eq(t, fingerprint, known.request.Fingerprint)
		must.Between(t, 1, len(known.records), maxCrashes)
		accounts[known.request.Account]++
		if known.quarantined() {
			heads[fingerprint.Head()]++
		}
	}
	must.Eq(t, accounts, table.accounts)
	must.Eq(t, heads, table.quarantined)
	must.LessEq(t, maxCompletions, len(table.completions.ring))
	must.Eq(t, len(table.completions.ring), len(table.completions.index))
}

func TestTablesConvergeAndCountTheirEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		now := start
		var sent []Entry
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			table := tables[rapid.IntRange(0, 2).Draw(t, "table")]
			request := requestNumber(rapid.IntRange(0, 4).Draw(t, "request"))
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				for _, change := range crash(table, CrashID(step), now, request, requestNumber(rapid.IntRange(0, 4).Draw(t, "other"))) {
					sent = append(sent, change.Entry)
				}
			case 2:
				if change, changed := table.Complete(request.Fingerprint, now); changed {
					sent = append(sent, change.Entry)
				}
			case 3:
				if len(sent) > 0 {
					table.Merge(&sent[rapid.IntRange(0, len(sent)-1).Draw(t, "message")], now)
				}
			case 4:
				table.Tick(now)
			}
			checkTable(t, table)
		}
		// Each table receives what the others hold, in any order and more than once.
		for range 3 {
			for i, from := range tables {
				for _, entry := range from.SharedEntries(maxEntries, now) {
					tables[(i+1)%3].Merge(&entry, now)
					tables[(i+2)%3].Merge(&entry, now)
				}
			}
		}
		for _, table := range tables {
			checkTable(t, table)
			must.Eq(t, tables[0].Digest(), table.Digest())
		}
	})
}

func TestQuarantinedRequestNeverCompletedSinceItsCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		completedAt := make(map[Fingerprint]time.Time)
		now := start
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			request := requestNumber(rapid.IntRange(0, 3).Draw(t, "request"))
			if rapid.Bool().Draw(t, "completes") {
				table.Complete(request.Fingerprint, now)
				completedAt[request.Fingerprint] = now
			} else {
				crash(table, CrashID(step), now, request, requestNumber(rapid.IntRange(0, 3).Draw(t, "other")))
			}
			for _, view := range table.Entries() {
				if view.State == StateQuarantined {
					completed := completedAt[view.Fingerprint]
					must.True(t, completed.IsZero() || completed.Before(view.LastCrash))
					must.GreaterEq(t, 3, view.Crashes)
				}
			}
		}
	})
}
