package daemon

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/settings"
)

// reloads counts what an instance was told to take over.
type reloads chan *settings.Settings

func (r reloads) Reload(loaded *settings.Settings) { r <- loaded }

// lines is a log that can be read while it is written.
type lines struct {
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{}
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.written <- struct{}{} }()
	return l.text.Write(line)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func settingsWith(t *testing.T, file, level, join string) {
	t.Helper()
	text := strings.Replace(settings.DefaultFile(), "[callers]", "[callers]\naddress = 127.0.0.1:8080", 1)
	var out []string
	for line := range strings.Lines(text) {
		switch key, _, _ := strings.Cut(strings.TrimLeft(line, ";# "), " ="); key {
		case "level":
			line = "level = " + level + "\n"
		case "join":
			line = "join = " + join + "\n"
		}
		out = append(out, line)
	}
	must.NoError(t, os.WriteFile(file, []byte(strings.Join(out, "")), 0o600))
}

// A signal and a changed file reload the settings; faulty ones leave the former ones in
// force.
func TestSettingsAreReloadedBySignalAndByChange(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.ini")
	settingsWith(t, file, "info", "127.0.0.1:7001")
	log := &lines{written: make(chan struct{}, 16)}
	level := new(slog.LevelVar)
	taken := make(reloads, 4)
	hangups := make(chan os.Signal, 1)
	ctx, stop := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() {
		(&reloader{file: file, level: level, instance: taken, logger: slog.New(slog.NewJSONHandler(log, nil))}).watch(ctx, hangups)
	})
	hangups <- syscall.SIGHUP
	must.Eq(t, []string{"127.0.0.1:7001"}, (<-taken).Fleet.Join)
	<-log.written
	must.StrContains(t, log.String(), `"cause":"signal"`)

	settingsWith(t, file, "warn", "127.0.0.1:7001, 127.0.0.1:7002")
	must.Len(t, 2, (<-taken).Fleet.Join)
	must.Eq(t, slog.LevelWarn, level.Level())
	<-log.written
	must.StrContains(t, log.String(), `"cause":"file changed"`)

	must.NoError(t, os.WriteFile(file, []byte("[fleet]\n"), 0o600))
	hangups <- syscall.SIGHUP
	<-log.written
	must.StrContains(t, log.String(), "not reloaded")
	must.Eq(t, slog.LevelWarn, level.Level())

	must.NoError(t, os.Remove(file))
	<-log.written
	must.StrContains(t, log.String(), "no such file")
	stop()
	done.Wait()
	must.Eq(t, 0, len(taken))
}
