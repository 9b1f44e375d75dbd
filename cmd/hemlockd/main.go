// Command hemlockd is the daemon that runs one instance of a hemlockring fleet.
//
// Exit codes: 0 after a planned stop or a successful check of the settings, 1 after a
// failure, 2 if the arguments or the settings are invalid.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"github.com/hemlockring/hemlockring/internal/daemon"
)

func main() {
	var arguments daemon.Arguments
	arg.MustParse(&arguments)
	os.Exit(daemon.Main(arguments))
}
