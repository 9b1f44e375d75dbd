package pipeline

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/quarantine"
)

// FingerprintedContent returns what the fingerprint of an exchange's request covers besides
// the body. It is the same at the ingress and at the backend proxy.
func FingerprintedContent(exchange *Exchange) quarantine.Content {
	request := exchange.Request
	return quarantine.Content{
		Service:        exchange.Service,
		Account:        exchange.Account,
		Method:         request.Method,
		Host:           virtualHost(request.Host),
		Target:         request.URL.RequestURI(),
		DeclaredLength: request.ContentLength,
	}
}

// virtualHost returns the name in a Host header. It returns nothing for an IP address, which
// names an instance and differs between copies of a request.
func virtualHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if _, err := netip.ParseAddr(strings.Trim(host, "[]")); err == nil {
		return ""
	}
	return host
}

// FingerprintBody reads as much of the request's body as a fingerprint covers and passes it to
// hasher. The request's body can be read from its beginning afterwards. It returns the error
// with which the body ended early.
func FingerprintBody(request *http.Request, hasher *quarantine.Hasher) error {
	if request.Body == nil || request.ContentLength == 0 {
		hasher.End()
		return nil
	}
	var read bytes.Buffer
	n, err := io.CopyN(&read, request.Body, quarantine.MaxBodyBytes+1)
	_, _ = hasher.Write(read.Bytes())
	if errors.Is(err, io.EOF) {
		hasher.End()
		err = nil
	}
	rest := request.Body
	request.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(read.Bytes()[:n]), rest), Closer: rest}
	return err
}

// prefixedBody is a body of which the first part has been read before.
type prefixedBody struct {
	io.Reader
	io.Closer
}
