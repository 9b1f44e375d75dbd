package ingress

import (
	"net"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/hemlockring/hemlockring/internal/httpheader"
	"github.com/hemlockring/hemlockring/internal/processpause"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/routing"
)

const bearerScheme = "bearer "

// identifyFilter sanitizes the header of a request. It extracts the key, removes
// hop-by-hop headers and headers that only the fleet may set, and rejects requests
// that can be interpreted in more than one way.
type identifyFilter struct {
	keyHeader     string
	pauseDetector *processpause.Detector
}

// Name implements pipeline.Filter.
func (*identifyFilter) Name() string { return "identify" }

// Request implements pipeline.Filter.
func (f *identifyFilter) Request(exchange *pipeline.Exchange) error {
	request := exchange.Request
	if f.pauseDetector.MayBeDelayed(exchange.Received) {
		return pipeline.NewNotRunRefusal(pipeline.KindDeadlinePassed, http.StatusServiceUnavailable,
			"this instance was paused, so the request may be late", "send the request again", retryAfterTransient)
	}
	if request.Method == http.MethodConnect || !routing.SafePath(request.URL) {
		return badRequest("the path is not absolute, or contains dot segments, backslashes or control characters",
			"send a normalized path")
	}
	if err := f.extractKey(exchange); err != nil {
		return err
	}
	if values := request.Header.Values(pipeline.HeaderIdempotencyKey); len(values) > 1 {
		return badRequest("the request has several Idempotency-Key headers", "send exactly one")
	}
	httpheader.RemoveHopByHop(request.Header)
	request.Header.Del("Expect")
	httpheader.RemoveInternal(request.Header)
	f.sanitizeTrailer(request)
	setForwardingHeaders(request)
	return nil
}

// extractKey moves the key from the header to the exchange. It does so even if the
// route requires no key, so that the key never reaches a backend server.
func (f *identifyFilter) extractKey(exchange *pipeline.Exchange) error {
	header := exchange.Request.Header
	var keys []string
	var otherCredentials []string
	for _, value := range header.Values("Authorization") {
		if len(value) >= len(bearerScheme) && strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
			keys = append(keys, strings.TrimSpace(value[len(bearerScheme):]))
			continue
		}
		otherCredentials = append(otherCredentials, value)
	}
	header.Del("Authorization")
	if len(otherCredentials) > 0 {
		header["Authorization"] = otherCredentials
	}
	if f.keyHeader != "" {
		keys = append(keys, header.Values(f.keyHeader)...)
		header.Del(f.keyHeader)
	}
	exchange.HasKey = len(keys) > 0
	for _, key := range keys {
		if key != keys[0] {
			return badRequest("the request contains several different keys", "send exactly one key")
		}
	}
	if len(keys) > 0 {
		exchange.Key = keys[0]
	}
	return nil
}

// sanitizeTrailer removes forbidden fields from the announced trailer. When the body
// ends, replayBody forwards only the fields that are still announced.
func (f *identifyFilter) sanitizeTrailer(request *http.Request) {
	for name := range request.Trailer {
		forbidden := httpheader.IsInternal(name) ||
			strings.EqualFold(name, "Authorization") ||
			strings.EqualFold(name, f.keyHeader) ||
			!httpguts.ValidTrailerHeader(name)
		if forbidden {
			delete(request.Trailer, name)
		}
	}
}

// setForwardingHeaders replaces the forwarding headers of the request. Callers
// connect without another proxy in between, so values that they send are not
// trusted.
func setForwardingHeaders(request *http.Request) {
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		host = request.RemoteAddr
	}
	scheme := "http"
	if request.TLS != nil {
		scheme = "https"
	}
	request.Header.Del("Forwarded")
	request.Header.Set("X-Forwarded-For", host)
	request.Header.Set("X-Forwarded-Proto", scheme)
	request.Header.Set("X-Forwarded-Host", request.Host)
}

func badRequest(detail, remedy string) *pipeline.Refusal {
	return pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusBadRequest, detail, remedy, retryAfterTransient)
}
