package shard

import "time"

// MaxClockDrift is the assumed bound on how far the rate of a monotonic clock is
// from true time, as a share of elapsed time.
const MaxClockDrift = 0.001

// SubtractClockDrift returns how long a holder may count on something that another
// instance has given it for d. Both clocks may drift, in opposite directions.
func SubtractClockDrift(d time.Duration) time.Duration {
	return d - time.Duration(2*MaxClockDrift*float64(d))
}

// Timing holds the durations of the lease protocol. All instances of a fleet
// must use the same values.
type Timing struct {
	// Lease is how long a vote counts, by the clock of the replica.
	Lease time.Duration
	// RenewInterval is how often a holder renews its lease.
	RenewInterval time.Duration
	// RankDelay is how much longer each rank waits before it asks for a free lease.
	RankDelay time.Duration
	// RoundTimeout is how long a candidate waits for votes.
	RoundTimeout time.Duration
}

// TimingOf returns the timing for a lease, in the proportions of DefaultTiming.
func TimingOf(lease time.Duration) Timing {
	return Timing{
		Lease:         lease,
		RenewInterval: lease / 4,
		RankDelay:     lease / 20,
		RoundTimeout:  lease / 5,
	}
}

// DefaultTiming returns the timing of production fleets.
func DefaultTiming() Timing {
	return Timing{
		Lease:         2 * time.Second,
		RenewInterval: 500 * time.Millisecond,
		RankDelay:     100 * time.Millisecond,
		RoundTimeout:  400 * time.Millisecond,
	}
}
