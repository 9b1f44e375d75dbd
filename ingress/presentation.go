package ingress

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/hemlockring/hemlockring/pipeline"
)

// CallerInfo is what a Presentation reads from a request, or generates for it.
type CallerInfo struct {
	// RequestID identifies the request in logs and headers.
	RequestID string
	// Timeout is how long the caller waits for the response. Zero means that the
	// request does not say.
	Timeout time.Duration
	// CallerRequest is the ID of the request on behalf of which a backend server sends this
	// one. Empty means that the request does not say.
	CallerRequest string
}

// Presentation maps requests and responses to the conventions of the callers: which
// headers carry what, and how a refusal is formatted. It makes no routing or
// admission decisions. It is safe for concurrent use.
type Presentation interface {
	// ReadCaller reads the caller's information from the request.
	ReadCaller(request *http.Request) CallerInfo
	// WriteRefusal sends a refusal to the caller.
	WriteRefusal(w http.ResponseWriter, refusal *pipeline.Refusal, requestID string)
	// SetResponseHeaders adds headers to the response of a backend server.
	SetResponseHeaders(header http.Header, exchange *pipeline.Exchange)
}

// ProblemDocuments is the default presentation. It sends refusals as problem
// documents (RFC 9457) and adds the outcome and the request id to each response.
type ProblemDocuments struct{}

var _ Presentation = ProblemDocuments{}

// ReadCaller implements Presentation. It generates a request id.
func (ProblemDocuments) ReadCaller(request *http.Request) CallerInfo {
	return CallerInfo{RequestID: uuid.NewString(), CallerRequest: request.Header.Get(pipeline.HeaderCallerRequest)}
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
