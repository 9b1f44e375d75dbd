package pipeline

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// RefusalKind names why a request was refused. It is the last segment of the type
// URI of the problem document.
type RefusalKind string

// Kinds of refusals that a caller can receive.
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
	KindCalledServiceBusy       RefusalKind = "called-service-busy"
	KindServerSuspect           RefusalKind = "backend-server-doubtful"
	KindDraining                RefusalKind = "draining"
	KindEvacuated               RefusalKind = "failure-domain-evacuated"
	KindServerRateLimited       RefusalKind = "backend-server-rate-limited"
	KindDeadlinePassed          RefusalKind = "deadline-passed"
	KindCanceled                RefusalKind = "canceled"
	KindOrderInProgress         RefusalKind = "order-in-progress"
	KindOrderOutcomeUnknown     RefusalKind = "order-outcome-unknown"
	KindIdempotencyKeyReused    RefusalKind = "idempotency-key-reused"
	KindIdempotencyUnavailable  RefusalKind = "idempotency-unavailable"
	KindOutcomeUnknown          RefusalKind = "outcome-unknown"
	// KindRetryBudget means that the backend servers may receive no more repeats now. It is
	// also sent by a backend proxy to an ingress, which then tries another server.
	KindRetryBudget RefusalKind = "retry-budget-exhausted"
	// KindServerCrashed means that the backend server crashed while the request was under
	// way, and KindQuarantined that the request has crashed backend servers before.
	KindServerCrashed RefusalKind = "backend-server-crashed"
	KindQuarantined   RefusalKind = "quarantined"
	// KindServerError is set only by the ingress: the response of the backend server
	// was a server error and was discarded in favour of another attempt. The caller
	// receives it only if no other attempt could be made.
	KindServerError RefusalKind = "backend-server-error"
	// KindServerUnregistered is sent by a backend proxy to an ingress: the backend server is
	// not registered at the instance for the service. The caller receives KindNoCapacity
	// instead.
	KindServerUnregistered RefusalKind = "backend-server-unregistered"
	// KindClockUnknown is sent by a backend proxy to an ingress: the backend proxy has
	// restarted, or the ingress has not yet received a reading of the backend proxy's
	// clock. The caller receives it only if no other attempt could be made.
	KindClockUnknown RefusalKind = "clock-unknown"
)

// problemTypePrefix is the prefix of the type URI of problem documents.
const problemTypePrefix = "urn:hemlockring:problem:"

// minRetryAfter is the minimum of Retry-After, which counts whole seconds.
const minRetryAfter = time.Second

// Refusal is the response of the fleet to a request that it does not complete. It
// implements error; the error message includes the remedy.
type Refusal struct {
	// Kind is the reason.
	Kind RefusalKind
	// Status is the HTTP status code.
	Status int
	// Detail is one sentence that says what went wrong.
	Detail string
	// Remedy says what the caller can do.
	Remedy string
	// RetryAfter is how long the caller should wait before it retries. The value of
	// the Retry-After header is rounded up to whole seconds and is at least one
	// second.
	RetryAfter time.Duration
	// Outcome says whether the request ran, as far as is known.
	Outcome Outcome
	// ReachedServer says that the request may have reached a backend server, whether
	// or not it ran.
	ReachedServer bool
}

// NewNotRunRefusal returns a Refusal of a request that no backend server has run.
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

// RetryAfterSeconds returns the value of the Retry-After header in seconds.
func (r *Refusal) RetryAfterSeconds() int {
	wait := max(r.RetryAfter, minRetryAfter)
	return int(math.Ceil(wait.Seconds()))
}

// NewQuarantineRefusal returns the refusal of a request that has crashed backend servers.
func NewQuarantineRefusal(retryAfter time.Duration) *Refusal {
	return NewNotRunRefusal(KindQuarantined, http.StatusServiceUnavailable,
		"the same request has crashed several backend servers and is refused",
		"do not send this request again; report it to the operator", retryAfter)
}

// WriteInternal sends the refusal from a backend proxy to the ingress: in headers
// only, without a body.
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

// ReadInternal returns the refusal that a backend proxy sent with WriteInternal, or
// nil if the response is not a refusal. The returned refusal has no detail and no
// remedy.
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

// problemDocument is a problem document in JSON (RFC 9457).
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

// WriteProblem sends the refusal to the caller as a problem document (RFC 9457).
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
