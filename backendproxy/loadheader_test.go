package backendproxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
	"github.com/hemlockring/hemlockring/queue"
)

// An ingress reads the load, and the outlook in a load report, as they were written; a header
// without an outlook is that of an earlier version.
func TestLoadHeaderRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := Load{Running: rapid.IntRange(0, 99).Draw(t, "running"), Queued: rapid.IntRange(0, 99).Draw(t, "queued"), Slots: 7, WeightPercent: 100, FailureProbabilityPercent: 21}
		load.Rate.Known = true
		load.Outlook.NextSlot = time.Duration(rapid.IntRange(0, 3000).Draw(t, "next")) * time.Millisecond
		load.Slowness = float64(rapid.IntRange(0, 8).Draw(t, "slowness")) / 2
		if load.Outlook.NextSlot > 0 {
			load.Outlook.Overloaded, load.Outlook.Full = rapid.Bool().Draw(t, "overloaded"), rapid.Bool().Draw(t, "full")
			for range rapid.IntRange(0, 4).Draw(t, "ranks") {
				load.Outlook.Waiting = append(load.Outlook.Waiting, queue.RankedWork{
					Urgency: fleetconfig.Urgency(rapid.Uint64().Draw(t, "urgency")),
					Total:   time.Duration(rapid.IntRange(0, 9000).Draw(t, "total")) * time.Millisecond,
					First:   time.Duration(rapid.IntRange(0, 9000).Draw(t, "first")) * time.Millisecond,
				})
			}
		}
		load.Slowness = min(load.Slowness, queue.MaxSlowness)
		load.NoRepeats, load.SheddingPercent = rapid.Bool().Draw(t, "no repeats"), rapid.IntRange(0, 100).Draw(t, "shedding")
		parsed, ok := ParseLoad(load.String(), load.formatStatus())
		must.True(t, ok, must.Sprint(load.String()))
		must.Eq(t, load, parsed)
		report := parsed.MembershipLoad("s")
		must.Eq(t, load.Outlook, OutlookOf(&report))
	})
	parsed, ok := ParseLoad("3/4/7/100/21", "")
	must.True(t, ok)
	must.Zero(t, parsed.Outlook.NextSlot)
	for _, invalid := range []string{"", "3/4/7/100", "3/4/7/100/21;", "3/4/7/100/21;1/2", "3/4/7/100/21;1/x/", "3/4/7/100/21;1/2/s101", "3/4/7/100/21;1/2/fs", "3/4/7/100/21;1/2/;a/1", "3/4/7/100/21;1/2/;-/1/1"} {
		_, ok := ParseLoad(invalid, "")
		must.False(t, ok, must.Sprint(invalid))
	}
}

// Every response carries a load, mostly without an outlook, which must cost no more allocations
// than the numbers before it.
func TestParseLoadWithoutOutlookDoesNotSplit(t *testing.T) {
	must.LessEq(t, 3, testing.AllocsPerRun(100, func() { ParseLoad("1/2/3/4/5", "") }))
}
