package e2e

import (
	"bytes"
	"testing"
	"time"

	"github.com/hemlockring/hemlockring/internal/soak"
)

// shortSoak is the soak that runs with every run of the tests. hemlockbench soak
// --regressions runs the seeds that have failed before.
var shortSoak = soak.Arguments{Seed: 2, Duration: 10 * time.Second, Processes: 8}

// A fleet of real processes keeps its guarantees under random faults.
func TestSoak(t *testing.T) {
	var out bytes.Buffer
	arguments := shortSoak
	arguments.Folder = t.TempDir()
	if err := soak.Run(t.Context(), arguments, &out); err != nil {
		t.Log(out.String())
		t.Fatal(err)
	}
}
