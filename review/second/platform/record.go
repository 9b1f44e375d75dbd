//go:build review2

package platform

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record writes what was sent, answered and run to record.txt.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: file, started: time.Now()}, err
}

// Since returns the time since the record was created.
func (r *Record) Since() time.Duration { return time.Since(r.started) }

// Log writes a line with the time in milliseconds.
func (r *Record) Log(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7d ms  %s\n", time.Since(r.started).Milliseconds(), fmt.Sprintf(format, values...))
}

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Run runs a case in the given folder and returns its exit code. broken says whether the rule
// was broken.
func Run(folder string, run func(*Record) (broken bool, err error)) int {
	record, err := NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	record.Log("trouble: %t", Trouble())
	broken, err := run(record)
	switch {
	case err != nil:
		record.Log("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return ExitNotRun
	case broken:
		record.Log("the rule was broken")
		fmt.Println("broken")
		return ExitBroken
	}
	record.Log("the rule held")
	fmt.Println("held")
	return ExitHeld
}
