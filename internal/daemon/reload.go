package daemon

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/hemlockring/hemlockring/settings"
)

// fileCheckInterval is the interval between checks whether the settings file has changed,
// for changes without a SIGHUP.
const fileCheckInterval = 2 * time.Second

// reloader applies changed settings without interrupting requests. Settings that need a
// restart are not applied before the next restart.
type reloader struct {
	file      string
	level     *slog.LevelVar
	instance  reloadable
	logger    *slog.Logger
	lastState fileState
}

// reloadable is implemented by instances that can apply changed settings.
type reloadable interface {
	Reload(loaded *settings.Settings)
}

// fileState identifies a version of a file without reading its content.
type fileState struct {
	modified time.Time
	size     int64
}

// watch reloads the settings on each SIGHUP and each change of the file until ctx is
// canceled.
func (r *reloader) watch(ctx context.Context, hangupSignals <-chan os.Signal) {
	r.lastState = readFileState(r.file)
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangupSignals:
			r.reload("signal")
		case <-ticker.C:
			if readFileState(r.file) != r.lastState {
				r.reload("file changed")
			}
		}
	}
}

// readFileState returns the state of a file, or the zero state on an error. It does not
// report the error; reload does so when it then fails to load the file.
func readFileState(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

func (r *reloader) reload(cause string) {
	r.lastState = readFileState(r.file)
	loaded, err := settings.Load(r.file)
	if err != nil {
		r.logger.Warn("settings not reloaded; previous settings remain active", "cause", cause, "error", err.Error())
		return
	}
	r.level.Set(loaded.Log.Level)
	r.instance.Reload(loaded)
	r.logger.Info("settings reloaded", "cause", cause)
}
