// Command hemlockd is the daemon of an instance.
//
// Exit codes: 0 after a planned stop, 1 after a failure, 2 when the settings are
// not right.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/node"
	"github.com/hemlockring/hemlockring/settings"
)

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

// arguments is the command line.
type arguments struct {
	Settings string `arg:"-c,--settings,required" help:"settings file (INI)" placeholder:"FILE"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
	Static   string `arg:"--static-configuration" help:"serve a fixed configuration document (JSON)" placeholder:"FILE"`
}

// Description implements the go-arg interface.
func (arguments) Description() string {
	return "hemlockd is the daemon of one hemlockring instance."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	loaded, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if args.Check {
		fmt.Println("the settings are right")
		return
	}
	logger := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: loaded.Log.Level}))
	if err := run(loaded, args.Static, logger); err != nil {
		logger.Error("hemlockd ends", "error", err)
		os.Exit(exitFailure)
	}
}

// run serves until SIGTERM or SIGINT. A second signal ends the process at once.
func run(loaded *settings.Settings, static string, logger *slog.Logger) error {
	configuration, err := readStatic(static)
	if err != nil {
		return err
	}
	instance, err := node.New(loaded, configuration, logger)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, cancel)
	return instance.Run(ctx)
}

// staticConfiguration is a configuration that never changes.
type staticConfiguration struct{ view *fleetconfig.View }

// View implements ingress.Configuration.
func (s staticConfiguration) View() *fleetconfig.View { return s.view }

// Current implements ingress.Configuration.
func (staticConfiguration) Current(time.Time) (bool, time.Duration) { return true, 0 }

func readStatic(file string) (staticConfiguration, error) {
	var document fleetconfig.Document
	data, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(data, &document)
	}
	return staticConfiguration{view: fleetconfig.NewView(&document)}, errors.Wrap(err, "read the static configuration")
}
