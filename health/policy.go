package health

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Default parameters of ejection and return.
const (
	// DefaultPermitTTL is how long an ejection permit is valid. The holder counts it from
	// the request, the owner from the grant.
	DefaultPermitTTL = 10 * time.Second
	// DefaultBaseEjectionTime is the length of a server's first ejection.
	DefaultBaseEjectionTime = 5 * time.Second
	// DefaultMaxEjectionTime is the maximum length of an ejection.
	DefaultMaxEjectionTime = 10 * time.Minute
	// DefaultBackoffDecayInterval is the time after which one doubling of the ejection
	// time is undone.
	DefaultBackoffDecayInterval = 10 * time.Minute
	// DefaultTrialRequests is the number of good requests that end a trial.
	DefaultTrialRequests = 5
	// DefaultServerDaysPerFalseEjection is the target number of healthy server-days per
	// false ejection.
	DefaultServerDaysPerFalseEjection = 100
	// DefaultSlowStart is the time in which a server ramps up to its full weight.
	DefaultSlowStart = 10 * time.Second
)

// Policy holds the parameters of detection and ejection.
type Policy struct {
	// EjectionEnabled allows new ejections.
	EjectionEnabled bool
	// ServerDaysPerFalseEjection is the target number of healthy server-days per false
	// ejection.
	ServerDaysPerFalseEjection float64
	// PermitTTL is how long a permit is valid.
	PermitTTL time.Duration
	// BaseEjectionTime is the length of a first ejection. Each further one doubles it.
	BaseEjectionTime time.Duration
	// MaxEjectionTime is the maximum length of an ejection.
	MaxEjectionTime time.Duration
	// BackoffDecayInterval is the time after which one doubling is undone.
	BackoffDecayInterval time.Duration
	// TrialRequests is the number of good requests that end a trial.
	TrialRequests int
	// SlowStart is the time in which a server ramps up to its full weight.
	SlowStart time.Duration
}

// PolicyForPreset returns the policy of a preset.
func PolicyForPreset(preset *fleetconfig.Preset) Policy {
	policy := Policy{
		EjectionEnabled:            preset.EjectionEnabled,
		ServerDaysPerFalseEjection: DefaultServerDaysPerFalseEjection,
		PermitTTL:                  DefaultPermitTTL,
		BaseEjectionTime:           DefaultBaseEjectionTime,
		MaxEjectionTime:            DefaultMaxEjectionTime,
		BackoffDecayInterval:       DefaultBackoffDecayInterval,
		TrialRequests:              DefaultTrialRequests,
		SlowStart:                  preset.SlowStart,
	}
	if policy.SlowStart <= 0 {
		policy.SlowStart = DefaultSlowStart
	}
	return policy
}

// backoff computes the time that a server stays ejected or a path is avoided. The time
// doubles with each ejection; each BackoffDecayInterval since the last change undoes one
// doubling.
type backoff struct {
	doublings int
	changedAt time.Time
}

// nextDuration returns the length of an ejection that begins now. It also counts the
// ejection, so that the next one is longer.
func (b *backoff) nextDuration(policy *Policy, now time.Time) time.Duration {
	b.decay(policy, now)
	duration := policy.BaseEjectionTime
	for range b.doublings {
		duration = min(2*duration, policy.MaxEjectionTime)
	}
	if duration < policy.MaxEjectionTime {
		b.doublings++
	}
	b.changedAt = now
	return duration
}

func (b *backoff) decay(policy *Policy, now time.Time) {
	for b.doublings > 0 && now.Sub(b.changedAt) >= policy.BackoffDecayInterval {
		b.doublings--
		b.changedAt = b.changedAt.Add(policy.BackoffDecayInterval)
	}
}
