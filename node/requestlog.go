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

// Lines a second that an instance writes about requests at most, so that the log
// stays bounded under load. Failures have room of their own.
const (
	maxSuccessLines = 20
	maxFailureLines = 100
)

// requestLog writes a line for each exchange of the ingress, within bounds.
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
	if !l.permit(failed, exchange.Received) {
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
	if exchange.Truncated {
		attributes = append(attributes, "truncated", true)
	}
	if len(exchange.AttemptHistory) > 0 {
		attributes = append(attributes, "attempts", trailText(exchange.AttemptHistory))
	}
	l.logger.Info("request ended", attributes...)
}

// trailText lists the attempts as server@instance:result:milliseconds.
func trailText(trail []pipeline.AttemptRecord) string {
	var text strings.Builder
	for i, step := range trail {
		if i > 0 {
			text.WriteByte(' ')
		}
		result := string(step.Refusal)
		if result == "" {
			result = fmt.Sprint(step.Status)
		}
		fmt.Fprintf(&text, "%s@%s:%s:%d", step.BackendServer, step.Instance, result, step.Duration.Milliseconds())
	}
	return text.String()
}

// permit counts a line against the bounds of the present second.
func (l *requestLog) permit(failed bool, now time.Time) bool {
	limiter := l.successes
	if failed {
		limiter = l.failures
	}
	permitted, omitted := limiter.Allow(now)
	if omitted > 0 {
		l.logger.Info("request lines omitted", "lines", omitted, "failed", failed)
	}
	return permitted
}
