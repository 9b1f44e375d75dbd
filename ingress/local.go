package ingress

import (
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/pipeline"
)

// serveLocal hands the request to this instance's own backend proxy, by a
// function call in place of a hop.
func (f *forwardFilter) serveLocal(exchange *pipeline.Exchange, request *http.Request, body *replayBody, result *Attempt, started time.Time) (refusal *pipeline.Refusal) {
	writer := &localWriter{forward: f, exchange: exchange, body: body, header: make(http.Header), result: result, started: started}
	defer func() {
		switch recovered := recover(); recovered {
		case nil:
		case http.ErrAbortHandler:
			exchange.Truncated = true
		default:
			panic(recovered)
		}
	}()
	f.local.ServeHTTP(writer, request)
	if !writer.refused() {
		writer.finish()
	}
	return writer.refusal
}

// localWriter receives the response of the local backend proxy. It lets an
// answer through to the caller and keeps a refusal for itself.
type localWriter struct {
	forward  *forwardFilter
	exchange *pipeline.Exchange
	body     *replayBody
	header   http.Header
	result   *Attempt
	started  time.Time
	refusal  *pipeline.Refusal
	sent     bool
}

// Header implements http.ResponseWriter.
func (w *localWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *localWriter) WriteHeader(status int) {
	if w.sent || w.refused() {
		return
	}
	w.result.Latency = clock.Since(w.started)
	w.forward.readHead(w.exchange, w.header, w.result)
	if w.refusal = readRefusal(status, w.header); w.refusal != nil {
		return
	}
	w.result.Status = status
	if w.forward.passOver(w.exchange, status, w.body) {
		w.refusal = refuseServerError(status)
		return
	}
	w.sent = true
	w.forward.sendHead(w.exchange, status, w.header.Clone())
}

// Write implements http.ResponseWriter.
func (w *localWriter) Write(data []byte) (int, error) {
	if !w.sent && !w.refused() {
		w.WriteHeader(http.StatusOK)
	}
	if w.refused() {
		return len(data), nil
	}
	return w.exchange.Writer.Write(data)
}

func (w *localWriter) refused() bool { return w.refusal != nil }

// Flush implements http.Flusher.
func (w *localWriter) Flush() {
	if w.sent {
		_ = http.NewResponseController(w.exchange.Writer).Flush()
	}
}

// finish passes the trailer on, which the backend proxy has put into the header
// by then.
func (w *localWriter) finish() {
	header := w.exchange.Writer.Header()
	for name, values := range w.header {
		if len(name) > len(http.TrailerPrefix) && name[:len(http.TrailerPrefix)] == http.TrailerPrefix {
			header[name] = values
		}
	}
}
