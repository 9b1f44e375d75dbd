package ingress

import (
	"fmt"
	"net/http"

	"github.com/hemlockring/hemlockring/pipeline"
)

// limitFilter rejects requests that exceed the header and body sizes of the active
// configuration. The HTTP server that accepts the connection enforces timeouts.
type limitFilter struct {
	configuration Configuration
}

// Name implements pipeline.Filter.
func (*limitFilter) Name() string { return "limit" }

// Request implements pipeline.Filter.
func (f *limitFilter) Request(exchange *pipeline.Exchange) error {
	limits := f.configuration.View().Document().CallerLimits
	request := exchange.Request
	if limits.HeaderBytes > 0 {
		if size := headerBytes(request); size > limits.HeaderBytes {
			return pipeline.NewNotRunRefusal(pipeline.KindTooLarge, http.StatusRequestHeaderFieldsTooLarge,
				fmt.Sprintf("the header has %d bytes; the limit is %d", size, limits.HeaderBytes), "send a smaller header", retryAfterClientError)
		}
	}
	if limits.BodyBytes <= 0 {
		return nil
	}
	if request.ContentLength > limits.BodyBytes {
		return pipeline.NewNotRunRefusal(pipeline.KindTooLarge, http.StatusRequestEntityTooLarge,
			fmt.Sprintf("the body has %d bytes; the limit is %d", request.ContentLength, limits.BodyBytes), "send a smaller body", retryAfterClientError)
	}
	if request.ContentLength < 0 {
		request.Body = http.MaxBytesReader(exchange.Writer, request.Body, limits.BodyBytes)
	}
	return nil
}

// headerBytes returns the size in bytes of the request line and header in HTTP/1.1
// format.
func headerBytes(request *http.Request) int64 {
	const (
		// Two separators and the line end: the colon and space of a header field, or
		// the two spaces of the request line.
		separatorBytes = 4
		// The length of "Host". net/http moves this field from the header to
		// Request.Host.
		hostNameBytes = 4
	)
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + separatorBytes
	size += hostNameBytes + len(request.Host) + separatorBytes
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separatorBytes
		}
	}
	return int64(size)
}
