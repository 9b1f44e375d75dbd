// Command hemlockbench is the load and experiment tool of hemlockring.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/hemlockring/hemlockring/internal/bench"
	"github.com/hemlockring/hemlockring/internal/daemon"
)

// arguments is the command line.
type arguments struct {
	Backend  *bench.BackendArguments  `arg:"subcommand:backend" help:"run one emulated backend server"`
	Daemon   *daemon.Arguments        `arg:"subcommand:daemon" help:"run the daemon from this executable"`
	Overhead *bench.OverheadArguments `arg:"subcommand:overhead" help:"measure what the fleet adds to a request"`
}

// Description implements the go-arg interface.
func (arguments) Description() string {
	return "hemlockbench brings up small fleets on loopback addresses, sends load and prints what it measured."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if args.Daemon != nil {
		os.Exit(daemon.Main(*args.Daemon))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var err error
	switch {
	case args.Backend != nil:
		err = bench.RunBackend(*args.Backend)
	case args.Overhead != nil:
		err = bench.Overhead(ctx, *args.Overhead, os.Stdout)
	default:
		parser.Fail("name a command")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}
