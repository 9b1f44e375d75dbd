package ingress

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/hemlockring/hemlockring/pipeline"
)

// CallerInfo is what a request says of its caller.
type CallerInfo struct {
	// RequestID identifies the request in logs and headers.
	RequestID string
	// Timeout is how long the caller waits for the answer, zero when it does not
	// say.
	Timeout time.Duration
}

// Presentation is how callers see the ingress: which headers say what of a request,
// and what a refusal looks like. It decides nothing. It is safe for concurrent use.
type Presentation interface {
	// ReadCaller reads what the request says of its caller.
	ReadCaller(request *http.Request) CallerInfo
	// WriteRefusal sends a refusal.
	WriteRefusal(w http.ResponseWriter, refusal *pipeline.Refusal, requestID string)
	// SetResponseHeaders adds what a backend server's answer carries besides.
	SetResponseHeaders(header http.Header, exchange *pipeline.Exchange)
}

// ProblemDocuments is the presentation of hemlockring itself: refusals are problem
// documents (RFC 9457), and each answer says its outcome.
type ProblemDocuments struct{}

var _ Presentation = ProblemDocuments{}

// ReadCaller implements Presentation. The ids of requests are hemlockring's own.
func (ProblemDocuments) ReadCaller(*http.Request) CallerInfo {
	return CallerInfo{RequestID: uuid.NewString()}
}

// WriteRefusal implements Presentation.
func (ProblemDocuments) WriteRefusal(w http.ResponseWriter, refusal *pipeline.Refusal, requestID string) {
	refusal.WriteProblem(w, requestID)
}

// SetResponseHeaders implements Presentation.
func (ProblemDocuments) SetResponseHeaders(header http.Header, exchange *pipeline.Exchange) {
	header.Set(pipeline.HeaderOutcome, pipeline.OutcomeAnswered.String())
	header.Set(pipeline.HeaderRequestID, exchange.RequestID)
}
