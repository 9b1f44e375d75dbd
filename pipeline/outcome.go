package pipeline

// Outcome says what is known about whether a backend server ran a request.
type Outcome uint8

const (
	// OutcomeUnknown means that the backend server may or may not have run the
	// request. It is the zero value, so that a path that forgets to decide never
	// claims more than it knows.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that it is proved that no backend server saw any byte
	// of the request. Only this outcome permits a retry of a non-idempotent
	// request.
	OutcomeNotRun
	// OutcomeAnswered means that a backend server sent a response head.
	OutcomeAnswered
)

// Header values of HeaderOutcome.
const (
	outcomeTextUnknown  = "unknown"
	outcomeTextNotRun   = "not-run"
	outcomeTextAnswered = "answered"
)

// String returns the outcome as it is written in HeaderOutcome.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return outcomeTextNotRun
	case OutcomeAnswered:
		return outcomeTextAnswered
	default:
		return outcomeTextUnknown
	}
}

// ParseOutcome reads a value of HeaderOutcome. Any text that it does not know
// is OutcomeUnknown.
func ParseOutcome(text string) Outcome {
	switch text {
	case outcomeTextNotRun:
		return OutcomeNotRun
	case outcomeTextAnswered:
		return OutcomeAnswered
	default:
		return OutcomeUnknown
	}
}
