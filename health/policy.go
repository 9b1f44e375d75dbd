package health

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Times of ejection and return.
const (
	// DefaultPermitTTL is how long an ejection permit lasts, counted by the
	// holder from when it asked and by the owner from when it granted.
	DefaultPermitTTL = 10 * time.Second
	// DefaultBaseEjectionTime is the hold of a server's first ejection.
	DefaultBaseEjectionTime = 5 * time.Second
	// DefaultMaxEjectionTime is the longest hold.
	DefaultMaxEjectionTime = 10 * time.Minute
	// DefaultBackoffDecayInterval is the time in service that takes back one doubling of
	// the hold.
	DefaultBackoffDecayInterval = 10 * time.Minute
	// DefaultTrialRequests is how many good requests end a trial.
	DefaultTrialRequests = 5
	// DefaultServerDaysPerFalseEjection is the number of healthy server-days for each false
	// ejection that the bound aims at.
	DefaultServerDaysPerFalseEjection = 100
	// DefaultSlowStart is how long a server takes to reach its full weight.
	DefaultSlowStart = 10 * time.Second
)

// Policy holds the parameters of detection and ejection.
type Policy struct {
	// EjectionEnabled permits new ejections.
	EjectionEnabled bool
	// ServerDaysPerFalseEjection is the number of healthy server-days for each false ejection.
	ServerDaysPerFalseEjection float64
	// PermitTTL is how long a permit lasts.
	PermitTTL time.Duration
	// BaseEjectionTime is the hold of a first ejection; each further one doubles it.
	BaseEjectionTime time.Duration
	// MaxEjectionTime is the longest hold.
	MaxEjectionTime time.Duration
	// BackoffDecayInterval is the time in service that takes back one doubling.
	BackoffDecayInterval time.Duration
	// TrialRequests is how many good requests end a trial.
	TrialRequests int
	// SlowStart is how long a server takes to reach its full weight.
	SlowStart time.Duration
}

// PolicyForPreset returns the policy under a preset.
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

// hold is the time that an ejected server stays out. It doubles with each
// ejection and is halved again by time in service.
type hold struct {
	doublings int
	changed   time.Time
}

// next returns the hold of an ejection that begins now.
func (h *hold) next(policy *Policy, now time.Time) time.Duration {
	h.forget(policy, now)
	length := policy.BaseEjectionTime
	for range h.doublings {
		length = min(2*length, policy.MaxEjectionTime)
	}
	if length < policy.MaxEjectionTime {
		h.doublings++
	}
	h.changed = now
	return length
}

func (h *hold) forget(policy *Policy, now time.Time) {
	for h.doublings > 0 && now.Sub(h.changed) >= policy.BackoffDecayInterval {
		h.doublings--
		h.changed = h.changed.Add(policy.BackoffDecayInterval)
	}
}
