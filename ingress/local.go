package ingress

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/pipeline"
)

// maxDiscardedBytes is how much of the body of a discarded response is read, so that the
// connection to the backend server can be used again.
const maxDiscardedBytes = 64 << 10

// errResponseDiscarded ends the reading of a response that is not passed to the caller.
var errResponseDiscarded = errors.New("the response is discarded, and the request is sent again")

// serveLocal passes the request to this instance's own backend proxy by a direct
// call, without a network hop.
func (f *forwardFilter) serveLocal(exchange *pipeline.Exchange, request *http.Request, body *replayBody, result *Attempt, started time.Time) (refusal *pipeline.Refusal) {
	writer := &localWriter{forward: f, exchange: exchange, body: body, header: make(http.Header), result: result, started: started}
	defer func() {
		switch recovered := recover(); recovered {
		case nil:
		case http.ErrAbortHandler:
			// A truncated response that is discarded does not concern the caller.
			exchange.Truncated = !writer.refused()
			refusal = writer.refusal
		default:
			panic(recovered)
		}
	}()
	f.local.ServeHTTP(writer, request)
	if !writer.refused() {
		writer.copyTrailer()
	}
	return writer.refusal
}

// localWriter receives the response of the local backend proxy. It passes a response
// to the caller and records a refusal without sending it.
type localWriter struct {
	forward    *forwardFilter
	exchange   *pipeline.Exchange
	body       *replayBody
	header     http.Header
	result     *Attempt
	started    time.Time
	refusal    *pipeline.Refusal
	headerSent bool
	// discarded counts the bytes of the body of a discarded response.
	discarded int
}

// Header implements http.ResponseWriter.
func (w *localWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *localWriter) WriteHeader(status int) {
	if w.headerSent || w.refused() {
		return
	}
	w.result.Latency = clock.Since(w.started)
	w.forward.readInternalHeaders(w.exchange, w.header, w.result)
	if w.refusal = readRefusal(status, w.header); w.refusal != nil {
		return
	}
	w.result.Status = status
	if w.forward.shouldRetryResponse(w.exchange, status, w.body) {
		w.refusal = serverErrorRefusal(status)
		return
	}
	w.headerSent = true
	w.forward.sendResponseHeader(w.exchange, status, w.header.Clone())
}

// Write implements http.ResponseWriter.
func (w *localWriter) Write(data []byte) (int, error) {
	if !w.headerSent && !w.refused() {
		w.WriteHeader(http.StatusOK)
	}
	if w.refused() {
		if w.discarded += len(data); w.discarded > maxDiscardedBytes {
			return 0, errResponseDiscarded
		}
		return len(data), nil
	}
	return w.exchange.Writer.Write(data)
}

func (w *localWriter) refused() bool { return w.refusal != nil }

// Flush implements http.Flusher.
func (w *localWriter) Flush() {
	if w.headerSent {
		_ = http.NewResponseController(w.exchange.Writer).Flush()
	}
}

// SetReadDeadline sets the deadline of reads of the caller's body, for http.ResponseController.
func (w *localWriter) SetReadDeadline(deadline time.Time) error {
	return http.NewResponseController(w.exchange.Writer).SetReadDeadline(deadline)
}

// copyTrailer copies the trailer to the caller's response. It is called after the
// backend proxy has added the trailer fields to w.header, with http.TrailerPrefix
// before their names.
func (w *localWriter) copyTrailer() {
	header := w.exchange.Writer.Header()
	for name, values := range w.header {
		if len(name) > len(http.TrailerPrefix) && name[:len(http.TrailerPrefix)] == http.TrailerPrefix {
			header[name] = values
		}
	}
}
