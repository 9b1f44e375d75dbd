package serverexit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Guards against a record that a majority has confirmed and a later majority does not return.
func TestMajoritiesShareAWitness(t *testing.T) {
	t.Parallel()
	for witnesses := range 12 {
		for confirmed := range witnesses + 1 {
			for replied := range witnesses + 1 {
				if Enough(confirmed, witnesses, false) && Enough(replied, witnesses, false) {
					must.Greater(t, witnesses, confirmed+replied)
				}
			}
		}
	}
	must.True(t, Enough(2, 5, true))
	must.False(t, Enough(1, 5, true))
	must.True(t, Enough(1, 1, false))
	must.False(t, Enough(0, 1, true))
}

// Guards against a new process that asks other instances than those that hold the records of the one before it, when members come, go or seem dead.
func TestWitnessesOfTwoViewsOverlap(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		control, others := rapid.IntRange(1, 7).Draw(t, "control"), rapid.IntRange(0, 60).Draw(t, "others")
		var peers []Peer
		for i := range control + others {
			peers = append(peers, Peer{ID: fleetconfig.InstanceID(fmt.Sprintf("i%d", i)), Control: i < control})
		}
		self := fleetconfig.InstanceID(rapid.StringN(1, 8, -1).Draw(t, "self"))
		before := Witnesses(self, peers)
		must.Len(t, min(control, controlWitnesses)+min(others, otherWitnesses), before)
		changed := append([]Peer{{ID: "joined", Control: rapid.Bool().Draw(t, "joined")}}, peers...)
		gone := rapid.IntRange(1, len(changed)-1).Draw(t, "gone")
		if rapid.Bool().Draw(t, "dead") {
			changed[gone].Unfit = true
		} else {
			changed = append(changed[:gone:gone], changed[gone+1:]...)
		}
		shared := 0
		for _, witness := range Witnesses(self, changed) {
			for _, known := range before {
				if known.ID == witness.ID {
					shared++
				}
			}
		}
		must.GreaterEq(t, len(before)-2, shared)
	})
}

// Guards against a record that an older one replaces when messages overtake each other, and against ages that do not advance.
func TestStoreKeepsNewestRecordUntilRetentionEnds(t *testing.T) {
	t.Parallel()
	started := time.Now()
	draining := Record{Server: "b1", ProcessStartUnixMilli: 5, Sequence: 9}
	left := Record{Server: "b1", ProcessStartUnixMilli: 5, Sequence: 9, Final: true, AgeMillis: 1000}
	successor := Record{Server: "b1", ProcessStartUnixMilli: 6, Sequence: 1}
	store := NewStore()
	must.True(t, store.Put("i1", left, started))
	must.True(t, store.Put("i1", draining, started))
	records := store.Of("i1", started.Add(2*time.Second))
	must.Len(t, 1, records)
	must.True(t, records[0].Final)
	must.Eq(t, 3000, records[0].AgeMillis)
	must.SliceEmpty(t, store.Of("i2", started))
	must.SliceEmpty(t, store.Of("i1", started.Add(Retention)))

	must.Eq(t, []Record{successor}, Merge([][]Record{{left}, {successor}, {draining}, nil}))
	must.Eq(t, []Record{left}, Merge([][]Record{{left}, {draining}}))

	for i := range maxRecords {
		must.True(t, store.Put("i1", Record{Server: fleetconfig.BackendServerID(fmt.Sprint(i))}, started))
	}
	must.False(t, store.Put("i1", Record{Server: "one more"}, started))
	must.True(t, store.Put("i1", Record{Server: "7", Final: true}, started))
}
