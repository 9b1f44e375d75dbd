// Command hemlockbench is the load and experiment tool of hemlockring.
package main

import (
	"os"

	"github.com/hemlockring/hemlockring/internal/bench"
)

func main() {
	os.Exit(bench.Main())
}
