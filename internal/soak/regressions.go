package soak

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Regression is a soak that once found a violation.
type Regression struct {
	Seed      uint64
	Duration  time.Duration
	Processes int
	// Cause describes the fault in the fleet that the soak found.
	Cause string
}

// slowQuotaOwner is the cause of a Regression: after one late response, an ingress did not
// use the quota owner for 2 s and refused the requests of the owner's accounts.
const slowQuotaOwner = "one late response from a quota owner caused its accounts to be refused for 2 s"

// Regressions lists all soaks that have failed.
var Regressions = newRegressions(25*time.Second, 12, slowQuotaOwner, 2, 3, 4, 7, 8, 14, 16, 17, 18, 20, 22, 23, 25, 27, 28, 31, 32, 33, 38)

func newRegressions(duration time.Duration, processes int, cause string, seeds ...uint64) []Regression {
	cases := make([]Regression, 0, len(seeds))
	for _, seed := range seeds {
		cases = append(cases, Regression{Seed: seed, Duration: duration, Processes: processes, Cause: cause})
	}
	return cases
}

// runRegressions runs all regressions, one after the other. It returns ErrViolation if any
// of them reports a violation.
func runRegressions(ctx context.Context, out io.Writer) error {
	var violation error
	for _, regression := range Regressions {
		err := runSeed(ctx, Arguments{Seed: regression.Seed, Duration: regression.Duration, Processes: regression.Processes}, out)
		switch {
		case errors.Is(err, ErrViolation):
			violation = err
		case err != nil:
			return err
		}
	}
	return violation
}
