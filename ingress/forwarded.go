package ingress

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/internal/httpheader"
	"github.com/hemlockring/hemlockring/pipeline"
)

const headerLoad = backendproxy.HeaderLoad

// newProxyRequest builds the request to the backend proxy of a candidate. dispatchBy
// is the dispatch deadline by the clock of that backend proxy; it is empty while the
// clock is not known.
func newProxyRequest(ctx context.Context, exchange *pipeline.Exchange, candidate Candidate, body *replayBody, dispatchBy string, now time.Time) *http.Request {
	incoming := exchange.Request
	header := maps.Clone(incoming.Header)
	header.Set(pipeline.HeaderRequestID, exchange.RequestID)
	header.Set(pipeline.HeaderService, string(exchange.Service))
	header.Set(pipeline.HeaderBackendServer, string(candidate.Server))
	if exchange.Idempotent {
		header.Set(pipeline.HeaderIdempotent, "1")
	}
	header.Set(pipeline.HeaderUrgency, strconv.FormatUint(uint64(exchange.IngressUrgency()), 10))
	if exchange.View.ActivePreset().CallPrecedence {
		header.Set(pipeline.HeaderRoute, exchange.Route.ID)
	}
	if exchange.LastResort || candidate.LastResort {
		header.Set(pipeline.HeaderLastResort, "1")
	}
	if repeat := exchange.NextRepeat(); repeat != pipeline.RepeatNone {
		header.Set(pipeline.HeaderRepeat, string(repeat))
	}
	if exchange.Trial {
		header.Set(pipeline.HeaderTrial, "1")
	}
	if candidate.KnownRate != nil {
		header.Set(backendproxy.HeaderKnownRate, candidate.KnownRate.String())
	}
	if candidate.MaxRateWait > 0 {
		header.Set(pipeline.HeaderWaitForRate, strconv.FormatInt(max(1, candidate.MaxRateWait.Milliseconds()), 10))
	}
	setTimeHeaders(header, exchange, now)
	if exchange.CallerService != "" {
		header.Set(pipeline.HeaderCallerService, string(exchange.CallerService))
	}
	header.Set(pipeline.HeaderDeadline, strconv.FormatInt(exchange.Remaining(now).Milliseconds(), 10))
	if exchange.Account != "" {
		header.Set(pipeline.HeaderAccount, string(exchange.Account))
		header.Set(pipeline.HeaderKeyID, string(exchange.KeyID))
	}
	header.Set(pipeline.HeaderConfigurationVersion, strconv.FormatUint(exchange.View.Version(), 10))
	if _, present := header["User-Agent"]; !present {
		// An empty value stops the HTTP client from adding a default one.
		header.Set("User-Agent", "")
	}
	request := &http.Request{
		Method:        incoming.Method,
		URL:           pipeline.TargetOf(incoming.URL),
		Host:          incoming.Host,
		Header:        header,
		ContentLength: incoming.ContentLength,
	}
	if dispatchBy == "" {
		// Without a dispatch deadline the backend proxy refuses the request and only
		// returns its clock reading, so the body is not sent.
		request.ContentLength = 0
		return request.WithContext(ctx)
	}
	header.Set(pipeline.HeaderDispatchBy, dispatchBy)
	if incoming.ContentLength != 0 {
		request.Body, request.Trailer = body.open()
	}
	return request.WithContext(ctx)
}

// setTimeHeaders sets what the backend proxy needs to know about the time of the request:
// its latency target and its usual service time.
func setTimeHeaders(header http.Header, exchange *pipeline.Exchange, now time.Time) {
	if exchange.Route != nil && exchange.Route.LatencyTarget > 0 {
		remaining := exchange.Route.LatencyTarget - now.Sub(exchange.Received)
		header.Set(pipeline.HeaderTarget, strconv.FormatInt(max(0, remaining.Milliseconds()), 10))
	}
	if exchange.ServiceTime > 0 {
		header.Set(pipeline.HeaderServiceTime, strconv.FormatInt(max(1, exchange.ServiceTime.Milliseconds()), 10))
	}
}

// readRefusal returns the refusal of a backend proxy, or nil if the response comes
// from a backend server. Backend proxies mark the responses of backend servers and remove the
// refusal headers from them, so these cannot forge a refusal. A response without either, for
// example of the other instance's HTTP server, is not an answer to the request.
func readRefusal(status int, header http.Header) *pipeline.Refusal {
	refusal := pipeline.ReadInternal(status, header)
	if refusal == nil && header.Get(pipeline.HeaderOutcome) == pipeline.OutcomeAnswered.String() {
		return nil
	}
	if refusal == nil {
		refusal = &pipeline.Refusal{
			Kind:          pipeline.KindOutcomeUnknown,
			Status:        http.StatusBadGateway,
			RetryAfter:    retryAfterTransient,
			Outcome:       pipeline.OutcomeUnknown,
			ReachedServer: true,
		}
	}
	refusal.Detail = "the backend proxy refused the request: " + strings.ReplaceAll(string(refusal.Kind), "-", " ")
	refusal.Remedy = "send the request again"
	if refusal.Outcome != pipeline.OutcomeNotRun {
		refusal.Detail = "the backend server did not respond; the request may or may not have run"
		refusal.Remedy = "check whether the request took effect before sending it again, or send it with an Idempotency-Key"
	}
	return refusal
}

// streamResponse copies the response of a backend server to the caller.
func (f *forwardFilter) streamResponse(exchange *pipeline.Exchange, response *http.Response) {
	header := exchange.Writer.Header()
	f.sendResponseHeader(exchange, response.StatusCode, response.Header)
	streamed := response.ContentLength < 0
	if streamed {
		_ = http.NewResponseController(exchange.Writer).Flush()
	}
	if err := httpheader.CopyBody(exchange.Writer, response.Body, streamed); err != nil {
		exchange.Truncated = true
		return
	}
	httpheader.CopyTrailer(header, response.Trailer)
}

// sendResponseHeader sends the status and header of a backend server's response to
// the caller.
func (f *forwardFilter) sendResponseHeader(exchange *pipeline.Exchange, status int, source http.Header) {
	exchange.Outcome = pipeline.OutcomeAnswered
	exchange.Status = status
	header := exchange.Writer.Header()
	httpheader.RemoveHopByHop(source)
	for name, values := range source {
		if !httpheader.IsInternal(name) {
			header[name] = values
		}
	}
	f.presentation.SetResponseHeaders(header, exchange)
	exchange.ResponseHeader = header
	exchange.RunResponseFilters()
	exchange.Writer.WriteHeader(status)
}
