package e2e

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/internal/soak"
)

// soakCases are the soaks of every run of the tests. Seeds that ever failed stay here,
// each with a line on the cause.
var soakCases = []struct {
	seed      uint64
	duration  time.Duration
	processes int
	cause     string
}{
	{seed: 2, duration: 10 * time.Second, processes: 8, cause: "none; the short run"},
}

// A fleet of real processes keeps its promises under random faults.
func TestSoak(t *testing.T) {
	for _, c := range soakCases {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			var out bytes.Buffer
			err := soak.Run(t.Context(), soak.Arguments{Seed: c.seed, Duration: c.duration, Processes: c.processes, Folder: t.TempDir()}, &out)
			if err != nil {
				t.Log(out.String())
			}
			must.NoError(t, err)
		})
	}
}
