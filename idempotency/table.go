package idempotency

import (
	"slices"
	"sort"
	"time"
)

// recordBytes is the memory of one record without its answer: the record, its
// entry in the index, its place in the order, and a second claim.
const recordBytes = 320

// maxClaimsPerRecord bounds the claims that a recovered record remembers. A record that
// would need more is never freed by releases.
const maxClaimsPerRecord = 4

// Budget bounds the memory of the records of all shards of an instance, in
// bytes.
type Budget struct {
	limit int
	used  int
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Used returns the bytes in use.
func (b *Budget) Used() int { return b.used }

func (b *Budget) reserve(bytes int) bool {
	if b.used+bytes > b.limit {
		return false
	}
	b.used += bytes
	return true
}

func (b *Budget) release(bytes int) { b.used -= bytes }

// record is what a replica knows about one order.
type record struct {
	id RecordID
	// holder is the claim that holds the record, others are further claims that a
	// recovery found for it.
	holder      RecordClaim
	otherClaims []RecordClaim
	sequence    uint64
	deadline    time.Time
	expires     time.Time
	response    []byte
	state       State
	// recovered records come from another replica. They grant no vote.
	recovered bool
	// claimsTruncated records forgot a claim and are not freed by releases.
	claimsTruncated bool
	removed         bool
}

// find returns the claim as the record holds it, or nil.
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

// fingerprintFor returns the content to report to a request: its own if a claim
// holds the record for it.
func (r *record) fingerprintFor(asked Fingerprint) Fingerprint {
	for i := range r.otherClaims {
		if r.otherClaims[i].Fingerprint == asked {
			return asked
		}
	}
	return r.holder.Fingerprint
}

// stateAt returns the state as it is reported: a claim that is past its
// deadline has an unknown outcome, never "not run".
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

// table holds the records of a replica. Invariant: order is sorted by sequence.
// Expiry takes records from its front and stops at the first that must be kept,
// so a record may stay longer than its life, never shorter. Removed records stay
// in order until a compaction; they are at most as many as the live ones plus
// minCompaction.
type table struct {
	budget       *Budget
	records      map[RecordID]*record
	order        []*record
	removed      int
	lastSequence uint64
}

// minRemovedRecords is how many removed records are kept before a compaction.
const minRemovedRecords = 256

func newTable(budget *Budget) table {
	return table{budget: budget, records: make(map[RecordID]*record)}
}

// add stores a record unless the budget is used up.
func (t *table) add(r *record) bool {
	if !t.budget.reserve(recordBytes) {
		return false
	}
	t.lastSequence++
	r.sequence = t.lastSequence
	t.records[r.id] = r
	t.order = append(t.order, r)
	return true
}

// storeResponse keeps the answer with the record if the budget permits.
func (t *table) storeResponse(r *record, answer []byte) bool {
	if !t.budget.reserve(len(answer)) {
		return false
	}
	t.budget.release(len(r.response))
	r.response = slices.Clone(answer)
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
	t.order = slices.DeleteFunc(t.order, func(r *record) bool { return r.removed })
	t.removed = 0
}

// expire removes the records whose time has run out and returns them.
func (t *table) expire(now time.Time) []*record {
	var gone []*record
	count := 0
	for _, r := range t.order {
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
		gone = append(gone, r)
	}
	if count > 0 {
		clear(t.order[:count])
		t.order = t.order[count:]
	}
	return gone
}

// after returns the records with a higher sequence number, removed ones among
// them.
func (t *table) after(sequence uint64) []*record {
	first := sort.Search(len(t.order), func(i int) bool { return t.order[i].sequence > sequence })
	return t.order[first:]
}

// clear drops all records.
func (t *table) clear() {
	for _, r := range t.records {
		t.budget.release(recordBytes + len(r.response))
	}
	*t = table{budget: t.budget, records: make(map[RecordID]*record), lastSequence: t.lastSequence}
}
