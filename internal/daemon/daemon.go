// Package daemon implements the hemlockd command. It is separate from cmd/hemlockd so that
// hemlockbench can run the same daemon from its own executable.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hemlockring/hemlockring/internal/logwriter"
	"github.com/hemlockring/hemlockring/node"
	"github.com/hemlockring/hemlockring/platform"
	"github.com/hemlockring/hemlockring/settings"
)

// Exit codes of the daemon.
const (
	// ExitOK is returned after a planned stop or a successful check of the settings.
	ExitOK = 0
	// ExitFailure is returned if the daemon failed.
	ExitFailure = 1
	// ExitInvalidSettings is returned if the settings are invalid.
	ExitInvalidSettings = 2
)

// Arguments holds the command-line arguments of the daemon.
type Arguments struct {
	// Settings is the path of the settings file.
	Settings string `arg:"-c,--settings,required" help:"settings file in INI format" placeholder:"FILE"`
	// Check makes the daemon exit after validating the settings.
	Check bool `arg:"--check" help:"validate the settings file and exit"`
}

const (
	// gcPercent lets the heap grow to five times the live data before a garbage
	// collection, since the live data of an instance is small.
	gcPercent = 400
	// memoryLimitBytes makes the garbage collector run more often before the process
	// reaches the 128 MB that an instance may use.
	memoryLimitBytes = 100 << 20
)

// Description implements arg.Described.
func (Arguments) Description() string {
	return "hemlockd runs one instance of a hemlockring fleet."
}

// Main runs the daemon until SIGTERM or SIGINT stops it and returns the exit code.
func Main(arguments Arguments) int {
	loaded, err := settings.Load(arguments.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalidSettings
	}
	if arguments.Check {
		fmt.Println("settings are valid")
		return ExitOK
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	logOutput := logwriter.New(os.Stdout, logwriter.DefaultBufferBytes)
	defer logOutput.Close()
	level := new(slog.LevelVar)
	level.Set(loaded.Log.Level)
	logger := slog.New(slog.NewJSONHandler(logOutput, &slog.HandlerOptions{Level: level}))
	slog.SetDefault(logger) // Makes libraries that use package log write JSON lines too.
	if err := run(arguments.Settings, loaded, level, logger); err != nil {
		logger.Error("hemlockd failed", "error", err.Error())
		return ExitFailure
	}
	return ExitOK
}

// nodeOptions returns the options for the platform that the settings name, if any.
func nodeOptions(loaded *settings.Settings, logger *slog.Logger) (node.Options, error) {
	if loaded.Adapter == nil {
		return node.Options{}, nil
	}
	return platform.Options(loaded, logger)
}

// run serves until SIGTERM or SIGINT. A second signal terminates the process at once.
func run(file string, loaded *settings.Settings, level *slog.LevelVar, logger *slog.Logger) error {
	// SIGHUP would terminate the process if it were not handled.
	hangupSignals := make(chan os.Signal, 1)
	signal.Notify(hangupSignals, syscall.SIGHUP)
	defer signal.Stop(hangupSignals)
	options, err := nodeOptions(loaded, logger)
	if err != nil {
		return err
	}
	instance, err := node.New(loaded, options, logger)
	if err != nil {
		return err
	}
	ctx, restoreSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, restoreSignals)
	reloadCtx, stopReloader := context.WithCancel(context.Background())
	defer stopReloader()
	go (&reloader{file: file, level: level, instance: instance, logger: logger}).watch(reloadCtx, hangupSignals)
	return instance.Run(ctx)
}
