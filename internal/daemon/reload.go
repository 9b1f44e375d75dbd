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
	r.seen, _ = stateOf(r.file)
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.reload("signal")
		case <-ticker.C:
			if present, err := stateOf(r.file); err == nil && present != r.seen {
				r.reload("file changed")
			}
		}
	}
}

func stateOf(file string) (fileState, error) {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{}, err
	}
	return fileState{modified: info.ModTime(), size: info.Size()}, nil
}

func (r *reloader) reload(cause string) {
	r.seen, _ = stateOf(r.file)
	loaded, err := settings.Load(r.file)
	if err != nil {
		r.logger.Warn("settings not reloaded, the former ones stay in force", "cause", cause, "error", err.Error())
		return
	}
	r.level.Set(loaded.Log.Level)
	r.instance.Reload(loaded)
	r.logger.Info("settings reloaded", "cause", cause)
}
