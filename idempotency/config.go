package idempotency

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of Config.
const (
	// DefaultClaimTimeout is how long a claim may take from its first request for a
	// vote to the dispatch of the order.
	DefaultClaimTimeout = time.Second
	// DefaultRetention is how long a record is kept after the deadline of its
	// request.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxRequestTime is the longest time that a keyed order may take.
	DefaultMaxRequestTime = time.Hour
	// DefaultMaxBytes bounds the records of an instance.
	DefaultMaxBytes = 32 << 20
	// DefaultMaxResponseBytes bounds one stored answer.
	DefaultMaxResponseBytes = 16 << 10
)

// clockMarginDivisor sets by which part of a duration clocks of two instances
// may differ over that duration: one in sixteen.
const clockMarginDivisor = 16

// Config holds the parameters of replicas and claims. ClaimTime, Retention and
// MaxRequestTime must be the same on all instances of a fleet.
type Config struct {
	// ClaimTimeout is how long a claim may take from its first request for a vote to
	// the dispatch of the order.
	ClaimTimeout time.Duration
	// Retention is how long a record is kept after the deadline of its request.
	Retention time.Duration
	// MaxRequestTime is the longest time from a claim to its deadline.
	MaxRequestTime time.Duration
	// MaxResponseBytes bounds one stored answer. A larger one is not kept; a repeat
	// hears that the order ran.
	MaxResponseBytes int
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		ClaimTimeout:     DefaultClaimTimeout,
		Retention:        DefaultRetention,
		MaxRequestTime:   DefaultMaxRequestTime,
		MaxResponseBytes: DefaultMaxResponseBytes,
	}
}

// Validate reports the first parameter that makes no sense.
func (c Config) Validate() error {
	switch {
	case c.ClaimTimeout <= 0:
		return errors.Newf("the claim time is %s; set it above zero", c.ClaimTimeout)
	case c.Retention < c.ClaimTimeout:
		return errors.Newf("the retention %s is below the claim time %s; raise the retention", c.Retention, c.ClaimTimeout)
	case c.MaxRequestTime <= 0:
		return errors.Newf("the longest request time is %s; set it above zero", c.MaxRequestTime)
	case c.MaxResponseBytes < 0 || c.MaxResponseBytes > maxPageBytes/2:
		return errors.Newf("the answer limit %d is outside 0 to %d bytes; change it", c.MaxResponseBytes, maxPageBytes/2)
	}
	return nil
}

// recoveryWait is how long a replica without memory waits, so that every claim
// that may have counted its lost votes has run out.
func (c Config) recoveryWait() time.Duration {
	return c.ClaimTimeout + c.ClaimTimeout/clockMarginDivisor
}

// maxRecordLifetime is how long any record can live: after that time a replica
// without memory cannot have lost a vote that still matters.
func (c Config) maxRecordLifetime() time.Duration {
	return c.recoveryWait() + c.MaxRequestTime + c.Retention
}
