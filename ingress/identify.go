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

// identifyFilter cleans the header of a request: it takes the key out, removes
// what only the fleet may set and what concerns one connection only, and refuses
// what could be read in two ways.
type identifyFilter struct {
	keyHeader string
	freeze    *processpause.Detector
}

// Name implements pipeline.Filter.
func (*identifyFilter) Name() string { return "identify" }

// Request implements pipeline.Filter.
func (f *identifyFilter) Request(exchange *pipeline.Exchange) error {
	request := exchange.Request
	if f.freeze.MayBeDelayed(exchange.Received) {
		return pipeline.NewNotRunRefusal(pipeline.KindDeadlinePassed, http.StatusServiceUnavailable,
			"this instance stood still and the request may be late", "send the request again", retrySoon)
	}
	if request.Method == http.MethodConnect || !routing.SafePath(request.URL) {
		return badRequest("the path has dot segments, backslashes or control characters, or is not absolute",
			"send the path in its plain form")
	}
	if err := f.takeKey(exchange); err != nil {
		return err
	}
	if values := request.Header.Values(pipeline.HeaderIdempotencyKey); len(values) > 1 {
		return badRequest("the request has several Idempotency-Key headers", "send one")
	}
	httpheader.RemoveHopByHop(request.Header)
	request.Header.Del("Expect")
	httpheader.RemoveInternal(request.Header)
	f.cleanTrailer(request)
	setForwarded(request)
	return nil
}

// takeKey moves the key from the header to the exchange. The headers go in any
// case, also on routes open to all.
func (f *identifyFilter) takeKey(exchange *pipeline.Exchange) error {
	header := exchange.Request.Header
	var keys []string
	var kept []string
	for _, value := range header.Values("Authorization") {
		if len(value) >= len(bearerScheme) && strings.EqualFold(value[:len(bearerScheme)], bearerScheme) {
			keys = append(keys, strings.TrimSpace(value[len(bearerScheme):]))
			continue
		}
		kept = append(kept, value)
	}
	header.Del("Authorization")
	if len(kept) > 0 {
		header["Authorization"] = kept
	}
	if f.keyHeader != "" {
		keys = append(keys, header.Values(f.keyHeader)...)
		header.Del(f.keyHeader)
	}
	for _, key := range keys {
		if key != keys[0] {
			return badRequest("the request carries several different keys", "send one key")
		}
	}
	if len(keys) > 0 {
		exchange.Key = keys[0]
	}
	return nil
}

// cleanTrailer removes from the announced trailer what may not pass. net/http
// fills in only fields that are still announced when the body ends.
func (f *identifyFilter) cleanTrailer(request *http.Request) {
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

// setForwarded replaces the forwarding headers, since callers reach the fleet
// without another proxy in between.
func setForwarded(request *http.Request) {
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
	return pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusBadRequest, detail, remedy, retrySoon)
}
