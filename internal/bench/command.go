package bench

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/hemlockring/hemlockring/internal/daemon"
	"github.com/hemlockring/hemlockring/internal/experiment"
	"github.com/hemlockring/hemlockring/internal/soak"
)

// ExperimentArguments is the command line of the experiment.
type ExperimentArguments struct {
	// File is the experiment's settings.
	File string `arg:"positional,required" help:"settings of the experiment, as in examples/stepvosk.ini"`
}

// arguments is the command line of hemlockbench.
type arguments struct {
	Backend    *BackendArguments    `arg:"subcommand:backend" help:"run one emulated backend server"`
	Daemon     *daemon.Arguments    `arg:"subcommand:daemon" help:"run the daemon from this executable"`
	Demo       *DemoArguments       `arg:"subcommand:demo" help:"show a small fleet under load while things fail"`
	Experiment *ExperimentArguments `arg:"subcommand:experiment" help:"compare policies over outcomes of fake backend servers"`
	Overhead   *OverheadArguments   `arg:"subcommand:overhead" help:"measure what the fleet adds to a request"`
	Soak       *soak.Arguments      `arg:"subcommand:soak" help:"run a fleet under random faults and check its promises"`
	Scale      *ScaleArguments      `arg:"subcommand:scale" help:"measure fleets of several sizes at rest, under changes and after a kill"`
}

// Description implements the go-arg interface.
func (arguments) Description() string {
	return "hemlockbench brings up small fleets on loopback addresses, sends load and prints what it measured."
}

// Main runs the hemlockbench command and returns the exit code.
func Main() int {
	var args arguments
	parser := arg.MustParse(&args)
	if args.Daemon != nil {
		return daemon.Main(*args.Daemon)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var err error
	switch {
	case args.Backend != nil:
		err = RunBackend(*args.Backend)
	case args.Demo != nil:
		err = Demo(ctx, *args.Demo, os.Stdout)
	case args.Experiment != nil:
		err = runExperiment(ctx, args.Experiment)
	case args.Overhead != nil:
		err = Overhead(ctx, *args.Overhead, os.Stdout)
	case args.Soak != nil:
		err = soak.Run(ctx, *args.Soak, os.Stdout)
	case args.Scale != nil:
		err = Scale(ctx, *args.Scale, os.Stdout)
	default:
		parser.Fail("name a command")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func runExperiment(ctx context.Context, arguments *ExperimentArguments) error {
	settings, err := experiment.LoadSettings(arguments.File)
	if err != nil {
		return err
	}
	return experiment.Run(ctx, settings, os.Stdout)
}
