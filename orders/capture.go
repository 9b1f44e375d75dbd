package orders

import (
	"net/http"
	"strconv"
	"strings"
)

// ResponseCapture passes an answer on to the caller and keeps a copy of it, up to a
// limit in bytes.
type ResponseCapture struct {
	writer   http.ResponseWriter
	limit    int
	head     bool
	overrun  bool
	answer   StoredResponse
	declared int
}

// NewResponseCapture returns a writer that keeps answers with at most limit bytes of
// body.
func NewResponseCapture(w http.ResponseWriter, limit int) *ResponseCapture {
	return &ResponseCapture{writer: w, limit: limit, declared: -1}
}

// Header implements http.ResponseWriter.
func (c *ResponseCapture) Header() http.Header { return c.writer.Header() }

// WriteHeader implements http.ResponseWriter.
func (c *ResponseCapture) WriteHeader(status int) {
	if !c.head && status >= http.StatusOK {
		c.head = true
		c.answer.Status = status
		c.answer.Header = headerFields(c.writer.Header())
		if length, err := strconv.Atoi(c.writer.Header().Get("Content-Length")); err == nil {
			c.declared = length
		}
	}
	c.writer.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *ResponseCapture) Write(data []byte) (int, error) {
	if !c.head {
		c.WriteHeader(http.StatusOK)
	}
	if !c.overrun && len(c.answer.Body)+len(data) > c.limit {
		c.overrun = true
		c.answer.Body = nil
	}
	if !c.overrun {
		c.answer.Body = append(c.answer.Body, data...)
	}
	return c.writer.Write(data)
}

// Unwrap lets http.ResponseController reach the caller's writer.
func (c *ResponseCapture) Unwrap() http.ResponseWriter { return c.writer }

// Response returns the answer, or nil when it is not whole or too large to keep.
// It is called after the answer's end.
func (c *ResponseCapture) Response(hasBody bool) *StoredResponse {
	if !c.head || c.overrun {
		return nil
	}
	if hasBody && c.declared >= 0 && c.declared != len(c.answer.Body) {
		return nil
	}
	c.answer.Trailer = trailerFields(c.writer.Header())
	return &c.answer
}

// trailerFields picks the trailer out of a header after the body was sent.
func trailerFields(header http.Header) []HeaderField {
	trailer := make(http.Header)
	for name, values := range header {
		if rest, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			trailer[rest] = values
		}
	}
	return headerFields(trailer)
}
