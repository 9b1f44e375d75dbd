package ingress

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quarantine"
)

// Quarantine decides which requests are refused because they crash backend servers.
// Implementations must be safe for concurrent use.
type Quarantine interface {
	// AnyQuarantined reports whether any request is quarantined.
	AnyQuarantined() bool
	// MayBeQuarantined reports whether a request may be quarantined as far as its head tells.
	MayBeQuarantined(head quarantine.HeadFingerprint) bool
	// RefusesOrTries reports whether a request is refused, and if so the time after which it
	// may be sent again. If a trial run of the request is due at this instance, it returns
	// trial instead.
	RefusesOrTries(fingerprint quarantine.Fingerprint) (retryAfter time.Duration, refused, trial bool)
	// Refuses is RefusesOrTries without trial runs.
	Refuses(fingerprint quarantine.Fingerprint) (retryAfter time.Duration, refused bool)
	// MayRetry reports whether a request that was under way in a crash may be sent to another
	// backend server at once.
	MayRetry(fingerprint quarantine.Fingerprint) bool
	// Observe records what a backend proxy says about a request that was under way in a
	// crash.
	Observe(entry *quarantine.Entry)
}

// QuarantineFilter is an admission filter and an AttemptGuard that refuses quarantined
// requests.
type QuarantineFilter struct {
	key        quarantine.Key
	quarantine Quarantine
}

var (
	_ pipeline.Filter = (*QuarantineFilter)(nil)
	_ AttemptGuard    = (*QuarantineFilter)(nil)
)

// NewQuarantineFilter returns a QuarantineFilter. key is the fleet's secret for fingerprints.
func NewQuarantineFilter(key quarantine.Key, source Quarantine) *QuarantineFilter {
	return &QuarantineFilter{key: key, quarantine: source}
}

// Name implements pipeline.Filter.
func (*QuarantineFilter) Name() string { return "quarantine" }

// Request implements pipeline.Filter. It reads the body only if a request that differs at most
// in its body is quarantined.
func (f *QuarantineFilter) Request(exchange *pipeline.Exchange) error {
	if !f.quarantine.AnyQuarantined() {
		return nil
	}
	hasher := f.key.NewHasher(pipeline.FingerprintedContent(exchange))
	if !f.quarantine.MayBeQuarantined(hasher.Head()) {
		return nil
	}
	err := pipeline.ReadBodyByDeadline(exchange, func() error { return pipeline.FingerprintBody(exchange.Request, hasher) })
	var late *pipeline.Refusal
	if errors.As(err, &late) {
		return late
	}
	if err != nil {
		refusal := bodyReadRefusal(err)
		refusal.Outcome, refusal.ReachedServer = pipeline.OutcomeNotRun, false
		return refusal
	}
	fingerprint, known := hasher.Sum()
	if !known {
		return nil
	}
	retryAfter, refused, trial := f.quarantine.RefusesOrTries(fingerprint)
	if refused {
		return pipeline.NewQuarantineRefusal(retryAfter)
	}
	exchange.Trial = trial
	exchange.Hasher = hasher
	return nil
}

// BeforeAttempt implements AttemptGuard.
func (f *QuarantineFilter) BeforeAttempt(exchange *pipeline.Exchange) error {
	if exchange.Trial {
		if exchange.ReachedAttempts > 0 {
			return pipeline.NewQuarantineRefusal(retryAfterTransient)
		}
		return nil
	}
	fingerprint, known := exchange.Fingerprint()
	if exchange.Implicated != nil {
		fingerprint, known = *exchange.Implicated, true
		if !f.quarantine.MayRetry(fingerprint) {
			return pipeline.NewQuarantineRefusal(retryAfterTransient)
		}
	}
	if !known {
		return nil
	}
	if retryAfter, refused := f.quarantine.Refuses(fingerprint); refused {
		return pipeline.NewQuarantineRefusal(retryAfter)
	}
	return nil
}

// observeCrash records what a backend proxy says about the request in the header of its
// response.
func (f *forwardFilter) observeCrash(exchange *pipeline.Exchange, header http.Header) {
	text := header.Get(pipeline.HeaderCrash)
	if text == "" || f.quarantine == nil {
		return
	}
	entry, err := backendproxy.ParseEvidence(text)
	if err != nil {
		f.logger.Warn("evidence of a crash can not be read", "request", exchange.RequestID, "error", err)
		return
	}
	exchange.Implicated = &entry.Fingerprint
	f.quarantine.Observe(entry)
}
