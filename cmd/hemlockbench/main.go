// Command hemlockbench runs experiments, load measurements and demonstrations of hemlockring.
package main

import (
	"os"

	"github.com/hemlockring/hemlockring/internal/bench"
)

func main() {
	os.Exit(bench.Main())
}
