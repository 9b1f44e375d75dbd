package transport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/internal/codec"
)

// maxErrorText is how many bytes of the error text of a failed call are kept.
const maxErrorText = 512

var _ Caller = (*Endpoint)(nil)

// RoundTrip sends the request to the instance at address at most once. If the error
// matches ErrNotSent (errors.Is), the other instance has not processed the request.
// After any other error it may have.
func (e *Endpoint) RoundTrip(address string, request *http.Request, class ConnectionClass) (*http.Response, error) {
	sent := max(request.ContentLength, 0)
	response, err := e.transport.roundTrip(address, request, class, false)
	if err != nil {
		return nil, err
	}
	response.Body = &countedBody{ReadCloser: response.Body, stats: &e.calls, kind: e.kindOf(KindRequest, address), sent: sent}
	return response, nil
}

// Call implements Caller.
func (e *Endpoint) Call(ctx context.Context, address, path string, request, reply any) error {
	data, err := codec.Marshal(request)
	if err != nil {
		return err
	}
	httpRequest := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "https", Host: address, Path: path},
		Host:          address,
		Header:        http.Header{"Content-Type": {contentTypeCBOR}},
		Body:          io.NopCloser(bytes.NewReader(data)),
		ContentLength: int64(len(data)),
	}
	response, err := e.transport.roundTrip(address, httpRequest.WithContext(ctx), ClassSmall, true)
	if err != nil {
		return errors.Wrapf(err, "call %s at %s", path, address)
	}
	defer func() { _ = response.Body.Close() }()
	received, err := readCallReply(response, path, reply)
	e.calls.record(e.kindOf(path, address), int64(len(data)), int64(received))
	return err
}

func readCallReply(response *http.Response, path string, reply any) (size int, err error) {
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
		return len(text), errors.Newf("call %s: status %d: %s", path, response.StatusCode, text)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxCallBytes+1))
	if err != nil {
		return len(data), errors.Wrapf(err, "read the reply of %s", path)
	}
	if len(data) > MaxCallBytes {
		return len(data), errors.Newf("the reply of %s is larger than %d bytes", path, MaxCallBytes)
	}
	return len(data), codec.Unmarshal(data, reply)
}
