// Package fixedseed gives property tests the same cases on every run. A test
// file imports it for its side effect; the flag -rapid.seed still overrides it.
package fixedseed

import (
	"flag"

	// rapid registers the flag that init sets.
	_ "pgregory.net/rapid"
)

// seed is the seed of every property test unless the command line gives another.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
