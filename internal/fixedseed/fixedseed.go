// Package fixedseed makes property tests run with the same seed every time. A test file
// imports it for its side effect. The flag -rapid.seed overrides the seed.
package fixedseed

import (
	"flag"

	// rapid registers the flag rapid.seed, which init sets.
	_ "pgregory.net/rapid"
)

// seed is the default seed of all property tests.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
