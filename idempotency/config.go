package idempotency

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Default values of Config and of the memory budget.
const (
	// DefaultClaimTimeout is the maximum time from the first vote request of a
	// claim to the dispatch of its order.
	DefaultClaimTimeout = time.Second
	// DefaultRetention is the time for which a record is kept after the deadline
	// of its request.
	DefaultRetention = 24 * time.Hour
	// DefaultMaxRequestTime is the maximum time from a claim to the deadline of
	// its request.
	DefaultMaxRequestTime = time.Hour
	// DefaultMaxBytes is the memory limit for the records of an instance.
	DefaultMaxBytes = 32 << 20
	// DefaultMaxResponseBytes is the size limit of a stored response.
	DefaultMaxResponseBytes = 16 << 10
)

// clockMarginDivisor bounds the difference in clock rate that is allowed
// between two instances: over any duration, their clocks differ by at most
// 1/clockMarginDivisor of it.
const clockMarginDivisor = 16

// Config holds the parameters of replicas and claims. ClaimTimeout, Retention
// and MaxRequestTime must be the same on all instances of a fleet.
type Config struct {
	// ClaimTimeout is the maximum time from the first vote request of a claim to
	// the dispatch of its order.
	ClaimTimeout time.Duration
	// Retention is the time for which a record is kept after the deadline of its
	// request.
	Retention time.Duration
	// MaxRequestTime is the maximum time from a claim to the deadline of its
	// request.
	MaxRequestTime time.Duration
	// MaxResponseBytes is the size limit of a stored response. A larger response
	// is not stored; a duplicate request is then told only that the order has run.
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

// Validate returns an error for the first invalid parameter.
func (c Config) Validate() error {
	switch {
	case c.ClaimTimeout <= 0:
		return errors.Newf("ClaimTimeout is %s; set it above zero", c.ClaimTimeout)
	case c.Retention < c.ClaimTimeout:
		return errors.Newf("Retention %s is below ClaimTimeout %s; raise Retention", c.Retention, c.ClaimTimeout)
	case c.MaxRequestTime <= 0:
		return errors.Newf("MaxRequestTime is %s; set it above zero", c.MaxRequestTime)
	case c.MaxResponseBytes < 0 || c.MaxResponseBytes > maxPageBytes/2:
		return errors.Newf("MaxResponseBytes is %d; set it to a value from 0 to %d", c.MaxResponseBytes, maxPageBytes/2)
	}
	return nil
}

// recoveryWait returns how long a replica without records waits before it reads
// from others. After that time, every claim that may have counted a lost vote
// of the replica has expired. The margin covers the allowed difference in clock
// rate.
func (c Config) recoveryWait() time.Duration {
	return c.ClaimTimeout + c.ClaimTimeout/clockMarginDivisor
}

// maxRecordLifetime returns the maximum time for which a record must be kept. When
// this time has passed after a restart without records, all votes that the
// replica lost have expired.
func (c Config) maxRecordLifetime() time.Duration {
	return c.recoveryWait() + c.MaxRequestTime + c.Retention
}
