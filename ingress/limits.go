package ingress

import (
	"fmt"
	"net/http"

	"github.com/hemlockring/hemlockring/pipeline"
)

// limitFilter keeps callers within the sizes that the configuration in force permits.
// Their times are kept by the port.
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
				fmt.Sprintf("the header has %d bytes and %d are permitted", size, limits.HeaderBytes), "send a smaller header", retryKey)
		}
	}
	if limits.BodyBytes <= 0 {
		return nil
	}
	if request.ContentLength > limits.BodyBytes {
		return pipeline.NewNotRunRefusal(pipeline.KindTooLarge, http.StatusRequestEntityTooLarge,
			fmt.Sprintf("the body has %d bytes and %d are permitted", request.ContentLength, limits.BodyBytes), "send a smaller body", retryKey)
	}
	if request.ContentLength < 0 {
		request.Body = http.MaxBytesReader(exchange.Writer, request.Body, limits.BodyBytes)
	}
	return nil
}

// headerBytes returns the size of a request's line and header as HTTP/1.1 writes them.
func headerBytes(request *http.Request) int64 {
	const (
		separators = 4 // colon, space and line end
		hostName   = 4
	)
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto) + separators
	size += hostName + len(request.Host) + separators
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}
