package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const digestDomains = 6

// digestRecord is the record of a member of a fleet in several failure domains.
func digestRecord(i int, sequence uint64) Record {
	return Record{
		ID:            fleetconfig.InstanceID(fmt.Sprintf("i-%d", i)),
		Incarnation:   1,
		Sequence:      sequence,
		Address:       fmt.Sprintf("192.0.2.%d:7400", i),
		FailureDomain: fleetconfig.FailureDomain(fmt.Sprintf("d-%d", i%digestDomains)),
	}
}

func digestState(self, members int, seed uint64, now time.Time) *State {
	state := New(Config{}, digestRecord(self, 1), nil, rand.New(rand.NewPCG(seed, 0)), now)
	for i := range members {
		state.MergeUpdates([]Update{{Record: digestRecord(i, 1)}}, now)
	}
	return state
}

// An exchange by parts leaves both sides with the newest records of either, and carries
// no more than the parts that differ.
func TestAnExchangeByPartsFindsWhatDiffers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		members := rapid.IntRange(2, 400).Draw(t, "members")
		asker, answerer := digestState(0, members, 1, now), digestState(1, members, 2, now)
		changed := 0
		for _, state := range []*State{asker, answerer} {
			for range rapid.IntRange(0, 6).Draw(t, "changes") {
				i := rapid.IntRange(2, members+3).Draw(t, "member")
				update := Update{Record: digestRecord(i, rapid.Uint64Range(1, 9).Draw(t, "sequence"))}
				state.MergeUpdates([]Update{update}, now)
				changed++
			}
		}
		first := answerer.HandleDigestRequest(asker.FingerprintRequest(), now)
		must.LessEq(t, changed, len(first.DifferingBuckets))
		if first.InSync {
			must.Eq(t, asker.Digest(nil), answerer.Digest(nil))
			return
		}
		second := asker.EntriesRequest(first.DifferingBuckets)
		for _, entry := range second.Entries {
			must.SliceContains(t, first.DifferingBuckets, partOf(entry.ID))
		}
		reply := answerer.HandleDigestRequest(second, now)
		must.LessEq(t, changed, len(reply.Updates)+len(reply.MissingRecords))
		asker.MergeUpdates(reply.Updates, now)
		answerer.HandleDigestRequest(&DigestRequest{Updates: asker.UpdatesFor(reply.MissingRecords)}, now)
		must.Eq(t, asker.Digest(nil), answerer.Digest(nil))
		must.Eq(t, asker.Fingerprint(), answerer.Fingerprint())
	})
}

// Most exchanges stay in the failure domain, some cross to the others.
func TestMostExchangesStayInTheFailureDomain(t *testing.T) {
	const exchanges = 1000
	state := digestState(0, 60, 3, time.Now())
	addresses := make(map[string]fleetconfig.FailureDomain)
	for _, member := range state.Members() {
		addresses[member.Record.Address] = member.Record.FailureDomain
	}
	far := 0
	for range exchanges {
		if addresses[state.DigestPeer()] != state.Self().FailureDomain {
			far++
		}
	}
	must.Between(t, exchanges/20, far, exchanges/5)
}
