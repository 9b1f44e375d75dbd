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

// reloadRecorder receives the settings that an instance is told to apply.
type reloadRecorder chan *settings.Settings

func (r reloadRecorder) Reload(loaded *settings.Settings) { r <- loaded }

// logBuffer is a log that can be read while it is written. It signals each written line.
type logBuffer struct {
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{}
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer func() { l.written <- struct{}{} }()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func writeSettings(t *testing.T, file, level, join string) {
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

// A SIGHUP and a change of the file reload the settings. If the new settings are invalid or
// the file is missing, the previous settings remain active and the error is logged.
func TestReloaderReloadsOnSignalAndFileChange(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.ini")
	writeSettings(t, file, "info", "127.0.0.1:7001")
	log := &logBuffer{written: make(chan struct{}, 16)}
	level := new(slog.LevelVar)
	reloads := make(reloadRecorder, 4)
	hangupSignals := make(chan os.Signal, 1)
	ctx, stop := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() {
		(&reloader{file: file, level: level, instance: reloads, logger: slog.New(slog.NewJSONHandler(log, nil))}).watch(ctx, hangupSignals)
	})
	hangupSignals <- syscall.SIGHUP
	must.Eq(t, []string{"127.0.0.1:7001"}, (<-reloads).Fleet.Join)
	<-log.written
	must.StrContains(t, log.String(), `"cause":"signal"`)

	writeSettings(t, file, "warn", "127.0.0.1:7001, 127.0.0.1:7002")
	must.Len(t, 2, (<-reloads).Fleet.Join)
	must.Eq(t, slog.LevelWarn, level.Level())
	<-log.written
	must.StrContains(t, log.String(), `"cause":"file changed"`)

	must.NoError(t, os.WriteFile(file, []byte("[fleet]\n"), 0o600))
	hangupSignals <- syscall.SIGHUP
	<-log.written
	must.StrContains(t, log.String(), "not reloaded")
	must.Eq(t, slog.LevelWarn, level.Level())

	must.NoError(t, os.Remove(file))
	<-log.written
	must.StrContains(t, log.String(), "no such file")
	stop()
	done.Wait()
	must.Eq(t, 0, len(reloads))
}
