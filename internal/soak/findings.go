package soak

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// findings collects the promises that did not hold, and writes the output.
type findings struct {
	out     io.Writer
	started time.Time

	mu     sync.Mutex
	broken []string
}

// maxBroken bounds how many findings are kept.
const maxBroken = 100

// say writes a line.
func (f *findings) say(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.line(fmt.Sprintf(format, arguments...))
}

// broke notes that a promise did not hold.
func (f *findings) broke(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	f.line("BROKEN " + text)
	if len(f.broken) < maxBroken {
		f.broken = append(f.broken, text)
	}
}

func (f *findings) line(text string) {
	_, _ = fmt.Fprintf(f.out, "%7.2fs  %s\n", time.Since(f.started).Seconds(), text)
}

// count returns how many promises did not hold.
func (f *findings) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.broken)
}
