package bench

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/hemlockring/hemlockring/internal/crashexperiment"
	"github.com/hemlockring/hemlockring/internal/daemon"
	"github.com/hemlockring/hemlockring/internal/experiment"
	"github.com/hemlockring/hemlockring/internal/soak"
)

// ExperimentArguments is the command line of the experiment.
type ExperimentArguments struct {
	// File is the settings file of the experiment.
	File string `arg:"positional,required" help:"settings file, for example examples/stepvosk.ini"`
}

// arguments is the command line of hemlockbench.
type arguments struct {
	Backend    *BackendArguments          `arg:"subcommand:backend" help:"run an emulated backend server"`
	Daemon     *daemon.Arguments          `arg:"subcommand:daemon" help:"run the daemon from this executable"`
	Demo       *DemoArguments             `arg:"subcommand:demo" help:"run a small fleet under load, inject faults and check its guarantees"`
	Experiment *ExperimentArguments       `arg:"subcommand:experiment" help:"compare policies on simulated backend servers"`
	Crashes    *crashexperiment.Arguments `arg:"subcommand:crashes" help:"compare protections against requests that crash backend servers, on simulated fleets"`
	Overhead   *OverheadArguments         `arg:"subcommand:overhead" help:"measure the latency that the fleet adds to a request"`
	Soak       *soak.Arguments            `arg:"subcommand:soak" help:"run a fleet under random faults and check its guarantees"`
	Scale      *ScaleArguments            `arg:"subcommand:scale" help:"measure fleets of several sizes: idle, during changes and after an instance is killed"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "hemlockbench runs small fleets on loopback addresses, sends load to them and prints the measurements."
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
	case args.Crashes != nil:
		err = crashexperiment.Run(*args.Crashes, os.Stdout)
	case args.Overhead != nil:
		err = Overhead(ctx, *args.Overhead, os.Stdout)
	case args.Soak != nil:
		err = soak.Run(ctx, *args.Soak, os.Stdout)
	case args.Scale != nil:
		err = Scale(ctx, *args.Scale, os.Stdout)
	default:
		parser.Fail("command is missing")
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
