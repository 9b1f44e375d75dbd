package orders

import (
	"net/http"
	"strconv"
	"strings"
)

// ResponseCapture is an http.ResponseWriter that passes a response on to the
// caller and keeps a copy if the body does not exceed a limit.
type ResponseCapture struct {
	writer        http.ResponseWriter
	maxBodyBytes  int
	headerWritten bool
	tooLarge      bool
	response      StoredResponse
	contentLength int
}

// NewResponseCapture returns a ResponseCapture that keeps responses with at
// most maxBodyBytes bytes of body.
func NewResponseCapture(w http.ResponseWriter, maxBodyBytes int) *ResponseCapture {
	return &ResponseCapture{writer: w, maxBodyBytes: maxBodyBytes, contentLength: -1}
}

// Header implements http.ResponseWriter.
func (c *ResponseCapture) Header() http.Header { return c.writer.Header() }

// WriteHeader implements http.ResponseWriter.
func (c *ResponseCapture) WriteHeader(status int) {
	if !c.headerWritten && status >= http.StatusOK {
		c.headerWritten = true
		c.response.Status = status
		c.response.Header = headerFields(c.writer.Header())
		if length, err := strconv.Atoi(c.writer.Header().Get("Content-Length")); err == nil {
			c.contentLength = length
		}
	}
	c.writer.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *ResponseCapture) Write(data []byte) (int, error) {
	if !c.headerWritten {
		c.WriteHeader(http.StatusOK)
	}
	if !c.tooLarge && len(c.response.Body)+len(data) > c.maxBodyBytes {
		c.tooLarge = true
		c.response.Body = nil
	}
	if !c.tooLarge {
		c.response.Body = append(c.response.Body, data...)
	}
	return c.writer.Write(data)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (c *ResponseCapture) Unwrap() http.ResponseWriter { return c.writer }

// Response returns the captured response, or nil if it is incomplete or too
// large. It must be called after the response has ended. HasBody is false for
// the response to a HEAD request, which has no body. If hasBody is true, the
// length of the body must match the Content-Length header.
func (c *ResponseCapture) Response(hasBody bool) *StoredResponse {
	if !c.headerWritten || c.tooLarge {
		return nil
	}
	if hasBody && c.contentLength >= 0 && c.contentLength != len(c.response.Body) {
		return nil
	}
	c.response.Trailer = trailerFields(c.writer.Header())
	return &c.response
}

// trailerFields returns the trailer fields among the header fields, with
// http.TrailerPrefix removed.
func trailerFields(header http.Header) []HeaderField {
	trailer := make(http.Header)
	for name, values := range header {
		if rest, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			trailer[rest] = values
		}
	}
	return headerFields(trailer)
}
