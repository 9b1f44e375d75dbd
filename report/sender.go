package report

import (
	"context"
	"log/slog"
	"time"

	"github.com/hemlockring/hemlockring/transport"
)

const (
	// DefaultInterval is the default interval between summaries.
	DefaultInterval = time.Minute
	// maxUnsent is how many summaries an instance buffers for unreachable control
	// instances. Older ones are dropped; the report lists them as gaps.
	maxUnsent = 256
	// sendTimeout is the timeout for sending one summary.
	sendTimeout = 5 * time.Second
)

// Sender sends the summaries of an instance to every control instance. It is a
// suture service: one goroutine runs Serve. Sender has no lock; SendFinal must not
// be called before Serve has returned.
type Sender struct {
	collector *Collector
	caller    transport.Caller
	targets   func() []string
	interval  time.Duration
	logger    *slog.Logger
	outbox    outbox
}

// NewSender returns a sender that sends the summaries of an interval once the interval
// has ended. targets returns the fleet addresses of the control instances.
func NewSender(collector *Collector, caller transport.Caller, targets func() []string, interval time.Duration, logger *slog.Logger) *Sender {
	return &Sender{
		collector: collector,
		caller:    caller,
		targets:   targets,
		interval:  interval,
		logger:    logger,
		outbox:    outbox{nextSequence: make(map[string]uint64)},
	}
}

// Serve sends summaries until ctx ends. It sends the first summary immediately, so
// that control instances know of an incarnation that is killed in its first
// interval.
func (s *Sender) Serve(ctx context.Context) error {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		s.send(ctx, false)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// SendFinal sends the last summary before a planned stop. Call it after Serve has
// returned and the last exchange was recorded.
func (s *Sender) SendFinal(ctx context.Context) { s.send(ctx, true) }

// send ends the interval and sends each target the summaries that it does not have.
func (s *Sender) send(ctx context.Context, final bool) {
	s.outbox.add(s.collector.Flush(time.Now(), final))
	for _, target := range s.targets() {
		for {
			sequence, summary := s.outbox.nextFor(target)
			if summary == nil {
				break
			}
			if err := s.sendOne(ctx, target, summary); err != nil {
				s.logger.Debug("summary not sent; retrying at the next interval", "to", target, "error", err)
				break
			}
			s.outbox.markSent(target, sequence)
		}
	}
}

func (s *Sender) sendOne(ctx context.Context, target string, summary *Summary) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return s.caller.Call(ctx, target, summaryPath, summary, new(acknowledgement))
}

// outbox buffers the latest summaries, at most maxUnsent, and the sequence number
// that each target needs next.
type outbox struct {
	summaries    []*Summary
	nextSequence map[string]uint64
}

func (o *outbox) add(summaries []*Summary) {
	o.summaries = append(o.summaries, summaries...)
	if excess := len(o.summaries) - maxUnsent; excess > 0 {
		o.summaries = append([]*Summary(nil), o.summaries[excess:]...)
	}
}

// nextFor returns the oldest buffered summary that the target does not have, and the
// sequence number of that summary. The summary is nil if the target has all of them.
func (o *outbox) nextFor(target string) (uint64, *Summary) {
	for _, summary := range o.summaries {
		if summary.Sequence >= o.nextSequence[target] {
			return summary.Sequence, summary
		}
	}
	return 0, nil
}

// markSent records that the target has the summary.
func (o *outbox) markSent(target string, sequence uint64) { o.nextSequence[target] = sequence + 1 }
