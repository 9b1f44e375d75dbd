package backendproxy

import (
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quarantine"
)

// quarantineFilter refuses quarantined requests. It runs before a request waits for a slot,
// and again right before the dispatch.
type quarantineFilter struct {
	key        quarantine.Key
	quarantine Quarantine
}

func (*quarantineFilter) Name() string { return "quarantine" }

func (f *quarantineFilter) Request(exchange *pipeline.Exchange) error {
	if exchange.Trial || !f.quarantine.AnyQuarantined() {
		return nil
	}
	hasher := f.newHasher(exchange)
	if !f.quarantine.MayBeQuarantined(hasher.Head()) {
		return nil
	}
	err := pipeline.ReadBodyByDeadline(exchange, func() error { return pipeline.FingerprintBody(exchange.Request, hasher) })
	if err != nil {
		return pipeline.NewNotRunRefusal(pipeline.KindBadRequest, http.StatusBadRequest,
			"the request body could not be read to its end", "send the complete body", retryElsewhere)
	}
	fingerprint, known := hasher.Sum()
	if !known {
		return nil
	}
	if retryAfter, refused := f.quarantine.Refuses(fingerprint); refused {
		return pipeline.NewQuarantineRefusal(retryAfter)
	}
	return nil
}

func (f *quarantineFilter) newHasher(exchange *pipeline.Exchange) *quarantine.Hasher {
	return f.key.NewHasher(pipeline.FingerprintedContent(exchange))
}

// noQuarantine is a Quarantine that refuses nothing.
type noQuarantine struct{}

var _ Quarantine = noQuarantine{}

func (noQuarantine) AnyQuarantined() bool { return false }

func (noQuarantine) MayBeQuarantined(quarantine.HeadFingerprint) bool { return false }

func (noQuarantine) Refuses(quarantine.Fingerprint) (time.Duration, bool) { return 0, false }

func (noQuarantine) Complete(quarantine.Fingerprint) {}

func (noQuarantine) WitnessCrash(quarantine.CrashID, []quarantine.Request, int) []quarantine.Entry {
	return nil
}
