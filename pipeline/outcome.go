package pipeline

// Outcome says whether a backend server ran a request, as far as is known.
type Outcome uint8

const (
	// OutcomeUnknown means that the backend server may or may not have run the
	// request. It is the zero value, so that code that does not set an outcome
	// cannot claim that the request did not run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that there is proof that no backend server has run the
	// request: none has received any byte of it, or the one that has received it
	// reported that it has not run it. Only this outcome permits a retry of a
	// non-idempotent request.
	OutcomeNotRun
	// OutcomeAnswered means that a backend server has sent a response header.
	OutcomeAnswered
)

// Values of HeaderOutcome.
const (
	outcomeTextUnknown  = "unknown"
	outcomeTextNotRun   = "not-run"
	outcomeTextAnswered = "answered"
)

// String returns the value of HeaderOutcome for the outcome.
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

// ParseOutcome parses a value of HeaderOutcome. It returns OutcomeUnknown for any
// other text.
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
