// Command hemlockd is the daemon of an instance.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 when the settings are
// not right.
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
