// Command hemlockctl is the operators' command line of a hemlockring fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/hemlockring/hemlockring/internal/ctl"
)

// arguments are the flags and subcommands. Subcommands that need no connection to
// the fleet stand beside Commands.
type arguments struct {
	ctl.Connection
	ctl.Commands
	ctl.LocalCommands
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Reads and changes the configuration of a hemlockring fleet."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 refused, 2 faulty arguments or file, 3 conflict with another change, " +
		"4 outcome unknown, 5 not made or no control instance reachable, 6 diff has found differences."
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
	if code, ran := ctl.RunLocal(&parsed.LocalCommands, os.Stdout, os.Stderr); ran {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, &parsed.Connection, &parsed.Commands, os.Stdout, os.Stderr)
}
