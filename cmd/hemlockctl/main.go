// Command hemlockctl is the command-line tool for operators of a hemlockring fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/hemlockring/hemlockring/internal/ctl"
)

// arguments holds the flags and subcommands. LocalCommands are those that need no
// connection to the fleet.
type arguments struct {
	ctl.Connection
	ctl.Commands
	ctl.LocalCommands
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "hemlockctl reads and changes the configuration of a hemlockring fleet."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return "Exit codes: 0 success, 1 request rejected, 2 invalid arguments or input file, 3 conflict with another change, " +
		"4 outcome unknown, 5 change not made or no control instance reachable, 6 diff found differences."
}

func main() {
	os.Exit(run())
}

func run() int {
	var parsed arguments
	parser := arg.MustParse(&parsed)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stderr)
		return ctl.ExitUsage
	}
	if code, handled := ctl.RunLocal(&parsed.LocalCommands, os.Stdout, os.Stderr); handled {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, &parsed.Connection, &parsed.Commands, os.Stdout, os.Stderr)
}
