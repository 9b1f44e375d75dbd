package soak

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Regression is a soak that once found something.
type Regression struct {
	Seed      uint64
	Duration  time.Duration
	Processes int
	// Cause is what was found.
	Cause string
}

// lateOwner is the cause of the seeds that failed first.
const lateOwner = "one late answer of a quota owner refused its accounts for 2 s"

// Regressions are the soaks that ever failed.
var Regressions = regressions(25*time.Second, 12, lateOwner, 2, 3, 4, 7, 8, 14, 16, 17, 18, 20, 22, 23, 25, 27, 28, 31, 32, 33, 38)

func regressions(duration time.Duration, processes int, cause string, seeds ...uint64) []Regression {
	cases := make([]Regression, 0, len(seeds))
	for _, seed := range seeds {
		cases = append(cases, Regression{Seed: seed, Duration: duration, Processes: processes, Cause: cause})
	}
	return cases
}

// runRegressions runs all regressions one after the other and returns ErrBroken when a
// promise did not hold in any.
func runRegressions(ctx context.Context, out io.Writer) error {
	var broken error
	for _, regression := range Regressions {
		err := runSeed(ctx, Arguments{Seed: regression.Seed, Duration: regression.Duration, Processes: regression.Processes}, out)
		switch {
		case errors.Is(err, ErrBroken):
			broken = err
		case err != nil:
			return err
		}
	}
	return broken
}
