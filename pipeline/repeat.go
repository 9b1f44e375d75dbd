package pipeline

// Repeat says whether a request repeats work that a backend server may have received before.
type Repeat string

const (
	// RepeatNone is the first attempt of a request.
	RepeatNone Repeat = ""
	// RepeatRetry is a further attempt of a request that may have reached a backend server.
	RepeatRetry Repeat = "retry"
	// RepeatCall is an attempt of a request that a backend server sends while it runs a
	// repeated request: the first run has probably sent it, too.
	RepeatCall Repeat = "call"
)

// ParseRepeat returns the value of HeaderRepeat. An unknown value counts as a retry.
func ParseRepeat(value string) Repeat {
	switch repeat := Repeat(value); repeat {
	case RepeatNone, RepeatCall:
		return repeat
	default:
		return RepeatRetry
	}
}
