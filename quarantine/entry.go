package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Request identifies a request that runs on a backend server.
type Request struct {
	// Fingerprint identifies its content.
	Fingerprint Fingerprint
	// Account is its client account, empty if it has none.
	Account fleetconfig.AccountID
	// Service is the service that runs it.
	Service fleetconfig.ServiceName
}

// CrashID identifies a crash of a backend server.
type CrashID uint64

// Crash is a crash of a backend server while a request was under way in it.
type Crash struct {
	// ID identifies the crash.
	ID CrashID `cbor:"1,keyasint"`
	// UnixMilli is the time of the crash by the clock of its witness, in milliseconds. It
	// only orders crashes, so that all instances keep the same ones.
	UnixMilli int64 `cbor:"2,keyasint"`
	// AgeMillis is how long ago it was when the message was sent, in milliseconds.
	AgeMillis int64 `cbor:"3,keyasint"`
	// Points is how strongly the crash implicates the request.
	Points uint8 `cbor:"4,keyasint"`
	// Cleared says that the request is known to complete, so that the crash does not count.
	Cleared bool `cbor:"5,keyasint,omitempty"`
}

// Entry is what an instance knows about the crashes under one request, as it is sent to other
// instances.
type Entry struct {
	Fingerprint Fingerprint             `cbor:"1,keyasint"`
	Account     fleetconfig.AccountID   `cbor:"2,keyasint,omitempty"`
	Service     fleetconfig.ServiceName `cbor:"3,keyasint"`
	Crashes     []Crash                 `cbor:"4,keyasint"`
}

// record is a Crash with its time by the local clock.
type record struct {
	Crash
	at time.Time
}

// entry is what a table holds about one request. Its records are ordered by compareRecords.
type entry struct {
	request Request
	records []record
	// clearedAt is when the last crash that counted was cleared.
	clearedAt time.Time
	// trialUntil is the time until which no other trial run starts.
	trialUntil time.Time
}

func compareRecords(a, b record) int {
	return cmp.Or(cmp.Compare(a.UnixMilli, b.UnixMilli), cmp.Compare(a.ID, b.ID))
}

// merge adds a record, or what it says beyond the known one. It reports whether that changed
// the entry. When there are more than maxCrashes, the oldest is dropped.
func (e *entry) merge(added record) bool {
	for i := range e.records {
		known := &e.records[i]
		if known.ID != added.ID {
			continue
		}
		changed := (added.Cleared && !known.Cleared) || added.Points > known.Points
		known.Cleared = known.Cleared || added.Cleared
		known.Points = max(known.Points, added.Points)
		return changed
	}
	if len(e.records) == maxCrashes && compareRecords(added, e.records[0]) < 0 {
		return false
	}
	index, _ := slices.BinarySearchFunc(e.records, added, compareRecords)
	e.records = slices.Insert(e.records, index, added)
	if len(e.records) > maxCrashes {
		e.records = slices.Delete(e.records, 0, 1)
	}
	return true
}

// clear marks the crashes that happened before the given time as cleared. It reports whether
// any was not.
func (e *entry) clear(before time.Time) bool {
	changed := false
	for i := range e.records {
		if record := &e.records[i]; !record.Cleared && record.at.Before(before) {
			record.Cleared = true
			changed = true
		}
	}
	return changed
}

// points returns the sum of the points of the crashes that count, and their number.
func (e *entry) points() (points, crashes int) {
	for i := range e.records {
		if !e.records[i].Cleared {
			points += int(e.records[i].Points)
			crashes++
		}
	}
	return points, crashes
}

func (e *entry) quarantined() bool {
	points, _ := e.points()
	return points >= quarantinePoints
}

// heldUntil returns when the request may have a trial run. It must be quarantined.
func (e *entry) heldUntil() time.Time {
	hold := firstHold
	points := 0
	var last time.Time
	for i := range e.records {
		record := &e.records[i]
		if record.Cleared {
			continue
		}
		if points >= quarantinePoints && record.at.Sub(last) > episodeGap {
			hold = min(hold*holdGrowth, maxHold)
		}
		points += int(record.Points)
		last = record.at
	}
	return last.Add(hold)
}

// lastCrash returns the time of the newest crash.
func (e *entry) lastCrash() time.Time {
	var last time.Time
	for i := range e.records {
		if e.records[i].at.After(last) {
			last = e.records[i].at
		}
	}
	return last
}

// expiresAt returns when the entry is forgotten.
func (e *entry) expiresAt() time.Time {
	points, _ := e.points()
	switch {
	case points == 0:
		return e.clearedAt.Add(clearedRetention)
	case points < quarantinePoints:
		return e.lastCrash().Add(suspicionRetention)
	default:
		return e.lastCrash().Add(quarantineRetention)
	}
}

// message returns the entry as it is sent.
func (e *entry) message(now time.Time) Entry {
	message := Entry{Fingerprint: e.request.Fingerprint, Account: e.request.Account, Service: e.request.Service}
	for _, record := range e.records {
		crash := record.Crash
		crash.AgeMillis = max(0, now.Sub(record.at).Milliseconds())
		message.Crashes = append(message.Crashes, crash)
	}
	return message
}
