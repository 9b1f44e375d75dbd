package soak

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// findings writes the soak's output and collects the violations of guarantees. It is safe
// for concurrent use.
type findings struct {
	out     io.Writer
	started time.Time

	mu         sync.Mutex
	violations []string
}

// maxViolations is the number of violations that are kept.
const maxViolations = 100

// printf writes a line to the output.
func (f *findings) printf(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeLine(fmt.Sprintf(format, arguments...))
}

// violated records a violation of a guarantee and writes it to the output.
func (f *findings) violated(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	f.writeLine("BROKEN " + text)
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, text)
	}
}

func (f *findings) writeLine(text string) {
	_, _ = fmt.Fprintf(f.out, "%7.2fs  %s\n", time.Since(f.started).Seconds(), text)
}

// count returns the number of violations, up to maxViolations.
func (f *findings) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.violations)
}
