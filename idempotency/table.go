package idempotency

import (
	"slices"
	"sort"
	"time"
)

// recordBytes is the memory of one record without its response: the record, its
// entries in the map and in bySequence, and a second claim.
const recordBytes = 320

// maxClaimsPerRecord is the number of claims that a recovered record can hold.
// A record with more claims is marked as truncated and is never removed by a
// release.
const maxClaimsPerRecord = 4

// Budget limits the memory of the records of all shards of an instance, in
// bytes.
type Budget struct {
	limit int
	used  int
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes in use.
func (b *Budget) Used() int { return b.used }

func (b *Budget) reserve(bytes int) bool {
	if b.used+bytes > b.limit {
		return false
	}
	b.used += bytes
	return true
}

func (b *Budget) release(bytes int) { b.used -= bytes }

// record is the state of one order on a replica.
type record struct {
	id RecordID
	// holder is the claim that holds the record. otherClaims are further claims
	// that a recovery found for the record.
	holder      RecordClaim
	otherClaims []RecordClaim
	sequence    uint64
	deadline    time.Time
	expires     time.Time
	response    []byte
	state       State
	// recovered means that the record was read from another replica or from the
	// journal. Such a record confirms no vote, not even for its holder.
	recovered bool
	// claimsTruncated means that some claims on the record are not listed. Such a
	// record is never removed by a release.
	claimsTruncated bool
	removed         bool
}

// find returns the given claim on the record, or nil.
func (r *record) find(claim ClaimID) *RecordClaim {
	if r.holder.ID == claim {
		return &r.holder
	}
	for i := range r.otherClaims {
		if r.otherClaims[i].ID == claim {
			return &r.otherClaims[i]
		}
	}
	return nil
}

// fingerprintFor returns the fingerprint to report to a vote request: the
// requested one if a claim holds the record for that content, otherwise the
// holder's.
func (r *record) fingerprintFor(requested Fingerprint) Fingerprint {
	for i := range r.otherClaims {
		if r.otherClaims[i].Fingerprint == requested {
			return requested
		}
	}
	return r.holder.Fingerprint
}

// stateAt returns the state to report at the given time. A claim whose deadline
// has passed without an outcome has an unknown outcome; it is never reported as
// not run.
func (r *record) stateAt(now time.Time) State {
	if r.state == StateVoted && !now.Before(r.deadline) {
		return StateUnknown
	}
	return r.state
}

func (r *record) copyAt(now time.Time) RecordCopy {
	return RecordCopy{
		Record:          r.id,
		Claims:          append([]RecordClaim{r.holder}, r.otherClaims...),
		ClaimsTruncated: r.claimsTruncated,
		State:           r.state,
		Response:        r.response,
		Remaining:       max(0, r.deadline.Sub(now)),
		TTL:             r.expires.Sub(now),
	}
}

// table holds the records of a replica. Invariant: bySequence is sorted by
// sequence number. Records expire from the front of bySequence, and expiry stops
// at the first record that must be kept, so a record may be kept longer than its
// lifetime, never shorter. A removed record stays in bySequence until expiry
// reaches it or the next compaction. The number of removed records is at most
// the number of live records plus minRemovedRecords.
type table struct {
	budget       *Budget
	records      map[RecordID]*record
	bySequence   []*record
	removed      int
	lastSequence uint64
}

// minRemovedRecords is part of the compaction limit: the table is compacted when
// it has more removed records than live records plus minRemovedRecords.
const minRemovedRecords = 256

func newTable(budget *Budget) table {
	return table{budget: budget, records: make(map[RecordID]*record)}
}

// add stores a record unless the memory budget is exhausted.
func (t *table) add(r *record) bool {
	if !t.budget.reserve(recordBytes) {
		return false
	}
	t.lastSequence++
	r.sequence = t.lastSequence
	t.records[r.id] = r
	t.bySequence = append(t.bySequence, r)
	return true
}

// storeResponse stores a copy of the response with the record unless the memory
// budget is exhausted.
func (t *table) storeResponse(r *record, response []byte) bool {
	if !t.budget.reserve(len(response)) {
		return false
	}
	t.budget.release(len(r.response))
	r.response = slices.Clone(response)
	return true
}

func (t *table) remove(r *record) {
	delete(t.records, r.id)
	t.budget.release(recordBytes + len(r.response))
	r.response, r.otherClaims = nil, nil
	r.removed = true
	t.removed++
	if t.removed > len(t.records)+minRemovedRecords {
		t.compact()
	}
}

func (t *table) compact() {
	t.bySequence = slices.DeleteFunc(t.bySequence, func(r *record) bool { return r.removed })
	t.removed = 0
}

// expire removes the expired records and returns them.
func (t *table) expire(now time.Time) []*record {
	var expired []*record
	count := 0
	for _, r := range t.bySequence {
		if !r.removed && now.Before(r.expires) {
			break
		}
		count++
		if r.removed {
			t.removed--
			continue
		}
		delete(t.records, r.id)
		t.budget.release(recordBytes + len(r.response))
		expired = append(expired, r)
	}
	if count > 0 {
		clear(t.bySequence[:count])
		t.bySequence = t.bySequence[count:]
	}
	return expired
}

// after returns the records with a higher sequence number, including removed
// ones.
func (t *table) after(sequence uint64) []*record {
	first := sort.Search(len(t.bySequence), func(i int) bool { return t.bySequence[i].sequence > sequence })
	return t.bySequence[first:]
}

// clear removes all records.
func (t *table) clear() {
	for _, r := range t.records {
		t.budget.release(recordBytes + len(r.response))
	}
	*t = table{budget: t.budget, records: make(map[RecordID]*record), lastSequence: t.lastSequence}
}
