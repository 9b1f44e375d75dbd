package quarantine

import "time"

// Points that a crash adds to a request that was under way in the server. A request is
// quarantined when its uncleared crashes reach quarantinePoints: after three crashes that it
// shared, or after two in which it was alone and one more. Two crashes are never enough, since a
// server that crashes often for another reason ends two runs of the same request soon.
const (
	// alonePoints is for the only request that can have caused the crash.
	alonePoints = 4
	// sharedPoints is for one of several requests, none of which is a likelier cause.
	sharedPoints = 3
	// minorPoints is for a request beside one that earlier crashes make a likelier cause.
	minorPoints      = 1
	quarantinePoints = 9
)

const (
	// completionWindow is how long before a crash a completed run of the same request still
	// clears it of the crash.
	completionWindow = 10 * time.Second
	// firstHold is how long a quarantined request is refused after its last crash. Each
	// further episode multiplies it by holdGrowth, up to maxHold.
	firstHold  = time.Minute
	holdGrowth = 4
	maxHold    = 24 * time.Hour
	// episodeGap separates a crash in a trial run from the crashes of copies that were under
	// way when the request was quarantined.
	episodeGap = 30 * time.Second
	// trialTimeout is how long a trial run keeps others from starting.
	trialTimeout = 30 * time.Second
	// suspicionRetention, clearedRetention and quarantineRetention are how long an entry is
	// kept after its last crash or, if it is cleared, after that. A cleared entry is kept so
	// that older copies of it at other instances do not count again.
	suspicionRetention  = time.Hour
	clearedRetention    = 10 * time.Minute
	quarantineRetention = 2 * maxHold
)

const (
	// maxEntries bounds the requests in a table.
	maxEntries = 1024
	// maxCrashes bounds the crashes that are kept for a request.
	maxCrashes = 8
	// maxCompletions bounds the completed requests that a table remembers.
	maxCompletions = 2048
)
