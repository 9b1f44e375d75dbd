package report

import (
	"context"
	"log/slog"
	"time"

	"github.com/hemlockring/hemlockring/transport"
)

const (
	// DefaultInterval is how often an instance sends summaries.
	DefaultInterval = time.Minute
	// maxUnsent bounds the summaries that an instance keeps for control instances
	// that do not answer. Older ones are dropped; the report names them.
	maxUnsent = 256
	// sendTimeout bounds the sending of one summary.
	sendTimeout = 5 * time.Second
)

// Sender brings the summaries of an instance to every control instance. It is a
// suture service.
type Sender struct {
	collector *Collector
	caller    transport.Caller
	targets   func() []string
	interval  time.Duration
	logger    *slog.Logger
	unsent    outbox
}

// NewSender returns a sender. Targets returns the fleet addresses of the control
// instances.
func NewSender(collector *Collector, caller transport.Caller, targets func() []string, interval time.Duration, logger *slog.Logger) *Sender {
	return &Sender{
		collector: collector,
		caller:    caller,
		targets:   targets,
		interval:  interval,
		logger:    logger,
		unsent:    outbox{next: make(map[string]uint64)},
	}
}

// Serve sends summaries until ctx ends. The first goes out at once, so that
// control knows of an incarnation that is killed in its first interval.
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

// SendFinal sends the last summary of a planned stop. It is called after Serve has
// ended and the last exchange was recorded.
func (s *Sender) SendFinal(ctx context.Context) { s.send(ctx, true) }

func (s *Sender) send(ctx context.Context, final bool) {
	s.unsent.add(s.collector.Flush(time.Now(), final))
	for _, target := range s.targets() {
		for {
			number, summary := s.unsent.nextFor(target)
			if summary == nil {
				break
			}
			if err := s.sendOne(ctx, target, summary); err != nil {
				s.logger.Debug("summary not sent, kept for later", "to", target, "error", err)
				break
			}
			s.unsent.sent(target, number)
		}
	}
}

func (s *Sender) sendOne(ctx context.Context, target string, summary *Summary) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return s.caller.Call(ctx, target, summaryPath, summary, new(acknowledgement))
}

// outbox holds the last summaries and how far each target has them. At most
// maxUnsent summaries are kept.
type outbox struct {
	summaries []*Summary
	next      map[string]uint64
}

func (o *outbox) add(summaries []*Summary) {
	o.summaries = append(o.summaries, summaries...)
	if excess := len(o.summaries) - maxUnsent; excess > 0 {
		o.summaries = append([]*Summary(nil), o.summaries[excess:]...)
	}
}

// nextFor returns the first summary that the target does not have, or nil.
func (o *outbox) nextFor(target string) (uint64, *Summary) {
	for _, summary := range o.summaries {
		if summary.Sequence >= o.next[target] {
			return summary.Sequence, summary
		}
	}
	return 0, nil
}

func (o *outbox) sent(target string, number uint64) { o.next[target] = number + 1 }
