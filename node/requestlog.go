package node

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hemlockring/hemlockring/ingress"
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
	logger *slog.Logger

	mu        sync.Mutex
	second    time.Time
	successes int
	failures  int
	omitted   int
}

var _ ingress.Recorder = (*requestLog)(nil)

// Record implements ingress.Recorder.
func (l *requestLog) Record(exchange *pipeline.Exchange, elapsed time.Duration) {
	failed := exchange.Refusal != nil || exchange.Truncated || exchange.Status >= http.StatusBadRequest || len(exchange.Trail) > 1
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
	if len(exchange.Trail) > 0 {
		attributes = append(attributes, "attempts", trailText(exchange.Trail))
	}
	l.logger.Info("request ended", attributes...)
}

// trailText lists the attempts as server@instance:result:milliseconds.
func trailText(trail []pipeline.Step) string {
	var text strings.Builder
	for i, step := range trail {
		if i > 0 {
			text.WriteByte(' ')
		}
		result := string(step.Refusal)
		if result == "" {
			result = fmt.Sprint(step.Status)
		}
		fmt.Fprintf(&text, "%s@%s:%s:%d", step.BackendServer, step.Instance, result, step.Took.Milliseconds())
	}
	return text.String()
}

// permit counts a line against the bounds of the present second.
func (l *requestLog) permit(failed bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second || now.Before(l.second) {
		if l.omitted > 0 {
			l.logger.Info("request lines omitted", "lines", l.omitted)
		}
		l.second = now
		l.successes, l.failures, l.omitted = 0, 0, 0
	}
	count, most := &l.successes, maxSuccessLines
	if failed {
		count, most = &l.failures, maxFailureLines
	}
	if *count >= most {
		l.omitted++
		return false
	}
	*count++
	return true
}
