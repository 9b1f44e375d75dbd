package pipeline

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// RefusalKind names why a request was given up. It is the last segment of the
// problem document's type.
type RefusalKind string

// The kinds of refusal that a caller can see.
const (
	KindBadRequest              RefusalKind = "bad-request"
	KindTooLarge                RefusalKind = "too-large"
	KindNoRoute                 RefusalKind = "no-route"
	KindKeyMissing              RefusalKind = "key-missing"
	KindKeyRejected             RefusalKind = "key-rejected"
	KindConfigurationNotCurrent RefusalKind = "configuration-not-current"
	KindOverRate                RefusalKind = "over-rate"
	KindQuotaUnavailable        RefusalKind = "quota-unavailable"
	KindNoCapacity              RefusalKind = "no-capacity"
	KindBusy                    RefusalKind = "busy"
	KindServerSuspect           RefusalKind = "backend-server-doubtful"
	KindDraining                RefusalKind = "draining"
	KindDeadlinePassed          RefusalKind = "deadline-passed"
	KindCanceled                RefusalKind = "canceled"
	KindOrderInProgress         RefusalKind = "order-in-progress"
	KindOrderOutcomeUnknown     RefusalKind = "order-outcome-unknown"
	KindIdempotencyKeyReused    RefusalKind = "idempotency-key-reused"
	KindIdempotencyUnavailable  RefusalKind = "idempotency-unavailable"
	KindOutcomeUnknown          RefusalKind = "outcome-unknown"
	// KindServerError is seen inside the ingress only: the backend server's answer was
	// passed over in favour of another attempt.
	KindServerError RefusalKind = "backend-server-error"
	// KindClockUnknown is seen by ingresses only: the backend proxy has restarted, or
	// the ingress has not yet read its clock.
	KindClockUnknown RefusalKind = "clock-unknown"
)

// problemTypePrefix is the URI prefix of the problem document's type field.
const problemTypePrefix = "urn:hemlockring:problem:"

// minRetryAfter is the smallest value sent in Retry-After, which counts whole
// seconds.
const minRetryAfter = time.Second

// Refusal is the final answer for a request that the fleet has given up on. It
// is an error whose message names the remedy.
type Refusal struct {
	// Kind names the reason.
	Kind RefusalKind
	// Status is the HTTP status code.
	Status int
	// Detail says in one sentence what happened.
	Detail string
	// Remedy says what the caller can do.
	Remedy string
	// RetryAfter is how long the caller should wait before it asks again. It is
	// rounded up to whole seconds, and is at least one second.
	RetryAfter time.Duration
	// Outcome says what is known about whether the request ran.
	Outcome Outcome
	// ReachedServer says that the request reached a backend server, run or not.
	ReachedServer bool
}

// NewNotRunRefusal returns a refusal for a request that no backend server saw.
func NewNotRunRefusal(kind RefusalKind, status int, detail, remedy string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Kind:       kind,
		Status:     status,
		Detail:     detail,
		Remedy:     remedy,
		RetryAfter: retryAfter,
		Outcome:    OutcomeNotRun,
	}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s; %s", r.Kind, r.Detail, r.Remedy)
}

// RetryAfterSeconds returns the value of the Retry-After header.
func (r *Refusal) RetryAfterSeconds() int {
	wait := max(r.RetryAfter, minRetryAfter)
	return int(math.Ceil(wait.Seconds()))
}

// WriteInternal sends the refusal to another instance of the fleet, without a body.
func (r *Refusal) WriteInternal(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Length", "0")
	header.Set(HeaderOutcome, r.Outcome.String())
	header.Set(HeaderRefusal, string(r.Kind))
	header.Set(HeaderRetryAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	if r.ReachedServer {
		header.Set(HeaderReached, "1")
	}
	w.WriteHeader(r.Status)
}

// ReadInternal returns the refusal that another instance sent, or nil when the
// response is no refusal.
func ReadInternal(status int, header http.Header) *Refusal {
	kind := header.Get(HeaderRefusal)
	if kind == "" {
		return nil
	}
	milliseconds, _ := strconv.ParseInt(header.Get(HeaderRetryAfter), 10, 64)
	return &Refusal{
		Kind:          RefusalKind(kind),
		Status:        status,
		RetryAfter:    time.Duration(milliseconds) * time.Millisecond,
		Outcome:       ParseOutcome(header.Get(HeaderOutcome)),
		ReachedServer: header.Get(HeaderReached) != "",
	}
}

// problemDocument is the JSON form of RFC 9457.
type problemDocument struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail"`
	Instance   string `json:"instance"`
	Remedy     string `json:"remedy"`
	Outcome    string `json:"outcome"`
	RetryAfter int    `json:"retry_after_seconds"`
}

// WriteProblem sends the refusal as a problem document (RFC 9457).
func (r *Refusal) WriteProblem(w http.ResponseWriter, requestID string) {
	document := problemDocument{
		Type:       problemTypePrefix + string(r.Kind),
		Title:      http.StatusText(r.Status),
		Status:     r.Status,
		Detail:     r.Detail,
		Instance:   "urn:uuid:" + requestID,
		Remedy:     r.Remedy,
		Outcome:    r.Outcome.String(),
		RetryAfter: r.RetryAfterSeconds(),
	}
	body, err := json.Marshal(document)
	if err != nil {
		http.Error(w, r.Detail, r.Status)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Retry-After", strconv.Itoa(r.RetryAfterSeconds()))
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderOutcome, r.Outcome.String())
	header.Set(HeaderRequestID, requestID)
	header.Set(HeaderRefusal, string(r.Kind))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}
