package quarantine

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// State is what a table thinks of a request.
type State uint8

const (
	// StateClear means that nothing speaks against the request.
	StateClear State = iota
	// StateSuspected means that it was under way in crashes, too few to refuse it.
	StateSuspected
	// StateQuarantined means that it is refused.
	StateQuarantined
)

// String returns the name shown to operators.
func (s State) String() string {
	switch s {
	case StateSuspected:
		return "suspected"
	case StateQuarantined:
		return "quarantined"
	default:
		return "clear"
	}
}

// Scope says which other instances need to know a change.
type Scope uint8

const (
	// ScopeNone is for changes that the comparison of tables spreads soon enough.
	ScopeNone Scope = iota
	// ScopeKeepers is for the few instances that count the crashes under this request.
	// Most requests that are under way in one crash are never in another one.
	ScopeKeepers
	// ScopeAll is for all instances.
	ScopeAll
)

// Change is a change of what a table holds about a request.
type Change struct {
	// Entry is what the table holds now.
	Entry Entry
	// Before and After are the states of the request.
	Before, After State
	// Crashes and Points are the number of the crashes that count and their points.
	Crashes, Points int
	// Scope says who needs to know.
	Scope Scope
}

// Decision says what to do with a request.
type Decision uint8

const (
	// Admit means that the request may run.
	Admit Decision = iota
	// Refuse means that it must not run.
	Refuse
	// RefuseUnlessTrial means that it may run once, as a trial that shows whether it still
	// crashes servers.
	RefuseUnlessTrial
)

// View describes an entry to operators.
type View struct {
	Request
	State State
	// Crashes and Points are the number of the crashes that count and their points.
	Crashes, Points int
	// LastCrash is the time of the newest crash.
	LastCrash time.Time
	// HeldUntil is when a trial run may start. It is zero unless the request is quarantined.
	HeldUntil time.Time
}

// Table holds the requests that were under way in crashes. It is not safe for concurrent use.
type Table struct {
	entries     map[Fingerprint]*entry
	accounts    map[fleetconfig.AccountID]int
	quarantined map[HeadFingerprint]int
	completions *completions
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries:     make(map[Fingerprint]*entry),
		accounts:    make(map[fleetconfig.AccountID]int),
		quarantined: make(map[HeadFingerprint]int),
		completions: newCompletions(),
	}
}

// WitnessCrash records a crash with the requests that were under way in the server, besides
// others whose fingerprints are not known. unixMilli is the time of day in milliseconds.
func (t *Table) WitnessCrash(id CrashID, underWay []Request, others int, unixMilli int64, now time.Time) []Change {
	suspects := t.suspects(underWay, now)
	mostPoints := 0
	for _, request := range suspects {
		mostPoints = max(mostPoints, t.points(request.Fingerprint))
	}
	var changes []Change
	for _, request := range suspects {
		points := sharedPoints
		switch {
		case len(suspects)+others == 1:
			points = alonePoints
		case t.points(request.Fingerprint) < mostPoints:
			points = minorPoints
		}
		added := record{Crash: Crash{ID: id, UnixMilli: unixMilli, Points: uint8(points)}, at: now}
		if change, changed := t.update(request, now, func(e *entry) bool { return e.merge(added) }); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// suspects returns the different requests of those under way that may have caused a crash:
// all that are not known to complete.
func (t *Table) suspects(underWay []Request, now time.Time) []Request {
	var suspects []Request
	for _, request := range underWay {
		known := slices.ContainsFunc(suspects, func(other Request) bool { return other.Fingerprint == request.Fingerprint })
		if !known && !t.completions.clears(request.Fingerprint, now) {
			suspects = append(suspects, request)
		}
	}
	return suspects
}

func (t *Table) points(fingerprint Fingerprint) int {
	if known := t.entries[fingerprint]; known != nil {
		points, _ := known.points()
		return points
	}
	return 0
}

// Complete records that a backend server ran a request to its end. That clears the request of
// all crashes before.
func (t *Table) Complete(fingerprint Fingerprint, now time.Time) (Change, bool) {
	t.completions.add(fingerprint, now)
	known := t.entries[fingerprint]
	if known == nil {
		return Change{}, false
	}
	return t.update(known.request, now, func(e *entry) bool { return e.clear(now.Add(completionWindow)) })
}

// Merge adds what another instance knows about a request.
func (t *Table) Merge(message *Entry, now time.Time) (Change, bool) {
	request := Request{Fingerprint: message.Fingerprint, Account: message.Account, Service: message.Service}
	return t.update(request, now, func(e *entry) bool {
		changed := false
		for _, crash := range message.Crashes {
			added := record{Crash: crash, at: now.Add(-time.Duration(max(0, crash.AgeMillis)) * time.Millisecond)}
			added.Points = min(added.Points, alonePoints)
			added.Cleared = added.Cleared || t.completions.clears(request.Fingerprint, added.at)
			changed = e.merge(added) || changed
		}
		return changed
	})
}

// Release clears a request of all crashes on behalf of an operator.
func (t *Table) Release(fingerprint Fingerprint, now time.Time) (Change, bool) {
	known := t.entries[fingerprint]
	if known == nil {
		return Change{}, false
	}
	return t.update(known.request, now, func(e *entry) bool { return e.clear(now.Add(completionWindow)) })
}

// update applies a change to the entry of a request, which it creates if needed.
func (t *Table) update(request Request, now time.Time, apply func(*entry) bool) (Change, bool) {
	known := t.entries[request.Fingerprint]
	isNew := known == nil
	if isNew {
		known = &entry{request: request}
	}
	change := Change{Before: known.state()}
	if !apply(known) {
		return Change{}, false
	}
	change.After = known.state()
	if change.After == StateClear {
		known.clearedAt = now
	}
	if isNew && now.After(known.expiresAt()) {
		return Change{}, false
	}
	if isNew {
		t.insert(known)
	}
	if (change.Before == StateQuarantined) != (change.After == StateQuarantined) {
		t.countQuarantined(request.Fingerprint.Head(), change.After == StateQuarantined)
	}
	change.Entry = known.message(now)
	change.Points, change.Crashes = known.points()
	switch {
	case change.Before == StateQuarantined && change.After == StateQuarantined:
		change.Scope = ScopeNone
	case len(known.records) > 1:
		change.Scope = ScopeAll
	default:
		change.Scope = ScopeKeepers
	}
	return change, true
}

func (e *entry) state() State {
	points, _ := e.points()
	switch {
	case points >= quarantinePoints:
		return StateQuarantined
	case points > 0:
		return StateSuspected
	default:
		return StateClear
	}
}

func (t *Table) countQuarantined(head HeadFingerprint, added bool) {
	if added {
		t.quarantined[head]++
		return
	}
	if t.quarantined[head]--; t.quarantined[head] <= 0 {
		delete(t.quarantined, head)
	}
}

// insert adds an entry. When the table is full, it drops the entry that says
// least among those of the account with the most entries, so that one account does not push
// out the entries of others.
func (t *Table) insert(added *entry) {
	if len(t.entries) >= maxEntries {
		t.remove(t.leastOf(t.largestAccount()))
	}
	t.entries[added.request.Fingerprint] = added
	t.accounts[added.request.Account]++
}

func (t *Table) largestAccount() fleetconfig.AccountID {
	var largest fleetconfig.AccountID
	most := 0
	for account, count := range t.accounts {
		if count > most || (count == most && account < largest) {
			largest, most = account, count
		}
	}
	return largest
}

// leastOf returns the entry of an account with the fewest points, the oldest one of several.
func (t *Table) leastOf(account fleetconfig.AccountID) *entry {
	var least *entry
	leastPoints := 0
	for _, candidate := range t.entries {
		if candidate.request.Account != account {
			continue
		}
		points, _ := candidate.points()
		if least == nil || cmp.Or(cmp.Compare(points, leastPoints), candidate.lastCrash().Compare(least.lastCrash())) < 0 {
			least, leastPoints = candidate, points
		}
	}
	return least
}

func (t *Table) remove(dropped *entry) {
	fingerprint := dropped.request.Fingerprint
	delete(t.entries, fingerprint)
	if t.accounts[dropped.request.Account]--; t.accounts[dropped.request.Account] <= 0 {
		delete(t.accounts, dropped.request.Account)
	}
	if dropped.quarantined() {
		t.countQuarantined(fingerprint.Head(), false)
	}
}

// AnyQuarantined reports whether any request is quarantined.
func (t *Table) AnyQuarantined() bool { return len(t.quarantined) > 0 }

// HeadQuarantined reports whether a request that differs at most in its body is quarantined.
func (t *Table) HeadQuarantined(head HeadFingerprint) bool { return t.quarantined[head] > 0 }

// Check decides on a request. If it is refused, retryAfter is the time until a trial run may
// start, or the timeout of the trial that is running.
func (t *Table) Check(fingerprint Fingerprint, now time.Time) (decision Decision, retryAfter time.Duration) {
	known := t.entries[fingerprint]
	if known == nil || !known.quarantined() {
		return Admit, 0
	}
	heldUntil := known.heldUntil()
	switch {
	case now.Before(heldUntil):
		return Refuse, heldUntil.Sub(now)
	case now.Before(known.trialUntil):
		return Refuse, known.trialUntil.Sub(now)
	}
	return RefuseUnlessTrial, firstHold
}

// BeginTrial permits a trial run if Check returns RefuseUnlessTrial. Further trials are refused
// until it has completed, crashed a server or run into its timeout.
func (t *Table) BeginTrial(fingerprint Fingerprint, now time.Time) bool {
	if decision, _ := t.Check(fingerprint, now); decision != RefuseUnlessTrial {
		return false
	}
	t.entries[fingerprint].trialUntil = now.Add(trialTimeout)
	return true
}

// MayRetry reports whether a request that was under way in a crash may be sent to another
// server at once, which it may after a single crash. If it causes crashes, that shows sooner and
// costs no server more in the end; if it does not, the caller gets an answer.
func (t *Table) MayRetry(fingerprint Fingerprint) bool {
	known := t.entries[fingerprint]
	if known == nil {
		return true
	}
	_, crashes := known.points()
	return crashes <= 1
}

// Tick forgets entries that have expired.
func (t *Table) Tick(now time.Time) {
	for _, known := range t.entries {
		if now.After(known.expiresAt()) {
			t.remove(known)
		}
	}
}

// Entries describes the entries, those with the most points first.
func (t *Table) Entries() []View {
	views := make([]View, 0, len(t.entries))
	for _, known := range t.entries {
		view := View{Request: known.request, State: known.state(), LastCrash: known.lastCrash()}
		view.Points, view.Crashes = known.points()
		if view.State == StateQuarantined {
			view.HeldUntil = known.heldUntil()
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b View) int {
		return cmp.Or(cmp.Compare(b.Points, a.Points), b.LastCrash.Compare(a.LastCrash), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return views
}

// Count returns how many requests are suspected and how many are quarantined.
func (t *Table) Count() (suspected, quarantined int) {
	for _, known := range t.entries {
		switch known.state() {
		case StateSuspected:
			suspected++
		case StateQuarantined:
			quarantined++
		}
	}
	return suspected, quarantined
}

// shared reports whether all instances should know the entry.
func (e *entry) shared() bool { return len(e.records) > 1 }

// Digest returns a hash of the entries that all instances should know. It is the same on
// instances that know the same.
func (t *Table) Digest() uint64 {
	var digest uint64
	for fingerprint, known := range t.entries {
		if !known.shared() {
			continue
		}
		sum := fnv.New64a()
		_, _ = sum.Write(fingerprint[:])
		for i := range known.records {
			text := binary.BigEndian.AppendUint64(nil, uint64(known.records[i].ID))
			if known.records[i].Cleared {
				text = append(text, 1)
			}
			_, _ = sum.Write(text)
		}
		digest ^= sum.Sum64()
	}
	return digest
}

// SharedEntries returns up to limit of the entries that all instances should know: the
// quarantined ones first, then those with the newest crashes.
func (t *Table) SharedEntries(limit int, now time.Time) []Entry {
	var shared []*entry
	for _, known := range t.entries {
		if known.shared() {
			shared = append(shared, known)
		}
	}
	slices.SortFunc(shared, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.state(), a.state()), b.lastCrash().Compare(a.lastCrash()))
	})
	var messages []Entry
	for _, known := range shared[:min(limit, len(shared))] {
		messages = append(messages, known.message(now))
	}
	return messages
}
