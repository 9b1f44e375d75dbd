package shard

import "time"

// MaxClockDrift is the assumed maximum deviation of the rate of a monotonic clock
// from true time, as a fraction of elapsed time.
const MaxClockDrift = 0.001

// SubtractClockDrift returns how long an instance may rely, by its own clock, on
// something that another instance has granted for the duration d by the other
// instance's clock. Both clocks may drift, in opposite directions.
func SubtractClockDrift(d time.Duration) time.Duration {
	return d - time.Duration(2*MaxClockDrift*float64(d))
}

// Timing holds the durations of the lease protocol. All instances of a fleet must use
// the same values.
type Timing struct {
	// Lease is how long a vote is valid, by the clock of the replica.
	Lease time.Duration
	// RenewInterval is the interval at which a holder renews its lease.
	RenewInterval time.Duration
	// RankDelay is the additional time per rank that a candidate waits before it
	// requests a free lease.
	RankDelay time.Duration
	// RoundTimeout is how long a candidate waits for votes, and the interval at which
	// a replica that has lost its state repeats its ReadRequest.
	RoundTimeout time.Duration
}

// TimingOf returns the timing for a lease duration, in the proportions of
// DefaultTiming.
func TimingOf(lease time.Duration) Timing {
	return Timing{
		Lease:         lease,
		RenewInterval: lease / 4,
		RankDelay:     lease / 20,
		RoundTimeout:  lease / 5,
	}
}

// DefaultTiming returns the timing for production fleets.
func DefaultTiming() Timing {
	return Timing{
		Lease:         2 * time.Second,
		RenewInterval: 500 * time.Millisecond,
		RankDelay:     100 * time.Millisecond,
		RoundTimeout:  400 * time.Millisecond,
	}
}
