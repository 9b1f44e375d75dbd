package daemon

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/hemlockring/hemlockring/settings"
)

// fileCheckInterval is how often the settings file is looked at, for changes that
// no signal announces.
const fileCheckInterval = 2 * time.Second

// reloader takes changed settings over while requests go on. Settings that need a
// restart stay as they are until there is one.
type reloader struct {
	file     string
	level    *slog.LevelVar
	instance reloadable
	logger   *slog.Logger
	seen     fileState
}

// reloadable is an instance that takes changed settings over.
type reloadable interface {
	Reload(loaded *settings.Settings)
}

// fileState tells one content of a file from another without reading it.
type fileState struct {
	modified time.Time
	size     int64
}

// watch reloads on each SIGHUP and when the file has changed, until ctx ends.
func (r *reloader) watch(ctx context.Context, hangups <-chan os.Signal) {
	r.seen = stateOf(r.file)
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.reload("signal")
		case <-ticker.C:
			if stateOf(r.file) != r.seen {
				r.reload("file changed")
			}
		}
	}
}

// stateOf returns the zero state for a file that can not be looked at: reading it then
// says why.
func stateOf(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

func (r *reloader) reload(cause string) {
	r.seen = stateOf(r.file)
	loaded, err := settings.Load(r.file)
	if err != nil {
		r.logger.Warn("settings not reloaded, the former ones stay in force", "cause", cause, "error", err.Error())
		return
	}
	r.level.Set(loaded.Log.Level)
	r.instance.Reload(loaded)
	r.logger.Info("settings reloaded", "cause", cause)
}
