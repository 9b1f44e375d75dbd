package node

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/internal/linelimit"
	"github.com/hemlockring/hemlockring/pipeline"
)

// Maximum number of log lines per second about requests, so that the log stays bounded
// under load. Failures have a limit of their own, so that successes do not displace them.
// A request that needed more than one attempt counts as a failure even if it succeeded.
const (
	maxSuccessLines = 20
	maxFailureLines = 100
)

// requestLog writes a log line for each exchange of the ingress, up to a rate limit.
type requestLog struct {
	logger    *slog.Logger
	successes *linelimit.Limiter
	failures  *linelimit.Limiter
}

func newRequestLog(logger *slog.Logger) *requestLog {
	return &requestLog{logger: logger, successes: linelimit.New(maxSuccessLines), failures: linelimit.New(maxFailureLines)}
}

var _ ingress.Recorder = (*requestLog)(nil)

// Record implements ingress.Recorder.
func (l *requestLog) Record(exchange *pipeline.Exchange, elapsed time.Duration) {
	failed := exchange.Refusal != nil || exchange.Truncated || exchange.Status >= http.StatusBadRequest || len(exchange.AttemptHistory) > 1
	if !l.allowLine(failed, exchange.Received) {
		return
	}
	attributes := []any{
		"request", exchange.RequestID,
		"account", string(exchange.Account),
		"service", string(exchange.Service),
		"outcome", exchange.Outcome.String(),
		"status", exchange.Status,
		"took_ms", elapsed.Milliseconds(),
	}
	if exchange.Route != nil {
		attributes = append(attributes, "route", exchange.Route.ID, "limit_ms", exchange.Deadline.Sub(exchange.Received).Milliseconds())
	}
	if exchange.View != nil {
		attributes = append(attributes, "configuration", exchange.View.Version())
	}
	if exchange.Refusal != nil {
		attributes = append(attributes, "refusal", string(exchange.Refusal.Kind), "detail", exchange.Refusal.Detail,
			"retry_after_ms", exchange.Refusal.RetryAfter.Milliseconds())
	}
	if exchange.ExpectedWait > 0 {
		attributes = append(attributes, "expected_wait_ms", exchange.ExpectedWait.Milliseconds())
	}
	if exchange.RepeatedCall {
		attributes = append(attributes, "repeated_call", true)
	}
	if exchange.Truncated {
		attributes = append(attributes, "truncated", true)
	}
	if len(exchange.AttemptHistory) > 0 {
		attributes = append(attributes, "attempts", formatAttempts(exchange.AttemptHistory))
	}
	l.logger.Info("request ended", attributes...)
}

// formatAttempts returns the attempts as server@instance:result:milliseconds, separated
// by spaces. The result is the kind of the refusal or, without one, the HTTP status.
func formatAttempts(attempts []pipeline.AttemptRecord) string {
	var text strings.Builder
	for i, attempt := range attempts {
		if i > 0 {
			text.WriteByte(' ')
		}
		result := string(attempt.Refusal)
		if result == "" {
			result = fmt.Sprint(attempt.Status)
		}
		fmt.Fprintf(&text, "%s@%s:%s:%d", attempt.BackendServer, attempt.Instance, result, attempt.Duration.Milliseconds())
	}
	return text.String()
}

// allowLine reports whether a line may be written within the rate limit. It also logs how
// many lines were omitted before.
func (l *requestLog) allowLine(failed bool, now time.Time) bool {
	limiter := l.successes
	if failed {
		limiter = l.failures
	}
	allowed, omitted := limiter.Allow(now)
	if omitted > 0 {
		l.logger.Info("request lines omitted", "lines", omitted, "failed", failed)
	}
	return allowed
}
