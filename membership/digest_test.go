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

// digestRecord returns the record of member i of a fleet in several failure
// domains.
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

// A digest exchange leaves both instances with the newest records of either, and
// transfers only the entries of buckets that differ.
func TestDigestExchangeTransfersOnlyDifferingBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		members := rapid.IntRange(2, 400).Draw(t, "members")
		initiator, responder := digestState(0, members, 1, now), digestState(1, members, 2, now)
		changed := 0
		for _, state := range []*State{initiator, responder} {
			for range rapid.IntRange(0, 6).Draw(t, "changes") {
				i := rapid.IntRange(2, members+3).Draw(t, "member")
				update := Update{Record: digestRecord(i, rapid.Uint64Range(1, 9).Draw(t, "sequence"))}
				state.MergeUpdates([]Update{update}, now)
				changed++
			}
		}
		first := responder.HandleDigestRequest(initiator.FingerprintRequest(), now)
		must.LessEq(t, changed, len(first.DifferingBuckets))
		if first.InSync {
			must.Eq(t, initiator.Digest(nil), responder.Digest(nil))
			return
		}
		second := initiator.EntriesRequest(first.DifferingBuckets)
		for _, entry := range second.Entries {
			must.SliceContains(t, first.DifferingBuckets, bucketOf(entry.ID))
		}
		reply := responder.HandleDigestRequest(second, now)
		must.LessEq(t, changed, len(reply.Updates)+len(reply.MissingRecords))
		initiator.MergeUpdates(reply.Updates, now)
		responder.HandleDigestRequest(&DigestRequest{Updates: initiator.UpdatesFor(reply.MissingRecords)}, now)
		must.Eq(t, initiator.Digest(nil), responder.Digest(nil))
		must.Eq(t, initiator.Fingerprint(), responder.Fingerprint())
	})
}

// Most digest exchanges stay in the instance's own failure domain, and some are
// with other failure domains.
func TestDigestPeerPrefersOwnFailureDomain(t *testing.T) {
	const exchanges = 1000
	state := digestState(0, 60, 3, time.Now())
	domains := make(map[string]fleetconfig.FailureDomain)
	for _, member := range state.Members() {
		domains[member.Record.Address] = member.Record.FailureDomain
	}
	otherDomain := 0
	for range exchanges {
		if domains[state.DigestPeer()] != state.Self().FailureDomain {
			otherDomain++
		}
	}
	must.Between(t, exchanges/20, otherDomain, exchanges/5)
}
