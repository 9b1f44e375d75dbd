// Package daemon is the body of the hemlockd command. It is a package of its own
// so that the test bench can run the same daemon from its own executable.
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
	// ExitStopped follows a planned stop.
	ExitStopped = 0
	// ExitFailure follows a failure.
	ExitFailure = 1
	// ExitSettings says that the settings are not right.
	ExitSettings = 2
)

// Arguments is the daemon's command line.
type Arguments struct {
	// Settings is the settings file.
	Settings string `arg:"-c,--settings,required" help:"settings file (INI)" placeholder:"FILE"`
	// Check only checks the settings.
	Check bool `arg:"--check" help:"check the settings file and exit"`
}

const (
	// collectorPercent lets the heap grow to five times the live data before a
	// collection; the live data of an instance is small.
	collectorPercent = 400
	// memoryLimit makes the collector work harder before the process reaches the
	// 128 MB that an instance may use.
	memoryLimit = 100 << 20
)

// Description implements the go-arg interface.
func (Arguments) Description() string {
	return "hemlockd is the daemon of one hemlockring instance."
}

// Main runs the daemon until a signal stops it and returns the exit code.
func Main(arguments Arguments) int {
	loaded, err := settings.Load(arguments.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	if arguments.Check {
		fmt.Println("the settings are right")
		return ExitStopped
	}
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(memoryLimit)
	lines := logwriter.New(os.Stdout, logwriter.DefaultBufferBytes)
	defer lines.Close()
	level := new(slog.LevelVar)
	level.Set(loaded.Log.Level)
	logger := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: level}))
	slog.SetDefault(logger) // Libraries that use package log write JSON lines too.
	if err := run(arguments.Settings, loaded, level, logger); err != nil {
		logger.Error("hemlockd ends", "error", err.Error())
		return ExitFailure
	}
	return ExitStopped
}

// optionsOf returns how the instance runs on the platform that its settings name.
func optionsOf(loaded *settings.Settings, logger *slog.Logger) (node.Options, error) {
	if loaded.Adapter == nil {
		return node.Options{}, nil
	}
	return platform.Options(loaded, logger)
}

// run serves until SIGTERM or SIGINT. A second signal ends the process at once.
func run(file string, loaded *settings.Settings, level *slog.LevelVar, logger *slog.Logger) error {
	// From here on SIGHUP does not end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	options, err := optionsOf(loaded, logger)
	if err != nil {
		return err
	}
	instance, err := node.New(loaded, options, logger)
	if err != nil {
		return err
	}
	ctx, restoreSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, restoreSignals)
	reloading, stopReloading := context.WithCancel(context.Background())
	defer stopReloading()
	go (&reloader{file: file, level: level, instance: instance, logger: logger}).watch(reloading, hangups)
	return instance.Run(ctx)
}
